"""Confirmed cancellations: no member starts tasks of a job once a user knows that it is cancelled.

A member that may not know of a stored cancellation yet may still start tasks of the job. So a user
is told only once every such member has acknowledged the cancellation, or certainly starts nothing
any more without knowing of it. docs/design.md, "Confirmed cancellations", has the argument.
"""

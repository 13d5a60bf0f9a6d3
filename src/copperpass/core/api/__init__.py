"""Requests of users: validation, idempotent submission, polls and cancellations.

The same on every member, whoever leads: the key-value store arbitrates. A request that can't be
served is refused at once with 503 and `Retry-After`.
"""

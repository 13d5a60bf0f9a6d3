"""Requests of users, answered the same on every member, whoever leads.

The key-value store alone decides: a member keeps no state that an answer depends on, apart from
terminal records, which never change, and the counts of tasks, which are for display.
"""

from __future__ import annotations

from copperpass.core.api.cancellations import Cancellations
from copperpass.core.api.context import ApiContext
from copperpass.core.api.job_lookup import JobLookup
from copperpass.core.api.polls import Polls
from copperpass.core.api.responses import Responder
from copperpass.core.api.submissions import Submissions


class UserApi:
    """Composes submissions, polls and cancellations."""

    def __init__(self, context: ApiContext) -> None:
        responder = Responder(context)
        self.lookup = JobLookup(context)
        self.submissions = Submissions(context, self.lookup, responder)
        self.polls = Polls(self.lookup, responder)
        self.cancellations = Cancellations(context, self.lookup, responder)

    def submit(self, now: float, request: object, body: bytes) -> None:
        """POST /api/jobs."""
        self.submissions.submit(now, request, body)

    def poll(self, now: float, request: object, job_id: str) -> None:
        """GET /api/jobs/{id}."""
        self.polls.poll(now, request, job_id)

    def cancel(self, now: float, request: object, job_id: str) -> None:
        """POST /api/jobs/{id}/cancel."""
        self.cancellations.cancel(now, request, job_id)

    def on_job_removed(self, job_id: str) -> None:
        """The watch shows that a live record was removed."""
        self.lookup.on_job_removed(job_id)

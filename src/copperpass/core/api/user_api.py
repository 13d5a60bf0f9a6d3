"""Users' requests, answered in the same way on every member, whether it leads or not.

The key-value store alone decides. Answers depend on no state of the member, apart from cached
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
    """Handlers of the user API, by route."""

    def __init__(self, context: ApiContext) -> None:
        self.lookup = JobLookup(context)
        responder = Responder(context, self.lookup)
        self.submissions = Submissions(context, self.lookup, responder)
        self.polls = Polls(self.lookup, responder)
        self.cancellations = Cancellations(context, self.lookup, responder)

    def submit(self, now: float, request: object, body: bytes) -> None:
        """Handle POST /api/jobs."""
        self.submissions.submit(now, request, body)

    def poll(self, now: float, request: object, job_id: str) -> None:
        """Handle GET /api/jobs/{id}."""
        self.polls.poll(now, request, job_id)

    def cancel(self, now: float, request: object, job_id: str) -> None:
        """Handle POST /api/jobs/{id}/cancel."""
        self.cancellations.cancel(now, request, job_id)

    def on_job_removed(self, now: float, job_id: str) -> None:
        """Handle a watch event for the removal of a job's live record."""
        self.lookup.on_job_removed(now, job_id)

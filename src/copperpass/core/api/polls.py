"""GET /api/jobs/{id}: the state of a job."""

from __future__ import annotations

from copperpass.core.api.job_lookup import JobLookup, StoredJob
from copperpass.core.api.responses import Responder
from copperpass.core.api.validation import is_job_id


class Polls:
    """Answers with a job's state from a linearizable read."""

    def __init__(self, lookup: JobLookup, responder: Responder) -> None:
        self.lookup, self.responder = lookup, responder

    def poll(self, now: float, request: object, job_id: str) -> None:
        """Read a job and answer with its state."""
        if not is_job_id(job_id):
            self.responder.not_found(request)
            return

        def on_found(now: float, stored: StoredJob | None) -> None:
            self.responder.job_state(now, request, job_id, stored)

        def on_failed(now: float) -> None:
            self.responder.unavailable(request, "state service not reached")

        self.lookup.find(now, job_id, on_found, on_failed)

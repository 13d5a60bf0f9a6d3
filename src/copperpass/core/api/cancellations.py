"""POST /api/jobs/{id}/cancel: replaces a live job's record by a terminal one."""

from __future__ import annotations

from copperpass.core.api.context import ApiContext
from copperpass.core.api.job_lookup import JobLookup, StoredJob
from copperpass.core.api.responses import Responder
from copperpass.core.api.validation import is_job_id
from copperpass.core.kvstore.keys import COMPLETED_JOBS_PREFIX, LIVE_JOBS_PREFIX
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.protocol.kvstore import DeleteKey, PutKey
from copperpass.protocol.records import JobRecord, completed_job_value
from copperpass.protocol.users import JobState

# Attempts to cancel a job while completions of its tasks change the record in between.
MAX_CANCEL_ATTEMPTS = 6


class Cancellations:
    """Cancels live jobs; for a job in a terminal state, answers with that state."""

    def __init__(self, context: ApiContext, lookup: JobLookup, responder: Responder) -> None:
        self.context, self.lookup, self.responder = context, lookup, responder

    def cancel(
        self, now: float, request: object, job_id: str, attempts_left: int = MAX_CANCEL_ATTEMPTS
    ) -> None:
        """Read a job and cancel the version read; after a conflict, try again."""
        if not is_job_id(job_id):
            self.responder.not_found(request)
            return

        def on_found(now: float, stored: StoredJob | None) -> None:
            if stored is None or stored.record.final_state:
                self.responder.job_state(now, request, job_id, stored)
            else:
                self._store(now, request, job_id, stored.version, attempts_left)

        def on_failed(now: float) -> None:
            self.responder.unavailable(request, "state not reached")

        self.lookup.find(now, job_id, on_found, on_failed)

    def _store(
        self, now: float, request: object, job_id: str, version: int, attempts_left: int
    ) -> None:
        """Replace the live record at `version` by a terminal one, in one transaction."""
        completed_count = self.context.task_counts(job_id)[0]

        def on_done(now: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.APPLIED:
                record = JobRecord(final_state=JobState.CANCELLED, completed_count=completed_count)
                terminal = StoredJob(record, revision)
                self.lookup.remember(now, job_id, terminal)
                self.responder.job_state(now, request, job_id, terminal)
            elif outcome is TransactionOutcome.CONFLICT and attempts_left > 1:
                # The record has another version: a task of the job was completed in between.
                self.cancel(now, request, job_id, attempts_left - 1)
            else:
                self.responder.unavailable(request, "not stored")

        live_key = LIVE_JOBS_PREFIX + job_id
        final = completed_job_value(JobState.CANCELLED, completed_count)
        operation = Operation(
            {live_key: version},
            [DeleteKey(live_key), PutKey(COMPLETED_JOBS_PREFIX + job_id, final)],
            on_done,
            now + self.context.read_timeout_s,
            Priority.URGENT,
        )
        self.context.transactions.submit(now, operation)

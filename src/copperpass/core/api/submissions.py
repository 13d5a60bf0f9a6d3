"""POST /api/jobs: idempotent submission by a single compare-and-swap."""

from __future__ import annotations

import msgspec

from copperpass.core.api.context import ApiContext
from copperpass.core.api.job_lookup import JobLookup, StoredJob
from copperpass.core.api.responses import Responder
from copperpass.core.api.validation import (
    MALFORMED,
    UNAVAILABLE,
    UNPROCESSABLE,
    is_job_id,
    validate,
)
from copperpass.core.kvstore.keys import (
    ABSENT_JOBS_PREFIX,
    COMPLETED_JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
)
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.errors import RejectedJobError
from copperpass.protocol.json_codec import DECODE_ERRORS, decode, encode
from copperpass.protocol.kvstore import PutKey
from copperpass.protocol.records import submitted_job_value
from copperpass.protocol.users import MAX_BODY_BYTES, JobReference, JobSpec, decode_spec

# The store may refuse a record larger than this fraction of the largest value for its size, because
# it counts a value's bytes in a longer encoding than ours.
UNCERTAIN_SIZE_RATIO = 0.8


def _too_large() -> RejectedJobError:
    return RejectedJobError(UNPROCESSABLE, "can never be stored: too large")


class Submissions:
    """Stores submitted jobs; answers a repeated id with the state of the stored job."""

    def __init__(self, context: ApiContext, lookup: JobLookup, responder: Responder) -> None:
        self.context, self.lookup, self.responder = context, lookup, responder
        self.types = context.types

    def submit(self, now: float, request: object, body: bytes) -> None:
        """Validate a submission and store it, or refuse it."""
        if len(body) > MAX_BODY_BYTES:
            # Answered with 400, since users give up at once on a 400 but repeat a 413 for a minute.
            self.responder.rejected(request, RejectedJobError(MALFORMED, "body too large"))
            return
        try:
            spec = decode_spec(body)
        except DECODE_ERRORS as error:
            reference = decode(body, JobReference)
            rejection = RejectedJobError(MALFORMED, str(error))
            if reference is None or not is_job_id(reference.id):
                self.responder.rejected(request, rejection)
            else:
                self._refuse(now, request, reference.id, rejection)
            return
        if not is_job_id(spec.id):
            rejection = RejectedJobError(MALFORMED, "id: not of the form req-000000")
            self.responder.rejected(request, rejection)
            return
        try:
            record = self._make_record(now, spec)
        except RejectedJobError as rejection:
            self._refuse(now, request, spec.id, rejection)
            return
        self._store(now, request, spec.id, record)

    def _make_record(self, now: float, spec: JobSpec) -> dict[str, object]:
        """Return the record of a valid job; raise `RejectedJobError` for any other."""
        if not self.types:
            raise RejectedJobError(UNAVAILABLE, "machine types not known yet")
        validate(spec, self.context.cluster, self.types)
        submitted_at = round(now + self.context.wall_clock_offset, 1)
        record = submitted_job_value(spec, submitted_at)
        max_bytes = self.context.cluster.state.least_value_bytes
        if len(encode(record)) <= max_bytes:
            return record
        if spec.types is not None:
            # Repeated and unknown types have no effect: drop them to make the record fit.
            spec.types = [name for name in dict.fromkeys(spec.types) if name in self.types]
            record["spec"] = msgspec.to_builtins(spec)
        if len(encode(record)) > max_bytes:
            raise _too_large()
        return record

    def _store(self, now: float, request: object, job_id: str, record: dict[str, object]) -> None:
        """Store a job unless a live or completed job has its id."""
        max_bytes = self.context.cluster.state.least_value_bytes
        maybe_too_large = len(encode(record)) > UNCERTAIN_SIZE_RATIO * max_bytes

        def on_done(now: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.INVALID and maybe_too_large:
                self._refuse(now, request, job_id, _too_large())
            elif outcome is TransactionOutcome.APPLIED and self.lookup.may_answer_live(
                now, job_id, operation.sent_at
            ):
                self.responder.created(request, job_id)
            elif outcome in (TransactionOutcome.APPLIED, TransactionOutcome.CONFLICT):
                # Another member may have told a user of a newer state since.
                self._answer_existing(now, request, job_id)
            else:
                self.responder.unavailable(request, "not stored")

        operation = Operation(
            {
                LIVE_JOBS_PREFIX + job_id: 0,
                COMPLETED_JOBS_PREFIX + job_id: 0,
                ABSENT_JOBS_PREFIX + job_id: 0,
            },
            [PutKey(LIVE_JOBS_PREFIX + job_id, record)],
            on_done,
            now + self.context.read_timeout_s,
            Priority.URGENT,
        )
        self.context.transactions.submit(now, operation)

    def _answer_existing(self, now: float, request: object, job_id: str) -> None:
        """Answer a repeated submission with the state of the job that has the id."""

        def on_found(now: float, stored: StoredJob | None) -> None:
            if stored is None:
                # A user has just been told that there is no such job, at another member perhaps.
                self.responder.unavailable(request, "asked for just now")
            else:
                self.responder.job_state(now, request, job_id, stored)

        def on_failed(now: float) -> None:
            self.responder.unavailable(request, "state service not reached")

        self.lookup.find(now, job_id, on_found, on_failed)

    def _refuse(
        self, now: float, request: object, job_id: str, rejection: RejectedJobError
    ) -> None:
        """Refuse a submission; if its id was accepted before, answer with that job's state."""

        def on_found(now: float, stored: StoredJob | None) -> None:
            if stored is not None:
                self.responder.job_state(now, request, job_id, stored)
            else:
                self.responder.rejected(request, rejection)

        def on_failed(now: float) -> None:
            self.responder.unavailable(request, "can't be decided")

        self.lookup.find(now, job_id, on_found, on_failed)

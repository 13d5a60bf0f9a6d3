"""HTTP answers to users: the state of a job, a refusal or a request to retry."""

from __future__ import annotations

import math

from copperpass.core.api.absences import Absence
from copperpass.core.api.context import ApiContext
from copperpass.core.api.job_lookup import JobLookup, StoredJob
from copperpass.core.api.validation import UNAVAILABLE
from copperpass.core.cancellations.confirmations import StoredCancellation
from copperpass.core.ports import Reply
from copperpass.errors import RejectedJobError
from copperpass.protocol.json_codec import encode, error_body
from copperpass.protocol.records import JobRecord
from copperpass.protocol.users import JobAnswer, JobState

# Seconds until a user should repeat a request that could not be decided (`Retry-After`).
RETRY_AFTER_S = 1
# How long a request waits for the confirmation of a cancellation. The acknowledgements of connected
# members arrive sooner. Whoever would have to wait longer is told when to come back: load balancers
# prefer members with few open requests, which here would be those that are cut off.
CONFIRMATION_S = 0.5


class Responder:
    """Queues answers in the outbox; each request must get exactly one."""

    def __init__(self, context: ApiContext, lookup: JobLookup) -> None:
        self.context, self.lookup = context, lookup
        self.outbox, self.task_counts = context.outbox, context.task_counts

    def created(self, request: object, job_id: str) -> None:
        """Answer a submission that has been stored."""
        self._reply(request, 201, encode(JobAnswer(job_id, JobState.QUEUED)))

    def job_state(self, now: float, request: object, job_id: str, job: StoredJob | None) -> None:
        """Answer with the state of a job by its record; 404 if `job` is None.

        A final state is answered only once no member can answer with an older state any more, and a
        cancelled job only once its cancellation is confirmed as well.
        """
        if job is None:
            self._unknown(now, request, job_id)
        elif not job.record.final_state:
            self._state_of(request, job_id, job.record)
        elif job.record.final_state == JobState.CANCELLED:
            self._cancelled(now, request, job_id, job)
        else:
            self._final_state(now, request, job_id, job)

    def _unknown(self, now: float, request: object, job_id: str) -> None:
        """Answer that no job has an id, once no member can accept one until the user is told."""

        def on_done(now: float, absence: Absence) -> None:
            if absence is Absence.CERTAIN:
                self.not_found(request)
            elif absence is Absence.CONTRADICTED:
                self.lookup.find(now, job_id, on_found, on_failed)
            else:
                on_failed(now)

        def on_found(now: float, job: StoredJob | None) -> None:
            if job is None:
                # Another member has written the absence.
                on_failed(now)
            else:
                self.job_state(now, request, job_id, job)

        def on_failed(now: float) -> None:
            self.unavailable(request, "not known whether there is such a job")

        self.context.absences.confirm(now, job_id, on_done)

    def _cancelled(self, now: float, request: object, job_id: str, job: StoredJob) -> None:
        """Answer that a job is cancelled, once no member can start tasks of it any more.

        If that takes longer than `CONFIRMATION_S`, answer with 503 and the time that is left.
        """

        def on_done(now: float, remaining_s: float) -> None:
            if remaining_s <= 0.0:
                self._final_state(now, request, job_id, job)
            else:
                retry_after_s = math.ceil(remaining_s)
                self.unavailable(request, "cancellation not confirmed yet", retry_after_s)

        known_since = self.lookup.removal_known_since(now, job_id)
        self.context.final_states.announce(now, job_id, known_since)
        cancellation = StoredCancellation(job_id, job.version, known_since)
        self.context.confirm_cancellation(now, cancellation, now + CONFIRMATION_S, on_done)

    def _final_state(self, now: float, request: object, job_id: str, job: StoredJob) -> None:
        """Answer with a final state, once no member can answer with an older one any more."""

        def on_done(now: float) -> None:
            self._state_of(request, job_id, job.record)

        known_since = self.lookup.removal_known_since(now, job_id)
        self.context.final_states.confirm(now, job_id, known_since, on_done)

    def _state_of(self, request: object, job_id: str, record: JobRecord) -> None:
        """Answer with the state of a job by its record."""
        if record.final_state:
            answer = JobAnswer(job_id, record.final_state, record.completed_count, 0)
        else:
            completed, running = self.task_counts(job_id)
            state = JobState.RUNNING if running else JobState.QUEUED
            answer = JobAnswer(job_id, state, completed, running)
        self._reply(request, 200, encode(answer))

    def not_found(self, request: object) -> None:
        """Answer that no job has the requested id."""
        self._reply(request, 404, error_body("no such job"))

    def rejected(self, request: object, rejection: RejectedJobError) -> None:
        """Answer a submission that is refused; with `Retry-After` if it may succeed later."""
        if rejection.status == UNAVAILABLE:
            self.unavailable(request, rejection.reason)
        else:
            self._reply(request, rejection.status, error_body(rejection.reason))

    def unavailable(self, request: object, reason: str, retry_after_s: int = RETRY_AFTER_S) -> None:
        """Answer that the request can't be decided now; repeat it after `retry_after_s` seconds."""
        reply = Reply(request, UNAVAILABLE, error_body(reason), retry_after_s)
        self.outbox.replies.append(reply)

    def _reply(self, request: object, status: int, body: bytes) -> None:
        self.outbox.replies.append(Reply(request, status, body))

"""HTTP answers to users: the state of a job, a refusal or a request to retry."""

from __future__ import annotations

from copperpass.core.api.context import ApiContext
from copperpass.core.api.validation import UNAVAILABLE
from copperpass.core.ports import Reply
from copperpass.errors import RejectedJobError
from copperpass.protocol.json_codec import encode, error_body
from copperpass.protocol.records import JobRecord
from copperpass.protocol.users import JobAnswer, JobState

# Seconds until a user should repeat a request that could not be decided (`Retry-After`).
RETRY_AFTER_S = 1


class Responder:
    """Queues answers in the outbox; each request must get exactly one."""

    def __init__(self, context: ApiContext) -> None:
        self.outbox, self.task_counts = context.outbox, context.task_counts

    def created(self, request: object, job_id: str) -> None:
        """Answer a submission that has been stored."""
        self._reply(request, 201, encode(JobAnswer(job_id, JobState.QUEUED)))

    def job_state(self, request: object, job_id: str, record: JobRecord | None) -> None:
        """Answer with the state of a job by its record; 404 if `record` is None."""
        if record is None:
            self.not_found(request)
            return
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

    def unavailable(self, request: object, reason: str) -> None:
        """Answer that the request can't be decided now and should be repeated."""
        reply = Reply(request, UNAVAILABLE, error_body(reason), RETRY_AFTER_S)
        self.outbox.replies.append(reply)

    def _reply(self, request: object, status: int, body: bytes) -> None:
        self.outbox.replies.append(Reply(request, status, body))

"""Ends of tasks and jobs: stored in the state service, and what follows when a job is over."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.kvstore.keys import COMPLETED_JOBS_PREFIX, LIVE_JOBS_PREFIX
from copperpass.core.kvstore.operations import Operation, TransactionOutcome
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.storage.completions import CompletionContext, CompletionStore
from copperpass.protocol.kvstore import DeleteKey, PutKey, Write
from copperpass.protocol.records import completed_job_value
from copperpass.protocol.users import JobState

# The part of the limits of a record that is used, which leaves room for what is estimated.
RECORD_FILL_RATIO = 0.8
# Ends are gathered for the time that as many writes take.
BATCHED_WRITES = 4


class JobResults:
    """Stores ends; the last end of a job makes it done."""

    def __init__(self, context: SchedulerContext, state: ShardState, tasks: TaskLifecycle) -> None:
        self.context, self.state, self.tasks = context, state, tasks
        cluster, limits = context.cluster, context.cluster.state
        self.completions = CompletionStore(
            CompletionContext(
                job_table=context.jobs,
                transactions=context.transactions,
                token_version=context.token_version,
                versions=context.versions,
                shard=context.shard,
                page_bytes=RECORD_FILL_RATIO * limits.least_value_bytes,
                interval_s=max(state.timing.report_s / 2, BATCHED_WRITES / limits.least_write_rps),
                deadline_s=cluster.workers.lease_s,
                max_page_bytes=RECORD_FILL_RATIO * limits.value_kb * 1024,
            )
        )

    def store(self, now: float, job: Job) -> None:
        """Store ends: the last makes the job done at once, the others are gathered."""
        if job.completion_in_flight:
            return
        if not job.all_completed():
            if job.unstored:
                self.completions.record(now, job)
            return
        job.completion_in_flight = True
        key = LIVE_JOBS_PREFIX + job.spec.id
        completed = completed_job_value(JobState.DONE, job.spec.tasks)

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            job.completion_in_flight = False
            if outcome is TransactionOutcome.APPLIED:
                job.version = max(job.version, revision)
                job.on_completions_stored(list(job.unstored))
                self.context.jobs.jobs.pop(job.spec.id, None)
                self.on_job_completed(done_at, job)
            # On a conflict the watch brings the newer record; the next scan tries again.

        writes: list[Write] = [
            DeleteKey(key),
            PutKey(COMPLETED_JOBS_PREFIX + job.spec.id, completed),
        ]
        deadline = now + 2 * self.state.timing.lease_s
        operation = Operation({key: job.version}, writes, on_done, deadline)
        self.context.transactions.submit(now, operation)

    def store_outstanding(self, now: float) -> None:
        """Store all ends that are not stored, nor being stored."""
        for job in self.state.own_jobs():
            # Also a job all of whose ends an earlier owner stored without ending it.
            if (job.unstored or job.all_completed()) and not job.completion_in_flight:
                self.store(now, job)

    def on_job_completed(self, now: float, job: Job) -> None:
        """The job's record is gone: nothing of it may start, and all of it must go."""
        if not self.context.schedules_team(job.spec.team):
            return
        self.completions.remove(job)
        self.tasks.stop_all(now, job, StopReason.JOB_COMPLETED)
        self.state.machines_of_job.pop(job.spec.id, None)
        self.state.dirty = True

    def on_job_cancelled(self, now: float, job: Job) -> None:
        """A job's cancellation is stored, whatever the view shows: its tasks go, none starts."""
        if self.context.schedules_team(job.spec.team):
            self.tasks.stop_all(now, job, StopReason.CANCELLED)
            self.state.dirty = True

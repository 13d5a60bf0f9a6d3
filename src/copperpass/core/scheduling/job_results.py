"""Completions of tasks and jobs: storing them, and cleaning up after a completed job."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.kvstore.keys import COMPLETED_JOBS_PREFIX, LIVE_JOBS_PREFIX
from copperpass.core.kvstore.operations import Operation, TransactionOutcome
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.placements import StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.storage.completions import CompletionContext, CompletionStore
from copperpass.protocol.kvstore import DeleteKey, PutKey, Write
from copperpass.protocol.records import completed_job_value
from copperpass.protocol.users import JobState

# The part of a record's size limit that is used: sizes are estimates.
RECORD_FILL_RATIO = 0.8
# Completions are batched for the time that as many writes take at the lowest write rate.
BATCHED_WRITES = 4


class JobResults:
    """Stores completions; a job is completed when all of its tasks are."""

    def __init__(self, context: SchedulerContext, state: ShardState, tasks: TaskLifecycle) -> None:
        self.context, self.state, self.tasks = context, state, tasks
        cluster, limits = context.cluster, context.cluster.state
        self.completions = CompletionStore(
            CompletionContext(
                job_table=context.jobs,
                transactions=context.transactions,
                token_version=context.token_version,
                versions=context.completion_versions,
                shard=context.shard,
                page_bytes=RECORD_FILL_RATIO * limits.least_value_bytes,
                interval_s=max(
                    state.timing.heartbeat_interval_s / 2, BATCHED_WRITES / limits.least_write_rps
                ),
                deadline_s=cluster.workers.lease_s,
                max_page_bytes=RECORD_FILL_RATIO * limits.value_kb * 1024,
            )
        )

    def store(self, now: float, job: Job) -> None:
        """Store a job's completions: at once if all tasks have completed, otherwise batched."""
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
            # On a conflict the watch delivers the newer record, and the next scan retries.

        writes: list[Write] = [
            DeleteKey(key),
            PutKey(COMPLETED_JOBS_PREFIX + job.spec.id, completed),
        ]
        deadline = now + 2 * self.state.timing.lease_s
        operation = Operation({key: job.version}, writes, on_done, deadline)
        self.context.transactions.submit(now, operation)

    def store_outstanding(self, now: float) -> None:
        """Store all completions that are not stored, nor being stored."""
        for job in self.state.own_jobs():
            # Also a job whose completions were all stored by an earlier owner, but not its own.
            if (job.unstored or job.all_completed()) and not job.completion_in_flight:
                self.store(now, job)

    def on_job_completed(self, now: float, job: Job) -> None:
        """The job's record is deleted: no task of it may start, and all of them are stopped."""
        if not self.context.schedules_team(job.spec.team):
            return
        self.completions.remove(job)
        self.tasks.stop_all(now, job, StopReason.JOB_COMPLETED)
        self.state.machines_of_job.pop(job.spec.id, None)
        self.state.dirty = True

    def on_job_cancelled(self, now: float, job: Job) -> None:
        """A job's cancellation is stored, though the watch cache may lag behind: stop its tasks."""
        if self.context.schedules_team(job.spec.team):
            self.tasks.stop_all(now, job, StopReason.CANCELLED)
            self.state.dirty = True

"""Stores the completions of tasks and jobs, and cleans up after completed jobs."""

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

# Fraction of a record's size limit that is used, because record sizes are estimates.
RECORD_FILL_RATIO = 0.8
# Completions are batched for at least the time of this many writes at the lowest write rate.
BATCHED_WRITES = 4


class JobResults:
    """Stores completions; a job is completed when all of its tasks are completed."""

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

    def store(self, now: float, job: Job, index: int | None = None) -> None:
        """Store a job's completions: at once if all tasks have completed, otherwise batched.

        `index`: the only completed task since the last call; None if there may be others.
        """
        if job.completion_in_flight:
            return
        if not job.all_completed():
            if job.unstored:
                self.completions.record(now, job, index)
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
        """Store all completions that are neither stored nor being stored."""
        for job in self.state.own_jobs():
            # This includes jobs for which an earlier owner stored the completions of all tasks, but
            # not that of the job itself.
            if (job.unstored or job.all_completed()) and not job.completion_in_flight:
                self.store(now, job)

    def on_job_completed(self, now: float, job: Job) -> None:
        """Stop all tasks of a job whose record is deleted, and start no more of them."""
        if not self.context.schedules_team(job.spec.team):
            return
        self.completions.remove(job)
        self.tasks.stop_all(now, job, StopReason.JOB_COMPLETED)
        self.state.machines_of_job.pop(job.spec.id, None)
        self.state.dirty = True

    def on_job_cancelled(self, now: float, job: Job) -> None:
        """Stop the tasks of a job whose cancellation is stored; the watch cache may lag behind."""
        if self.context.schedules_team(job.spec.team):
            self.tasks.stop_all(now, job, StopReason.CANCELLED)
            self.state.dirty = True

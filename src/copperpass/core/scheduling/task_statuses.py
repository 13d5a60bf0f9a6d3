"""Handling of task statuses in heartbeats, and quarantine of machines where tasks fail."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.gang_monitor import GangMonitor
from copperpass.core.scheduling.job_results import JobResults
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import UNIDENTIFIED, Placement, StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.stop_statistics import StopStatistics
from copperpass.core.scheduling.tasks import TaskLifecycle, is_current, request_stop
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.workers import ExitCause, TaskState, TaskStatus

# A job that has failed on at least this many machines is probably faulty itself.
MIN_MACHINES_OF_FAULTY_JOB = 3
# A machine is faulty if at least this many jobs fail on it, without those that are probably faulty
# themselves.
MIN_JOBS_OF_FAULTY_MACHINE = 2
# Upper bound on the doublings of the backoff after failures.
MAX_BACKOFF_DOUBLINGS = 6


class TaskStatusHandler:
    """Updates placements and jobs from the task statuses in heartbeats."""

    def __init__(
        self,
        context: SchedulerContext,
        state: ShardState,
        tasks: TaskLifecycle,
        gangs: GangMonitor,
        results: JobResults,
        stop_statistics: StopStatistics,
    ) -> None:
        self.state, self.tasks, self.gangs, self.results = state, tasks, gangs, results
        self.stop_statistics = stop_statistics
        self.outbox, self.jobs = context.outbox, context.jobs

    def update(
        self, now: float, machine: Machine, placement: Placement, status: TaskStatus
    ) -> None:
        """Apply the status of a placement that a heartbeat lists, in any state."""
        was_active = placement.active
        placement.reported = True
        job = self.jobs.jobs.get(placement.job_id)
        if placement.of_other_shard:
            self._update_of_other_shard(machine, placement, status, job)
            return
        if status.state == TaskState.EXITED:
            if was_active:
                self._on_exited(now, machine, placement, status, job)
        elif was_active:
            self._on_active(now, placement, status, job)

    def _update_of_other_shard(
        self, machine: Machine, placement: Placement, status: TaskStatus, job: Job | None
    ) -> None:
        """Apply the status of a task whose result only the owner of another shard may record."""
        placement.state, placement.exit_cause = status.state, status.exit_cause or ""
        machine.usage_stale = True
        if not placement.active:
            has_result = placement.exit_cause == ExitCause.DONE
            recorded = job is None or job.is_completed(placement.index)
            placement.stored = recorded or not has_result
        elif placement.stop_grace_s is None and job is None:
            request_stop(placement, StopReason.JOB_COMPLETED)
        elif placement.stop_grace_s is None and job is not None and job.cancelled:
            request_stop(placement, StopReason.CANCELLED)

    def _on_active(
        self, now: float, placement: Placement, status: TaskStatus, job: Job | None
    ) -> None:
        if status.state in (TaskState.RUNNING, TaskState.SAVING) and not placement.running_at:
            placement.running_at = now
        placement.state = status.state
        if job is not None and job.spec.gang:
            self.gangs.on_task_active(now, job, placement)
        if (
            job is None
            and placement.stop_grace_s is None
            and self.state.is_certainly_completed(placement)
        ):
            request_stop(placement, StopReason.JOB_COMPLETED)

    def _on_exited(
        self,
        now: float,
        machine: Machine,
        placement: Placement,
        status: TaskStatus,
        job: Job | None,
    ) -> None:
        """Handle the exit of a task that was active before this status."""
        placement.state, placement.exit_cause = TaskState.EXITED, status.exit_cause or ""
        machine.usage_stale = True
        if placement.exit_cause != ExitCause.DONE:
            self._log_exit(now, machine, placement, status)
            self.stop_statistics.on_stopped(now, placement, job, bool(status.saved))
        if placement.team == UNIDENTIFIED and job is None:
            placement.stored = self.state.is_certainly_completed(placement)
            return
        self.state.dirty = True
        if job is None:
            placement.stored = True
        elif placement.exit_cause == ExitCause.DONE:
            self._on_completed(now, machine, placement, job)
        else:
            self._on_not_completed(now, machine, placement, job)

    def _log_exit(
        self, now: float, machine: Machine, placement: Placement, status: TaskStatus
    ) -> None:
        self.outbox.log(
            LogLevel.DEBUG,
            LogEvent.TASK_EXITED,
            task=status.task,
            exit_cause=placement.exit_cause,
            stop_reason=placement.stop_reason,
            machine=machine.name,
            runtime_s=round(now - placement.running_at, 1) if placement.running_at else 0,
        )

    def _on_completed(self, now: float, machine: Machine, placement: Placement, job: Job) -> None:
        current = is_current(machine, placement, job)
        if job.spec.gang and not job.all_completed():
            # The tasks of a gang complete together: if one has completed, all have. The machines of
            # the others may be lost before they report it, and none of the tasks could run again.
            job.unstored.update(i for i in range(job.spec.tasks) if not job.is_completed(i))
        machine.failed_jobs.clear()
        job.failed_on.clear()
        job.failures = 0
        if current:
            job.assigned.pop(placement.index, None)
        if job.is_completed(placement.index):
            placement.stored = True
        else:
            job.unstored.add(placement.index)
            job.unstored_results.setdefault(placement.index, []).append(placement)
            self.results.store(now, job, None if job.spec.gang else placement.index)

    def _on_not_completed(
        self, now: float, machine: Machine, placement: Placement, job: Job
    ) -> None:
        placement.stored = True
        if is_current(machine, placement, job):
            job.requeue(placement.index)
        heartbeat_interval_s = self.state.timing.heartbeat_interval_s
        if placement.exit_cause == ExitCause.ERROR:
            self._on_failed(now, machine, job)
        elif placement.exit_cause in (ExitCause.NO_CAPACITY, ExitCause.BUSY):
            machine.backoff_until = now + heartbeat_interval_s
        elif placement.exit_cause == ExitCause.UNKNOWN:
            # The worker reads the job's specification itself, and that read may lag behind.
            job.backoff_until = now + heartbeat_interval_s
        if job.spec.gang:
            self.gangs.on_task_exited(now, job, placement)

    def _on_failed(self, now: float, machine: Machine, job: Job) -> None:
        """Back off, and quarantine the machine if it, rather than the job, appears faulty."""
        timing = self.state.timing
        job.failures += 1
        job.failed_on.add(machine.name)
        machine.failed_jobs.add(job.spec.id)
        if len(job.failed_on) >= MIN_MACHINES_OF_FAULTY_JOB:
            # Exponential backoff protects the cluster from a job that fails on every machine.
            backoff_s = timing.heartbeat_interval_s * 2 ** min(job.failures, MAX_BACKOFF_DOUBLINGS)
            job.backoff_until = max(job.backoff_until, now + min(backoff_s, timing.lease_s))
        jobs = self.jobs.jobs
        failed_sound_jobs = [
            job_id
            for job_id in machine.failed_jobs
            if job_id in jobs and len(jobs[job_id].failed_on) < MIN_MACHINES_OF_FAULTY_JOB
        ]
        # A gang that fails repeatedly, and only on this machine, would be placed here again and
        # again. The machine is faulty: a faulty gang would fail on its other machines too.
        only_failed_here = job.spec.gang and job.failures >= 2 and job.failed_on == {machine.name}
        if machine.quarantined:
            return
        if len(failed_sound_jobs) >= MIN_JOBS_OF_FAULTY_MACHINE or only_failed_here:
            self._quarantine(now, machine, len(failed_sound_jobs))
        else:
            machine.backoff_until = now + 2 * timing.heartbeat_interval_s

    def _quarantine(self, now: float, machine: Machine, failed_sound_job_count: int) -> None:
        """Start no more tasks on a faulty machine, and stop those that don't run there yet."""
        machine.quarantined = True
        self.outbox.log(
            LogLevel.INFO,
            LogEvent.MACHINE_QUARANTINED,
            machine=machine.name,
            jobs=failed_sound_job_count,
        )
        for placement in machine.tasks.values():
            if placement.active and placement.stop_grace_s is None and not placement.running_at:
                request_stop(placement, StopReason.FAULTY_MACHINE)
        self.tasks.remove_all(now, machine, machine.pending_starts.values())

"""Monitoring of gangs: ends an attempt that can't complete, by the reported states of its tasks."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.placements import Placement, StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.protocol.workers import ExitCause, TaskState

# Exit causes of a task whose start the machine refused: it has not run.
REFUSAL_CAUSES = (ExitCause.NO_CAPACITY, ExitCause.BUSY, ExitCause.UNKNOWN)


class GangMonitor:
    """Ends attempts of gangs that can't complete any more.

    Invariant: tasks of different attempts of a gang never contribute to the same completion.
    """

    def __init__(self, state: ShardState, tasks: TaskLifecycle) -> None:
        self.state, self.tasks = state, tasks

    def on_task_active(self, now: float, job: Job, placement: Placement) -> None:
        """Handle a report that a task of a gang is active."""
        if job.gang_ending and placement.stop_grace_s is None:
            # This owner took over the machine after the attempt had ended and the other tasks had
            # been stopped.
            self.tasks.stop(now, placement, StopReason.ATTEMPT_ENDED)
        if not job.attempt and not job.gang_ending:
            if placement.stop_grace_s is not None:
                # The placement is a duplicate that is being stopped: no task may join its attempt.
                return
            # The task was started by an earlier owner: the missing tasks join its attempt.
            job.attempt = placement.attempt
        if placement.attempt != job.attempt:
            # The task belongs to another attempt, which can only be left over from earlier. No
            # tasks may be added to either attempt.
            self.tasks.end_gang(now, job, StopReason.TWO_ATTEMPTS, 0.0)
        elif placement.state in (TaskState.RUNNING, TaskState.SAVING):
            job.gang_started = True

    def on_task_exited(self, now: float, job: Job, placement: Placement) -> None:
        """Handle a report that a task of a gang has exited without completing."""
        if job.all_completed():
            return
        is_current = placement.attempt == job.attempt and not job.gang_ending
        if is_current and not self._is_replaceable(job, placement):
            # The gang can't complete in this attempt, whatever its other tasks do.
            self.tasks.end_gang(now, job, StopReason.TASK_EXITED, 0.0, placement.exit_cause)
        job.finish_attempt()

    def _is_replaceable(self, job: Job, placement: Placement) -> bool:
        """Whether a new placement may replace an exited task within the attempt.

        This is possible only before the gang has started running, for a task that was refused, was
        stopped, or failed before it ran.
        """
        return not job.gang_started and (
            placement.exit_cause in REFUSAL_CAUSES
            or placement.stop_grace_s is not None
            or (placement.exit_cause == ExitCause.ERROR and not placement.running_at)
        )

    def all_reachable(self, now: float, job: Job) -> bool:
        """Whether all tasks of a gang can be stopped within the time that a checkpoint takes.

        That requires a recent heartbeat from each of their machines.
        """
        timing, machines = self.state.timing, self.state.machines
        max_silence_s = min(timing.heartbeat_timeout_s, timing.gang_stop_deadline_s)
        for name in job.assigned.values():
            machine = machines.get(name)
            if machine is None or machine.unreachable_since is not None:
                return False
            if now - machine.last_heartbeat_at > max_silence_s:
                return False
        return True

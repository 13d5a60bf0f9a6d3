"""Gangs: what the reported states of their tasks mean for the attempt that the tasks share."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.placements import Placement, StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.protocol.workers import ExitCause, TaskState

# Causes with which a machine refuses a start: the task has not run.
REFUSALS = (ExitCause.NO_CAPACITY, ExitCause.BUSY, ExitCause.UNKNOWN)


class GangMonitor:
    """Ends the attempts of gangs that can't complete, by what is reported of their tasks.

    Invariant: tasks of two attempts of a gang never run towards the same completion.
    """

    def __init__(self, state: ShardState, tasks: TaskLifecycle) -> None:
        self.state, self.tasks = state, tasks

    def on_task_active(self, now: float, job: Job, placement: Placement) -> None:
        """A task of a gang is reported as active."""
        if job.gang_ending and placement.stop_grace_s is None:
            # Its machine was taken over only after the attempt had ended and the rest were stopped.
            self.tasks.stop(now, placement, StopReason.ATTEMPT_ENDED)
        if not job.attempt and not job.gang_ending:
            if placement.stop_grace_s is not None:
                # The second copy of a task, which must go: no other task may join its attempt.
                return
            # Taken over from an earlier owner: what is missing joins its attempt.
            job.attempt = placement.attempt
        if placement.attempt != job.attempt:
            # Of another attempt, which only a leftover can be: neither may be added to.
            self.tasks.end_gang(now, job, StopReason.TWO_ATTEMPTS, 0.0)
        elif placement.state in (TaskState.RUNNING, TaskState.SAVING):
            job.gang_started = True

    def on_task_exited(self, now: float, job: Job, placement: Placement) -> None:
        """A task of a gang has exited without completing."""
        if job.all_completed():
            return
        current = placement.attempt == job.attempt and not job.gang_ending
        if current and not self._is_replaceable(job, placement):
            # Whatever the rest does now, it can't complete under this attempt.
            self.tasks.end_gang(now, job, StopReason.TASK_EXITED, 0.0, placement.exit_cause)
        job.finish_attempt()

    def _is_replaceable(self, job: Job, placement: Placement) -> bool:
        """Whether another placement may join the attempt in place of a task that has exited.

        Only while the gang still gathers: the task was refused, was stopped, or failed before it
        ran.
        """
        return not job.gang_started and (
            placement.exit_cause in REFUSALS
            or placement.stop_grace_s is not None
            or (placement.exit_cause == ExitCause.ERROR and not placement.running_at)
        )

    def all_reachable(self, now: float, job: Job) -> bool:
        """Whether all tasks of a gang can be stopped within the time that a checkpoint takes."""
        timing, machines = self.state.timing, self.state.machines
        longest_s = min(timing.heartbeat_timeout_s, timing.gang_stop_deadline_s)
        for name in job.assigned.values():
            machine = machines.get(name)
            if machine is None or machine.unreachable_since is not None:
                return False
            if now - machine.last_heartbeat_at > longest_s:
                return False
        return True

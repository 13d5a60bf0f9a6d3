"""Lifecycle of placements: starting and stopping them, and removing those proven gone.

Invariant: a task is requeued only once it is proven gone from the machine it was assigned to.
"""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import Placement, StopReason
from copperpass.core.scheduling.state import ShardState, TaskResources
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.users import PRIORITY_LEVELS

# Bit offsets, in an attempt number, of the epoch of the leader's term, and of the generation of the
# shard assignment in that term. The job's attempt count is in the lowest bits.
EPOCH_SHIFT, GENERATION_SHIFT = 44, 28
# Grace period of a stopped task, as a multiple of the checkpoint time declared by its job.
CHECKPOINT_GRACE_RATIO = 1.2


def is_current(machine: Machine, placement: Placement, job: Job) -> bool:
    """Whether the placement is the one to which the job has assigned its task.

    It is not if another attempt of the task is active on the machine. Otherwise an exited attempt
    that the worker has not forgotten yet would free the task of the active one.
    """
    return job.assigned.get(placement.index) == machine.name and not any(
        other.index == placement.index
        and other is not placement
        and other.active
        and other.job_id == placement.job_id
        for other in machine.tasks.values()
    )


def request_stop(placement: Placement, reason: StopReason, grace_s: float = 0.0) -> None:
    """Stop a task with its machine's next commands, even if an earlier stop was sent."""
    placement.stop_grace_s, placement.stop_reason = grace_s, reason
    placement.stop_sent_at = 0.0


class TaskLifecycle:
    """Starts, stops and removes placements; a started gang is stopped as a whole.

    Changes are sent with each machine's next commands.
    """

    def __init__(self, context: SchedulerContext, state: ShardState, commands: Commands) -> None:
        self.context, self.state, self.commands = context, state, commands
        self.machines, self.machines_of_job, self.quota_usage = (
            state.machines,
            state.machines_of_job,
            state.quota_usage,
        )
        self.jobs = context.jobs

    def new_attempt(self, job: Job) -> int:
        """Return the job's next attempt number, unique across terms and shard assignments."""
        job.attempts += 1
        context = self.context
        return (
            (context.epoch << EPOCH_SHIFT) + (context.generation << GENERATION_SHIFT) + job.attempts
        )

    def start(self, now: float, job: Job, index: int, machine: Machine) -> None:
        """Assign a task to a machine; its start is sent with the machine's next commands."""
        spec = job.spec
        placement = Placement(
            job_id=spec.id,
            index=index,
            attempt=job.attempt if spec.gang else self.new_attempt(job),
            machine=machine.name,
            team=spec.team,
            job_class=spec.job_class,
            priority=PRIORITY_LEVELS[spec.priority],
            cpus=spec.cpus,
            gpus=spec.gpus,
            memory_gb=spec.memory_gb,
            image=spec.image,
            estimate_s=spec.estimate_s,
            sent_at=now,
        )
        machine.tasks[placement.key] = placement
        self.machines_of_job.setdefault(spec.id, set()).add(machine.name)
        machine.pending_starts[placement.key] = placement
        machine.idle_since = now
        machine.touch_image(spec.image, spec.image_gb)
        self.quota_usage.on_task_added(machine, placement)
        job.assigned[index] = machine.name
        self.state.recent_tasks[spec.team].append(
            TaskResources(spec.cpus, spec.gpus, spec.memory_gb)
        )

    def remove(self, now: float, machine: Machine, placement: Placement) -> None:
        """Remove a task proven not to be on its machine, so that it may start elsewhere."""
        self.remove_all(now, machine, [placement])

    def remove_all(self, now: float, machine: Machine, placements: Iterable[Placement]) -> None:
        """Remove tasks proven not to be on their machine; recounts the machine's usage once."""
        removed = list(placements)
        if not removed:
            return
        for placement in removed:
            self._remove(now, machine, placement)
        self.state.dirty = True
        self.quota_usage.recount(machine)

    def _remove(self, now: float, machine: Machine, placement: Placement) -> None:
        """Remove one task; its resources still count until the machine's usage is recounted."""
        machine.tasks.pop(placement.key, None)
        machine.pending_starts.pop(placement.key, None)
        job = self.jobs.jobs.get(placement.job_id)
        if job is not None and placement.active and is_current(machine, placement, job):
            job.requeue(placement.index)
            if job.spec.gang:
                self._on_gang_task_lost(now, job, placement)

    def _on_gang_task_lost(self, now: float, job: Job, placement: Placement) -> None:
        if job.gang_started and placement.attempt == job.attempt and not job.all_completed():
            # The other tasks exit without a checkpoint: work since the last checkpoint is lost.
            self.end_gang(now, job, StopReason.TASK_LOST, 0.0)
        job.finish_attempt()

    def on_agent_epoch_ended(self, now: float, machine: Machine) -> None:
        """Remove all tasks of a machine whose agent epoch has ended."""
        self.remove_all(now, machine, machine.tasks.values())
        machine.pending_starts.clear()
        machine.images.clear()

    def stop(
        self, now: float, placement: Placement, reason: StopReason, checkpoint: bool = True
    ) -> None:
        """Stop a task gracefully; a started gang is stopped as a whole, to checkpoint together.

        Without `checkpoint`, a task that is stopped alone has no grace period: only its last
        checkpoint is kept.
        """
        job = self.jobs.jobs.get(placement.job_id)
        if job is None or not job.spec.gang or not job.gang_started or job.gang_ending:
            # A gang that hasn't started waits for a replacement task under the same attempt.
            request_stop(
                placement, reason, self._checkpoint_grace_s(placement) if checkpoint else 0.0
            )
        else:
            self.end_gang(now, job, reason, self._checkpoint_grace_s(placement))

    def end_gang(
        self, now: float, job: Job, reason: StopReason, grace_s: float, exit_cause: str = ""
    ) -> None:
        """End a gang's attempt: stop all its tasks, as close together in time as possible.

        The next attempt begins only when all of them are proven gone. `exit_cause` is the cause
        reported by the task whose exit ended the attempt; empty if the attempt ended otherwise.
        """
        if job.gang_ending:
            return
        job.gang_ending = True
        self.context.outbox.log(
            LogLevel.INFO,
            LogEvent.GANG_ATTEMPT_STOPPED,
            job=job.spec.id,
            reason=exit_cause or reason,
            had_started=job.gang_started,
        )
        for name in list(self.machines_of_job.get(job.spec.id, ())):
            machine = self.machines.get(name)
            if machine is None:
                continue
            unsent: list[Placement] = []
            for placement in machine.tasks.values():
                if placement.job_id != job.spec.id or not placement.active:
                    continue
                if placement.key in machine.pending_starts:
                    unsent.append(placement)
                elif placement.stop_grace_s is None:
                    request_stop(placement, reason, grace_s)
            self.remove_all(now, machine, unsent)
            self.commands.send(now, machine)
        job.finish_attempt()

    def stop_all(self, now: float, job: Job, reason: StopReason) -> None:
        """Withdraw a job's unsent starts, and stop its tasks on all machines that may have them."""
        for name in list(self.machines_of_job.get(job.spec.id, ())):
            machine = self.machines.get(name)
            if machine is None:
                continue
            affected = False
            unsent: list[Placement] = []
            for placement in machine.tasks.values():
                if placement.job_id != job.spec.id:
                    continue
                affected = True
                if placement.key in machine.pending_starts:
                    unsent.append(placement)
                elif placement.active:
                    request_stop(placement, reason)
                elif job.spec.id not in self.jobs.jobs:
                    placement.stored = True
            self.remove_all(now, machine, unsent)
            if affected:
                self.commands.send(now, machine)

    def _checkpoint_grace_s(self, placement: Placement) -> float:
        """Return the grace period in seconds of a stopped task: 0 if its job has no checkpoints."""
        job = self.jobs.jobs.get(placement.job_id)
        return (
            CHECKPOINT_GRACE_RATIO * job.spec.save_s if job and job.spec.checkpoint_s > 0 else 0.0
        )

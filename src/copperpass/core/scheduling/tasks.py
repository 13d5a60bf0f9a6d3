"""The lifecycle of placements: started on a machine, stopped, or proven not to be there.

Invariant: a task is requeued only once it is proven gone from the machine it was assigned to.
"""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import Placement, StopReason
from copperpass.core.scheduling.state import ShardState, TaskResources
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.users import PRIORITY_LEVELS

# The bits of an attempt number: the term, the generation of the shard assignment in it, a count.
EPOCH_SHIFT, GENERATION_SHIFT = 44, 28
# The grace period of a stopped task, as a multiple of the checkpoint time that its job states.
CHECKPOINT_GRACE_RATIO = 1.2


def is_current(machine: Machine, placement: Placement, job: Job) -> bool:
    """Whether the placement is the one that the job has assigned for its task.

    Not if another attempt of the task runs on the machine: an exited one that was not cleared yet
    would free the task of the running one.
    """
    return job.assigned.get(placement.index) == machine.name and not any(
        other is not placement
        and other.active
        and other.index == placement.index
        and other.job_id == placement.job_id
        for other in machine.tasks.values()
    )


def request_stop(placement: Placement, reason: StopReason, grace_s: float = 0.0) -> None:
    """Stop a task with its machine's next commands, also if an earlier stop was sent."""
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
        """The number of the job's next attempt; it is unique over terms and shard assignments."""
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
        machine.pending_starts.append(placement)
        machine.idle_since = now
        machine.touch_image(spec.image, spec.image_gb)
        self.quota_usage.recount(machine)
        job.assigned[index] = machine.name
        self.state.recent_tasks[spec.team].append(
            TaskResources(spec.cpus, spec.gpus, spec.memory_gb)
        )

    def remove(self, now: float, machine: Machine, placement: Placement) -> None:
        """A task is proven not to be on its machine: it may start elsewhere."""
        machine.tasks.pop(placement.key, None)
        if placement in machine.pending_starts:
            machine.pending_starts.remove(placement)
        job = self.jobs.jobs.get(placement.job_id)
        if job is not None and placement.active and is_current(machine, placement, job):
            job.requeue(placement.index)
            if job.spec.gang:
                self._on_gang_task_lost(now, job, placement)
        self.state.dirty = True
        self.quota_usage.recount(machine)

    def _on_gang_task_lost(self, now: float, job: Job, placement: Placement) -> None:
        if job.gang_started and placement.attempt == job.attempt and not job.all_completed():
            # The others exit without a checkpoint: the work since the last one is lost.
            self.end_gang(now, job, StopReason.TASK_LOST, 0.0)
        job.finish_attempt()

    def on_session_ended(self, now: float, machine: Machine) -> None:
        """A machine's session has ended, and with it all of its tasks."""
        for placement in list(machine.tasks.values()):
            self.remove(now, machine, placement)
        machine.pending_starts.clear()
        machine.images.clear()
        if machine.draining:
            self.state.release_if_empty(machine)

    def stop(self, now: float, placement: Placement, reason: StopReason, save: bool = True) -> None:
        """Stop a task gracefully; of a started gang all tasks, so that they checkpoint together.

        Unless `save`, it has no grace period, and only its last checkpoint is kept.
        """
        job = self.jobs.jobs.get(placement.job_id)
        if job is None or not job.spec.gang or not job.gang_started or job.gang_ending:
            # A gang that hasn't started waits for a replacement under the same attempt.
            request_stop(placement, reason, self._checkpoint_grace_s(placement) if save else 0.0)
        else:
            self.end_gang(now, job, reason, self._checkpoint_grace_s(placement))

    def end_gang(
        self, now: float, job: Job, reason: StopReason, grace_s: float, exit_cause: str = ""
    ) -> None:
        """End an attempt: all its tasks are stopped, as close together in time as possible.

        Another begins only when every one of them is proven gone. `exit_cause` is that of the task
        that ended the attempt, if one did.
        """
        if job.gang_ending:
            return
        job.gang_ending = True
        self.context.out.log(
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
            for placement in list(machine.tasks.values()):
                if placement.job_id != job.spec.id or not placement.active:
                    continue
                if placement in machine.pending_starts:
                    self.remove(now, machine, placement)
                elif placement.stop_grace_s is None:
                    request_stop(placement, reason, grace_s)
            self.commands.send(now, machine)
        job.finish_attempt()

    def stop_all(self, now: float, job: Job, reason: StopReason) -> None:
        """Withdraw a job's unsent starts, and stop its tasks wherever they may be."""
        for name in list(self.machines_of_job.get(job.spec.id, ())):
            machine = self.machines.get(name)
            if machine is None:
                continue
            affected = False
            for placement in list(machine.tasks.values()):
                if placement.job_id != job.spec.id:
                    continue
                affected = True
                if placement in machine.pending_starts:
                    self.remove(now, machine, placement)
                elif placement.active:
                    request_stop(placement, reason)
                elif job.spec.id not in self.jobs.jobs:
                    placement.stored = True
            if affected:
                self.commands.send(now, machine)

    def _checkpoint_grace_s(self, placement: Placement) -> float:
        """The grace period of a stopped task in seconds: 0 if its job writes no checkpoints."""
        job = self.jobs.jobs.get(placement.job_id)
        return (
            CHECKPOINT_GRACE_RATIO * job.spec.save_s if job and job.spec.checkpoint_s > 0 else 0.0
        )

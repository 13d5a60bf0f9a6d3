"""Evictions: tasks that must leave a machine which will be interrupted, or is another shard's."""

from __future__ import annotations

from copperpass.core.jobs.job_table import JobTable
from copperpass.core.scheduling.gang_monitor import GangMonitor
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import Placement, StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.protocol.frames.messages import NO_SHARD, MachineStatus

# A task is evicted from a machine with an interruption notice if it will still run for longer than
# this multiple of the time that is left: estimates are rough.
NOTICE_MARGIN = 1.5


class Evictions:
    """Stops tasks for the sake of the machine that they are on."""

    def __init__(
        self, jobs: JobTable, state: ShardState, tasks: TaskLifecycle, gangs: GangMonitor
    ) -> None:
        self.jobs, self.state, self.tasks, self.gangs = jobs, state, tasks, gangs

    def on_interruption_notice(self, now: float, machine: Machine, left_s: float) -> None:
        """The cloud interrupts the machine soon: tasks that would not complete move in time."""
        self.state.dirty = True
        for placement in list(machine.pending_starts):
            self.tasks.remove(now, machine, placement)
        for placement in list(machine.tasks.values()):
            if not placement.active or placement.stop_grace_s is not None:
                continue
            if self._cannot_checkpoint(now, placement, left_s):
                # To run on may still complete it.
                continue
            if remaining_s(placement, now) > NOTICE_MARGIN * left_s:
                self.tasks.stop(now, placement, StopReason.INTERRUPTION_NOTICE)

    def _cannot_checkpoint(self, now: float, placement: Placement, left_s: float) -> bool:
        """Whether a task's gang runs, and can't write a checkpoint within `left_s` seconds."""
        job = self.jobs.jobs.get(placement.job_id)
        return (
            job is not None
            and job.spec.gang
            and job.gang_started
            and (job.spec.save_s > left_s or not self.gangs.all_reachable(now, job))
        )

    def evict_other_shards(self, machine: Machine) -> None:
        """Stop tasks of other shards: the leader assigned the machine without knowing of them.

        A machine that has only such tasks is released to the shard of one of them instead.
        """
        other_shards = [task for task in machine.tasks.values() if task.of_other_shard]
        machine.holds_other_shard = bool(other_shards)
        if not other_shards:
            return
        if len(other_shards) == len(machine.tasks) and not machine.command_in_flight:
            shard = next((task.shard for task in other_shards if task.shard != NO_SHARD), NO_SHARD)
            if shard != NO_SHARD:
                last_status = MachineStatus(
                    machine.name, machine.base_token, registered=True, released=True, shard=shard
                )
                self.state.release(machine, last_status)
                return
        for placement in other_shards:
            if placement.active and placement.stop_grace_s is None:
                placement.mark_for_stop(StopReason.OTHER_SHARD)

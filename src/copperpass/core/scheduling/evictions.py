"""Evictions from machines about to be interrupted; handing machines over to other shards."""

from __future__ import annotations

from collections import Counter

from copperpass.core.jobs.job_table import JobTable
from copperpass.core.scheduling.gang_monitor import GangMonitor
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import Placement, StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.protocol.frames.messages import MachineStatus

# A task is evicted from a machine with an interruption notice if its estimated remaining runtime is
# longer than this multiple of the time until the interruption: estimates are rough.
INTERRUPTION_MARGIN_RATIO = 1.5


class Evictions:
    """Stops tasks that must leave their machine, and releases machines to their tasks' shard."""

    def __init__(
        self, jobs: JobTable, state: ShardState, tasks: TaskLifecycle, gangs: GangMonitor
    ) -> None:
        self.jobs, self.state, self.tasks, self.gangs = jobs, state, tasks, gangs

    def on_interruption_notice(self, now: float, machine: Machine, time_left_s: float) -> None:
        """Stop tasks that won't complete before the cloud interrupts the machine."""
        self.state.dirty = True
        self.tasks.remove_all(now, machine, machine.pending_starts.values())
        # By job id: a gang's machines are examined once and not once for each of its tasks.
        cannot_checkpoint: dict[str, bool] = {}
        for placement in list(machine.tasks.values()):
            if not placement.active or placement.stop_grace_s is not None:
                continue
            job_id = placement.job_id
            if job_id not in cannot_checkpoint:
                cannot_checkpoint[job_id] = self._cannot_checkpoint(now, job_id, time_left_s)
            if cannot_checkpoint[job_id]:
                # The gang may still complete if it continues to run.
                continue
            if remaining_s(placement, now) > INTERRUPTION_MARGIN_RATIO * time_left_s:
                self.tasks.stop(now, placement, StopReason.INTERRUPTION_NOTICE)

    def _cannot_checkpoint(self, now: float, job_id: str, time_left_s: float) -> bool:
        """Whether a job is a gang that runs and can't checkpoint within `time_left_s` seconds."""
        job = self.jobs.jobs.get(job_id)
        return (
            job is not None
            and job.spec.gang
            and job.gang_started
            and (job.spec.save_s > time_left_s or not self.gangs.all_reachable(now, job))
        )

    def hand_over_to_other_shard(self, machine: Machine) -> None:
        """Release a machine to the shard whose tasks it has, once it has no active ones of its own.

        The leader didn't know of these tasks when it assigned the machine. They go on running
        meanwhile, and the machine gets no new tasks.
        """
        others = [placement for placement in machine.tasks.values() if placement.needs_other_owner]
        machine.holds_other_shard = bool(others)
        has_own_tasks = machine.pending_starts or any(
            placement.active and not placement.of_other_shard
            for placement in machine.tasks.values()
        )
        if not others or has_own_tasks or machine.command_in_flight:
            return
        last_status = MachineStatus(
            machine.name,
            machine.base_token,
            registered=True,
            released=True,
            shard=_shard_of_most([placement for placement in others if placement.active] or others),
        )
        self.state.release(machine, last_status)


def _shard_of_most(placements: list[Placement]) -> int:
    """Return the shard with the most of these tasks; on ties, the one with the lowest number."""
    counts = Counter(placement.shard for placement in placements)
    return min(counts, key=lambda shard: (-counts[shard], shard))

"""The dispatcher: runs dispatch rounds, and keeps what passes from one to the next."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling import allocation
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.demand import Demand
from copperpass.core.scheduling.dispatch_round import DispatchRound, PlacementParts
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.preemption import Preemption
from copperpass.core.scheduling.team_queues import TeamQueues

# The time to the next round: at least, and for each job that waits.
MIN_PAUSE_S, PAUSE_PER_JOB_S = 0.01, 0.002


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchParts:
    """The parts of a scheduler that dispatch rounds work with."""

    placement: PlacementParts
    commands: Commands
    demand: Demand
    preemption: Preemption


class Dispatcher:
    """Runs dispatch rounds; `next_round_at` is the earliest moment for the next."""

    def __init__(self, parts: DispatchParts, now: float) -> None:
        self.state, self.reservations = parts.placement.state, parts.placement.reservations
        self.tuning, self.placement = parts.placement.tuning, parts.placement
        self.commands, self.demand, self.preemption = parts.commands, parts.demand, parts.preemption
        # Jobs without a placement in the latest round that must start before a machine would boot.
        self.urgent: set[str] = set()
        self.next_round_at = now

    def run_round(self, now: float) -> None:
        """Start the tasks that can be started, and preempt others for those that can't wait."""
        state = self.state
        state.dirty = False
        jobs = state.own_jobs()
        for job in jobs:
            if job.assigned:
                job.last_assigned_at = now
        self.reservations.reserved_types.observe(now, jobs)
        if all(job.pending_count() <= 0 for job in jobs):
            # Most heartbeats of an idle hour change nothing that could be started.
            state.needs_machines, self.urgent = False, set()
            self.next_round_at = now + MIN_PAUSE_S
            return
        silence_s = state.timing.heartbeat_timeout_s
        usable = [
            machine for machine in state.machines.values() if machine.is_usable(now, silence_s)
        ]
        queues = self._queues(now, jobs, usable)
        current = DispatchRound(now, self.placement, queues, jobs, usable)
        self.reservations.reserve_on_demand(now, jobs, usable)
        current.place_all()
        for machine in {machine.name: machine for machine in current.started_on}.values():
            self.commands.send(now, machine)
        self._flag_urgent(now, current.unplaced)
        if current.unplaced and self.tuning.preemption:
            self.preemption.preempt(now, current.unplaced, usable, queues.used)
        # The next round comes sooner when idle and later under load: a batch widens with it.
        max_pause_s = state.timing.heartbeat_interval_s / 4
        pause_s = MIN_PAUSE_S + PAUSE_PER_JOB_S * queues.backlog
        self.next_round_at = now + min(max_pause_s, pause_s)

    def _queues(self, now: float, jobs: list[Job], usable: list[Machine]) -> TeamQueues:
        """The round's queues, with the teams' allocations of the usable machines."""
        capacity = self._capacity(usable)
        allocated = allocation.allocate(self.demand.claims(), capacity).tasks
        queues = TeamQueues(now, self.state, self.demand, allocated, capacity[0])
        queues.fill(jobs, self.demand)
        return queues

    def _capacity(self, usable: list[Machine]) -> tuple[float, float]:
        """CPUs, and the second resource that the allocation is about: GPUs or GB of memory."""
        has_gpu_quotas = self.demand.has_gpu_quotas
        return (
            sum(machine.type.cpus for machine in usable),
            sum(
                machine.type.gpus if has_gpu_quotas else machine.type.memory_gb
                for machine in usable
            ),
        )

    def _flag_urgent(self, now: float, unplaced: Iterable[Job]) -> None:
        """Have the leader notified at once of jobs that have become urgent."""
        slos, boot_s = self.state.slos, self.state.timing.boot_s
        urgent = {job.spec.id for job in unplaced if slos.start_deadline(job, now) - now < boot_s}
        self.state.needs_machines = bool(urgent - self.urgent)
        self.urgent = urgent

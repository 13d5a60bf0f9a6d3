"""The dispatcher: runs dispatch rounds, and keeps the state that one round passes to the next."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling import allocation
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.demand import Demand
from copperpass.core.scheduling.dispatch_round import DispatchRound, PlacementComponents
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.preemption import Preemption
from copperpass.core.scheduling.team_queues import TeamQueues

# The pause before the next round: its minimum, and what each queued job adds.
MIN_PAUSE_S, PAUSE_PER_JOB_S = 0.01, 0.002
# The pause before a round that is due is tried again while no tasks may be started.
POSTPONED_ROUND_S = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherComponents:
    """The components of a scheduler that the dispatcher uses."""

    placement: PlacementComponents
    commands: Commands
    demand: Demand
    preemption: Preemption


class Dispatcher:
    """Runs dispatch rounds; `next_round_at` is the earliest time for the next one."""

    def __init__(self, components: DispatcherComponents, now: float) -> None:
        self.state, self.reservations = (
            components.placement.state,
            components.placement.reservations,
        )
        self.tuning, self.placement = components.placement.tuning, components.placement
        self.commands, self.demand, self.preemption = (
            components.commands,
            components.demand,
            components.preemption,
        )
        # Ids of the jobs that the latest round could not place and that must start before a machine
        # would boot.
        self.urgent_jobs: set[str] = set()
        self.next_round_at = now

    def postpone(self, now: float) -> None:
        """Try again shortly, because no tasks may be started now."""
        self.next_round_at = now + POSTPONED_ROUND_S

    def run_round(self, now: float) -> None:
        """Start pending tasks; preempt running ones for jobs that would miss their deadline."""
        state = self.state
        state.dirty = False
        jobs = state.own_jobs()
        for job in jobs:
            if job.assigned:
                job.last_assigned_at = now
        self.reservations.reserved_types.observe(now, jobs)
        if all(job.pending_count() <= 0 for job in jobs):
            # While the shard is idle, most heartbeats don't make any task startable.
            state.needs_machines, self.urgent_jobs = False, set()
            self.next_round_at = now + MIN_PAUSE_S
            return
        heartbeat_timeout_s = state.timing.heartbeat_timeout_s
        usable = [
            machine
            for machine in state.machines.values()
            if machine.is_usable(now, heartbeat_timeout_s)
        ]
        queues = self._build_queues(now, jobs, usable)
        dispatch_round = DispatchRound(now, self.placement, queues, jobs, usable)
        self.reservations.reserve_on_demand(now, jobs, usable)
        dispatch_round.place_all()
        for machine in {machine.name: machine for machine in dispatch_round.started_on}.values():
            self.commands.send(now, machine)
        self._flag_urgent(now, dispatch_round.unplaced)
        if dispatch_round.unplaced and self.tuning.preemption:
            self.preemption.preempt(now, dispatch_round.unplaced, usable, queues.used)
        if dispatch_round.is_full:
            # Queued jobs are left that machines may still have capacity for.
            state.dirty = True
        # The pause grows with the backlog, so that under load each round handles a larger batch.
        max_pause_s = state.timing.heartbeat_interval_s / 4
        pause_s = MIN_PAUSE_S + PAUSE_PER_JOB_S * queues.backlog
        self.next_round_at = now + min(max_pause_s, pause_s)

    def _build_queues(self, now: float, jobs: list[Job], usable: list[Machine]) -> TeamQueues:
        """Build the round's queues, with each team's allocation of the usable machines."""
        capacity = self._total_capacity(usable)
        allocated = allocation.allocate(self.demand.claims(), capacity).tasks
        queues = TeamQueues(now, self.state, self.demand, allocated, capacity[0])
        queues.fill(jobs, self.demand)
        return queues

    def _total_capacity(self, usable: list[Machine]) -> tuple[float, float]:
        """Return the total capacity of the two resources that the allocation divides.

        These are CPUs and, depending on whether teams have GPU quotas, GPUs or GB of memory.
        """
        has_gpu_quotas = self.demand.has_gpu_quotas
        return (
            sum(machine.type.cpus for machine in usable),
            sum(
                machine.type.gpus if has_gpu_quotas else machine.type.memory_gb
                for machine in usable
            ),
        )

    def _flag_urgent(self, now: float, unplaced: Iterable[Job]) -> None:
        """Record the urgent jobs; have the leader notified at once if there is a new one."""
        slos, boot_s = self.state.slos, self.state.timing.boot_s
        urgent_jobs = {
            job.spec.id for job in unplaced if slos.start_deadline(job, now) - now < boot_s
        }
        self.state.needs_machines = bool(urgent_jobs - self.urgent_jobs)
        self.urgent_jobs = urgent_jobs

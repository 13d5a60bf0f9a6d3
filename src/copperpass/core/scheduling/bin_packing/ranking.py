"""Which machine a job's next task goes to: a ranking that stays up to date within a round."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import satisfies_constraints, zone_feasible
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.prices import hourly_price
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.protocol.users import JobSpec

# Backfilling tasks are taken to run for so many times their estimate.
BACKFILL_MARGIN = 1.0

# The lower the better. A plain tuple, since one is made for each machine a job and round.
PlacementScore = tuple[float, ...]
# What its first items are; the rest is about the capacity that is left over.
FAILED_HERE, URGENT_FETCH_S, PRICE_PER_CPU, FETCH_S = 0, 1, 2, 3


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Which of the machines with free capacity a job's tasks may use, and which come first."""

    # Types that are reserved for larger tasks.
    reserved_types: Set[str] = frozenset()
    # The smallest of the tasks that each of these types is reserved for.
    smallest_large_tasks: Mapping[str, JobSpec] = field(default_factory=dict)
    # Only spot machines: the job can wait for one.
    spot_only: bool = False
    # Time is short: an image that is there already counts for more than a low price.
    urgent: bool = False
    # On-demand machines that are reserved for jobs that may use no other.
    reserved_machines: frozenset[str] = frozenset()
    # Neither reserved machines nor reservations for another job are closed to the job.
    ignore_reservations: bool = False


class Ranking:
    """The machines for one job's tasks in a round: image there, cheap, the least capacity left.

    All machines are scored once; after that only those where something has been started since, so
    a round's cost grows with what it starts, not with that times the fleet. Cheap machines come
    first: then the expensive ones are idle in a lull and can be returned. Machines where the job
    has failed come last. `log_position` is the present length of the round's list of machines
    that tasks were started on.

    Invariant: a machine's score changes only when a task starts on it, and then it is pushed again;
    entries with an earlier score are corrected or dropped when they come up.
    """

    def __init__(
        self,
        job: Job,
        candidates: Iterable[Machine],
        machines: dict[str, Machine],
        now: float,
        policy: PlacementPolicy,
        log_position: int = 0,
    ) -> None:
        self.job, self.machines, self.now = job, machines, now
        self.policy = policy
        self.log_position = log_position
        # Score, order of insertion, machine.
        self.heap: list[tuple[PlacementScore, int, Machine]] = []
        self.pushed = 0
        for machine in candidates:
            self._push(machine)

    def _push(self, machine: Machine) -> None:
        score = self._score(machine)
        if score is not None:
            self.pushed += 1
            heapq.heappush(self.heap, (score, self.pushed, machine))

    def _score(self, machine: Machine) -> PlacementScore | None:
        """A machine's score; None if no task of the job may start there."""
        spec, machine_type, policy = self.job.spec, machine.type, self.policy
        if not machine.has_capacity(spec) or not satisfies_constraints(
            spec, machine_type, machine.zone, machine.spot
        ):
            return None
        if policy.spot_only and not machine.spot:
            return None
        if machine_type.name in policy.reserved_types and not self._can_backfill(machine):
            return None
        if not policy.ignore_reservations and self._is_reserved(machine):
            return None
        left_cpus = machine_type.cpus - machine.used_cpus - spec.cpus
        fetch_s = machine.fetch_s(spec)
        return (
            float(machine.name in self.job.failed_on),
            fetch_s if policy.urgent else 0.0,
            hourly_price(machine_type, machine.spot) / max(machine_type.cpus, 1e-6),
            fetch_s,
            (machine_type.cpus > 2 * spec.cpus and left_cpus) or 0.0,
            left_cpus,
            machine_type.memory_gb - machine.used_memory_gb,
        )

    def _is_reserved(self, machine: Machine) -> bool:
        """Whether a machine is reserved for others than the job.

        Capacity that was freed by preemption is for the job it was freed for; capacity that is
        reserved for a gang serves short work until the gang's other capacity is free. On-demand
        machines are reserved for work that may not use any other.
        """
        spec = self.job.spec
        if (
            machine.is_reserved_for_other(spec.id, self.now)
            and not self.now + 2 * spec.estimate_s < machine.reservation_ready_at
        ):
            return True
        return spec.spot and machine.name in self.policy.reserved_machines

    def _can_backfill(self, machine: Machine) -> bool:
        """Whether a task may use what the large tasks on a machine of a reserved type leave.

        Only capacity in which none of them fits, and for no longer than they themselves run.
        """
        large = self.policy.smallest_large_tasks.get(machine.type.name)
        if large is None or machine.has_capacity(large):
            return False
        remaining = [
            remaining_s(placement, self.now)
            for placement in machine.tasks.values()
            if placement.active and placement.cpus >= large.cpus
        ]
        spec = self.job.spec
        needed_s = BACKFILL_MARGIN * spec.estimate_s + machine.fetch_s(spec)
        return bool(remaining) and needed_s <= min(remaining)

    def best(self, started_on: list[Machine]) -> Machine | None:
        """The best machine now; `started_on` names where the round has started tasks, in order."""
        for machine in started_on[self.log_position :]:
            self._push(machine)
        self.log_position = len(started_on)
        while self.heap:
            score, number, machine = self.heap[0]
            current_score = self._score(machine)
            if current_score is None or not zone_feasible(self.job, machine.zone, self.machines):
                # Within a round free capacity only shrinks and zones only close.
                heapq.heappop(self.heap)
            elif current_score != score:
                heapq.heapreplace(self.heap, (current_score, number, machine))
            else:
                return machine
        return None

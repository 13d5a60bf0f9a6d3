"""Which machine a job's next task goes to: a ranking that is kept up through a round."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.bin_packing.feasibility import satisfies_constraints, zone_feasible
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.prices import hourly_price
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.protocol.users import JobSpec

# Tasks are taken to run for so many times their estimate when they use what others leave.
BACKFILL_MARGIN = 1.0


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Which of the machines that have room for a job's tasks they may use, and which first."""

    # Types that are reserved for larger tasks.
    reserved_types: Set[str] = frozenset()
    # The smallest of the tasks that each of these types is reserved for.
    smallest_large_tasks: Mapping[str, JobSpec] = field(default_factory=dict)
    # Only spot machines: the job can wait for one.
    spot_only: bool = False
    # Time is short: an image that is there already counts for more than a low price.
    urgent: bool = False
    # Ordinary machines that are reserved for jobs that may use no other.
    reserved_machines: frozenset[str] = frozenset()
    # Neither reserved machines nor those held for another job are closed.
    ignore_reservations: bool = False


class Ranking:
    """The machines for one job's tasks in a round: image there, cheap, the least room left.

    All machines are judged once; after that only those where something has been started since, so
    a round's cost grows with what it starts, not with that times the fleet. Cheap machines come
    first: then the dear ones fall idle in a lull and can go back. Machines where the job has failed
    come last. `log_position` is the present length of the round's list of machines started on.
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
        self.heap: list[tuple[tuple[float, ...], int, Machine]] = []
        self.pushed = 0
        for machine in candidates:
            self._add(machine)

    def _add(self, machine: Machine) -> None:
        score = self._score(machine)
        if score is not None:
            self.pushed += 1
            heapq.heappush(self.heap, (score, self.pushed, machine))

    def _score(self, machine: Machine) -> tuple[float, ...] | None:
        """The lower the better; None if no task of the job may start there."""
        spec, kind, policy = self.job.spec, machine.type, self.policy
        if not machine.has_capacity(spec) or not satisfies_constraints(
            spec, kind, machine.zone, machine.spot
        ):
            return None
        if policy.spot_only and not machine.spot:
            return None
        if kind.name in policy.reserved_types and not self._can_backfill(machine):
            return None
        if (
            machine.is_reserved_for_other(spec.id, self.now)
            and not policy.ignore_reservations
            and not (self.now + 2 * spec.estimate_s < machine.reservation_ready_at)
        ):
            # Room that was freed by stopping tasks is for the job they were stopped for; room that
            # is held for a gang serves short work until the gang's other room is free.
            return None
        if (
            spec.spot
            and machine.name in policy.reserved_machines
            and not policy.ignore_reservations
        ):
            # Ordinary room is kept for work that may not use any other.
            return None
        left = kind.cpus - machine.used_cpus - spec.cpus
        fetch = machine.fetch_s(spec)
        return (
            float(machine.name in self.job.failed_on),
            fetch if policy.urgent else 0.0,
            hourly_price(kind, machine.spot) / max(kind.cpus, 1e-6),
            fetch,
            (kind.cpus > 2 * spec.cpus and left) or 0.0,
            left,
            kind.memory_gb - machine.used_memory,
        )

    def _can_backfill(self, machine: Machine) -> bool:
        """Whether a task may use what the large tasks on a machine of a reserved type leave.

        Only room in which none of them finds a place, and for no longer than they themselves run.
        """
        large = self.policy.smallest_large_tasks.get(machine.type.name)
        if large is None or machine.has_capacity(large):
            return False
        ends = [
            remaining_s(placement, self.now)
            for placement in machine.tasks.values()
            if placement.active and placement.cpus >= large.cpus
        ]
        spec = self.job.spec
        needed_s = BACKFILL_MARGIN * spec.estimate_s + machine.fetch_s(spec)
        return bool(ends) and needed_s <= min(ends)

    def best(self, started_on: list[Machine]) -> Machine | None:
        """The best machine now; `started_on` names where the round has started tasks, in order."""
        for machine in started_on[self.log_position :]:
            self._add(machine)
        self.log_position = len(started_on)
        while self.heap:
            score, number, machine = self.heap[0]
            current_score = self._score(machine)
            if current_score is None or not zone_feasible(self.job, machine.zone, self.machines):
                # Within a round room only shrinks and zones only close.
                heapq.heappop(self.heap)
            elif current_score != score:
                heapq.heapreplace(self.heap, (current_score, number, machine))
            else:
                return machine
        return None

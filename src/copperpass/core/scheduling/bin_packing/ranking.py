"""Ranking of the machines for a job's tasks, kept up to date within a dispatch round."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    is_zone_bound,
    satisfies_constraints,
    tasks_by_zone,
    zone_feasible,
)
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.prices import hourly_price
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.protocol.users import JobSpec

# A backfilling task is assumed to run for this many times its estimate.
BACKFILL_MARGIN = 1.0

# A lower score is better. A plain tuple, since each round makes one for each job and machine.
PlacementScore = tuple[float, ...]
# The indexes of its first items; the other items describe the capacity that would be left free.
FAILED_HERE, URGENT_FETCH_S, PRICE_PER_CPU, FETCH_S = 0, 1, 2, 3


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Which machines with free capacity a job's tasks may use, and which they prefer."""

    # Types that are reserved for larger tasks.
    reserved_types: Set[str] = frozenset()
    # By reserved type: the spec of the smallest task that it is reserved for.
    smallest_large_tasks: Mapping[str, JobSpec] = field(default_factory=dict)
    # Only spot machines may be used, since the job can wait for one.
    spot_only: bool = False
    # The start deadline is near: a short image fetch counts for more than a low price.
    urgent: bool = False
    # On-demand machines that are reserved for jobs that may not use spot machines.
    reserved_machines: frozenset[str] = frozenset()
    # The job may use reserved on-demand machines and machines that are reserved for another job.
    ignore_reservations: bool = False


class Ranking:
    """The ranking of machines for one job's tasks in a dispatch round.

    Machines where the job has failed come last. Otherwise it prefers cheap machines, then those
    that have the image, then those with the least capacity left; for an urgent job, a short image
    fetch comes before the price. Cheap machines are preferred so that, when demand is low, the
    expensive ones are idle and can be scaled in.

    All machines are scored once, and again only after tasks have started on them. So a round's cost
    grows with the number of started tasks, and not with that number times the fleet size.
    `started_on_position` is the current length of the round's list of machines on which tasks have
    started.

    Invariant: a machine's score changes only when a task starts on it, and then it is pushed again.
    Entries with an outdated score are updated or dropped when they reach the top of the heap.
    """

    def __init__(
        self,
        job: Job,
        candidates: Iterable[Machine],
        machines: dict[str, Machine],
        now: float,
        policy: PlacementPolicy,
        started_on_position: int = 0,
    ) -> None:
        self.job, self.now = job, now
        # The job's placed tasks by zone; empty if they don't restrict the zones of the others.
        self.zone_counts = tasks_by_zone(job, machines) if is_zone_bound(job.spec) else {}
        self.policy = policy
        self.started_on_position = started_on_position
        # Score, insertion number, machine.
        self.heap: list[tuple[PlacementScore, int, Machine]] = []
        self.push_count = 0
        for machine in candidates:
            self._push(machine)

    def _push(self, machine: Machine) -> None:
        score = self._score(machine)
        if score is not None:
            self.push_count += 1
            heapq.heappush(self.heap, (score, self.push_count, machine))

    def _score(self, machine: Machine) -> PlacementScore | None:
        """Return a machine's score; None if no task of the job may start there."""
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
        """Whether a machine is reserved for other jobs.

        Capacity that was freed by preemption is reserved for the preempting job. Capacity that is
        reserved for a gang may be used by short tasks until the gang's other capacity is free.
        Reserved on-demand machines may be used only by jobs that may not use spot machines.
        """
        spec = self.job.spec
        if (
            machine.is_reserved_for_other(spec.id, self.now)
            and not self.now + 2 * spec.estimate_s < machine.reservation_ready_at
        ):
            return True
        return spec.spot and machine.name in self.policy.reserved_machines

    def _can_backfill(self, machine: Machine) -> bool:
        """Whether a task may backfill a machine of a reserved type on which large tasks run.

        It may only use capacity in which no large task fits, and only if it ends before the first
        of the running large tasks does.
        """
        large_spec = self.policy.smallest_large_tasks.get(machine.type.name)
        if large_spec is None or machine.has_capacity(large_spec):
            return False
        remaining = [
            remaining_s(placement, self.now)
            for placement in machine.tasks.values()
            if placement.active and placement.cpus >= large_spec.cpus
        ]
        spec = self.job.spec
        needed_s = BACKFILL_MARGIN * spec.estimate_s + machine.fetch_s(spec)
        return bool(remaining) and needed_s <= min(remaining)

    def on_started(self, machine: Machine) -> None:
        """Count a task of the job that has been started on a machine."""
        if is_zone_bound(self.job.spec):
            self.zone_counts[machine.zone] = self.zone_counts.get(machine.zone, 0) + 1

    def best(self, started_on: list[Machine]) -> Machine | None:
        """Return the best machine now; None if no machine can take a task of the job.

        `started_on` lists the machines on which the round has started tasks, in order.
        """
        for machine in started_on[self.started_on_position :]:
            self._push(machine)
        self.started_on_position = len(started_on)
        while self.heap:
            score, insertion_number, machine = self.heap[0]
            current_score = self._score(machine)
            if current_score is None or not zone_feasible(
                self.job.spec, machine.zone, self.zone_counts
            ):
                # Within a round, free capacity only shrinks, and a zone that is infeasible for the
                # job stays so. The machine can be dropped for good.
                heapq.heappop(self.heap)
            elif current_score != score:
                heapq.heapreplace(self.heap, (current_score, insertion_number, machine))
            else:
                return machine
        return None

"""How many machines of which type, zone and kind to rent, and which to return."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    feasible_on_type,
    satisfies_constraints,
)
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.objectives import ServiceLevelObjectives
from copperpass.core.scheduling.prices import hourly_price
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec
from copperpass.protocol.workers import TaskState


class MachineGroup(NamedTuple):
    """What can be rented: a type of machine in a zone, of the cheap kind or the ordinary one."""

    type: str
    zone: str
    spot: bool


def longest_boot(types: dict[str, MachineType]) -> float:
    """The longest usual boot time; before the offer is known, that of a common machine."""
    return max((t.boot_s for t in types.values()), default=20.0)


@dataclass(slots=True)
class CapacityBackoff:
    """Places where the cloud had nothing, and when to ask again."""

    until: dict[MachineGroup, float] = field(default_factory=dict)
    wait: dict[MachineGroup, float] = field(default_factory=dict)

    def refused(self, machine_group: MachineGroup, now: float, base: float) -> None:
        """Back off, longer each time."""
        wait = min(self.wait.get(machine_group, base / 2) * 2, base * 4)
        self.wait[machine_group] = wait
        self.until[machine_group] = now + wait

    def granted(self, machine_group: MachineGroup) -> None:
        """Something was there: start over."""
        self.wait.pop(machine_group, None)

    def open(self, machine_group: MachineGroup, now: float) -> bool:
        """Whether to ask there."""
        return now >= self.until.get(machine_group, 0.0)


class SlidingMaximum:
    """The highest value over a sliding window."""

    def __init__(self, window: float) -> None:
        self.window = window
        self.samples: deque[tuple[float, float]] = deque()

    def add(self, now: float, value: float) -> None:
        """Take a sample."""
        while self.samples and self.samples[-1][1] <= value:
            self.samples.pop()
        self.samples.append((now, value))
        while self.samples[0][0] < now - self.window:
            self.samples.popleft()

    def value(self) -> float:
        """The highest sample in the window."""
        return self.samples[0][1] if self.samples else 0.0


@dataclass(frozen=True, slots=True)
class WarmTargets:
    """CPUs to keep up for demand that can't wait for a boot.

    Room on cheap machines is kept for longer than capacity on dear ones.
    """

    total_cpus: float
    spot_cpus: float


@dataclass(slots=True)
class CoverageRatio:
    """How far the CPUs that shards have cover what they need at their peaks."""

    have: dict[int, float]
    need: dict[int, float]

    def of(self, number: int, more: float = 0.0) -> float:
        """A shard's cover with some CPUs more."""
        return (self.have[number] + more) / max(self.need[number], 1e-3)

    def least(self) -> int:
        """The shard that is covered least."""
        return min(self.have, key=lambda n: (self.of(n), n))

    def can_donate(self, donor: int, recipient: int, cpus: float) -> bool:
        """Whether the lender stays covered at least as far as the borrower was."""
        return self.of(donor, -cpus) >= self.of(recipient)

    def move(self, donor: int, recipient: int, cpus: float) -> None:
        """Note that CPUs pass from one to the other."""
        self.have[donor] -= cpus
        self.have[recipient] += cpus


@dataclass(slots=True)
class FreeCapacity:
    """What a machine offers to tasks that wait, now or within their horizon."""

    type: MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    frees: list[tuple[float, float, float, float]]
    # The CPUs that it has once all that runs there has ended.
    most: float = 0.0

    def __post_init__(self) -> None:
        self.most = self.cpus + sum(free[1] for free in self.frees)

    def slots(self, spec: JobSpec, count: int, horizon: float) -> int:
        """For how many tasks, up to `count`, that may start within the horizon, it has capacity."""
        if count <= 0 or spec.cpus > self.most + 1e-6:
            return 0
        if not satisfies_constraints(spec, self.type, self.zone, self.spot):
            return 0
        cpus, gpus, memory = self.cpus, self.gpus, self.memory
        for at, c, g, m in self.frees:
            if at <= horizon:
                cpus, gpus, memory = cpus + c, gpus + g, memory + m
        slots = count
        for need, have in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory)):
            if need > 0:
                slots = min(slots, int((have + 1e-6) / need))
        return max(0, slots)

    def take(self, spec: JobSpec, count: int, horizon: float) -> int:
        """Give capacity to up to `count` tasks that may start within the horizon."""
        slots = self.slots(spec, count, horizon)
        if slots <= 0:
            return 0
        self.cpus -= slots * spec.cpus
        self.most -= slots * spec.cpus
        self.gpus -= slots * spec.gpus
        self.memory -= slots * spec.memory_gb
        return slots


def pack_gang(
    capacities: list[FreeCapacity],
    spec: JobSpec,
    count: int,
    horizon: float,
    excluded_types: set[str],
) -> int:
    """Give capacity to a gang's tasks, to all of them or to none; returns how many are left."""
    zones: dict[str, list[FreeCapacity]] = {}
    for capacity in capacities:
        if capacity.type.name not in excluded_types and satisfies_constraints(
            spec, capacity.type, capacity.zone, capacity.spot
        ):
            zones.setdefault(capacity.zone if spec.one_zone else "", []).append(capacity)
    most = (spec.tasks + 1) // 2 if spec.spread else count
    for zone in sorted(zones):
        offers: list[tuple[FreeCapacity, int]] = []
        taken: dict[str, int] = {}
        left = count
        for capacity in zones[zone]:
            slots = min(capacity.slots(spec, left, horizon), most - taken.get(capacity.zone, 0))
            if slots > 0:
                offers.append((capacity, slots))
                taken[capacity.zone] = taken.get(capacity.zone, 0) + slots
                left -= slots
        if left <= 0:
            for capacity, slots in offers:
                capacity.take(spec, slots, horizon)
            return 0
    return count


def slots_on_new(machine_type: MachineType, spec: JobSpec, count: int) -> int:
    """For how many of a job's tasks, up to `count`, an empty machine of a type has capacity."""
    per = [
        have / need
        for need, have in (
            (spec.cpus, machine_type.cpus),
            (spec.gpus, machine_type.gpus),
            (spec.memory_gb, machine_type.memory_gb),
        )
        if need > 0
    ]
    return min(count, int(min(per) + 1e-6)) if per else count


def choose_machine_group(
    spec: JobSpec | None,
    count: int,
    types: dict[str, MachineType],
    zones: dict[str, int],
    backoff: CapacityBackoff,
    now: float,
    spot_only: bool,
    excluded_types: set[str],
    within: str | None = None,
    on_demand_only: bool = False,
) -> MachineGroup | None:
    """The cheapest place for tasks of a shape, spread over zones; or `within` one of them.

    The price counts per task that finds capacity there; without a shape, per CPU.
    """
    best: MachineGroup | None = None
    best_score: tuple[float, int, str] | None = None
    for machine_type in types.values():
        if machine_type.name in excluded_types or (
            spec is not None and not feasible_on_type(spec, machine_type)
        ):
            continue
        slots = machine_type.cpus if spec is None else slots_on_new(machine_type, spec, count)
        for spot in (True, False):
            unoffered = spot and machine_type.spot_price is None
            if unoffered or (spot_only and not spot) or (on_demand_only and spot):
                continue
            price = hourly_price(machine_type, spot)
            for zone in machine_type.zones:
                if within is not None and zone != within:
                    continue
                if spec is not None and not satisfies_constraints(spec, machine_type, zone, spot):
                    continue
                machine_group = MachineGroup(machine_type.name, zone, spot)
                if not backoff.open(machine_group, now):
                    continue
                score = (price / max(slots, 1e-6), zones.get(zone, 0), zone)
                if best_score is None or score < best_score:
                    best, best_score = machine_group, score
    return best


def free_capacities(machines: Iterable[Machine], now: float, silence: float) -> list[FreeCapacity]:
    """What the machines that serve, or will soon, have to offer."""
    capacities = []
    for m in machines:
        if (
            m.deletion_requested
            or m.failed
            or m.quarantined
            or m.draining
            or m.notice_until is not None
        ):
            continue
        if m.up and (now - m.last_heartbeat_at > silence or m.unreachable_since is not None):
            continue
        cpus, gpus, memory = m.free_capacity()
        frees = [
            # A gang's task that waits for the others ends after them, not by itself.
            (remaining_s(p, now), p.cpus, p.gpus, p.memory_gb)
            for p in m.tasks.values()
            if p.active and p.state != TaskState.GATHERING
        ]
        capacities.append(FreeCapacity(m.type, m.zone, m.spot, cpus, gpus, memory, frees))
    return capacities


def cannot_wait(job: Job, slos: ServiceLevelObjectives, boot_s: float) -> bool:
    """Whether a job must start before a machine could boot for it.

    By its class's objective, or as a guaranteed job by the objective for guarantees.
    """
    wait = slos.tightest_start_target(job.spec.job_class)
    if wait is not None and wait < boot_s:
        return True
    return (
        slos.guarantee_target_s is not None and slos.guarantee_target_s < boot_s and job.guaranteed
    )


def needs_on_demand(job: Job, slos: ServiceLevelObjectives, boot_s: float) -> bool:
    """Whether a job may use ordinary machines only and can't wait for one to boot."""
    return not job.spec.spot and cannot_wait(job, slos, boot_s)


def remaining_capacity(
    machine_type: MachineType, machine_group: MachineGroup, used_cpus: float
) -> FreeCapacity:
    """About what a machine offers beside what runs there; its memory is taken to be as full."""
    part = 1.0 - used_cpus / machine_type.cpus if machine_type.cpus > 0 else 1.0
    return FreeCapacity(
        machine_type,
        machine_group.zone,
        machine_group.spot,
        machine_type.cpus - used_cpus,
        machine_type.gpus * part,
        machine_type.memory_gb * part,
        [],
    )


def empty_machine_capacity(machine_type: MachineType, machine_group: MachineGroup) -> FreeCapacity:
    """What an empty machine offers."""
    return FreeCapacity(
        machine_type,
        machine_group.zone,
        machine_group.spot,
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        [],
    )


def with_zone_affinity(spec: JobSpec, zones: Iterable[str]) -> JobSpec:
    """A job as it may still be placed: in one zone for all, where its other tasks are.

    Counted or provisioned elsewhere, capacity is of no use to it: machines came up, idled and were
    returned.
    """
    if not spec.one_zone or spec.zone is not None:
        return spec
    zone = next(iter(zones), None)
    return spec if zone is None else msgspec.structs.replace(spec, zone=zone)


def without_exhausted(capacities: list[FreeCapacity], least_cpus: float) -> list[FreeCapacity]:
    """The capacities in which the smallest task that waits may still find a place at some time."""
    return [capacity for capacity in capacities if capacity.most + 1e-6 >= least_cpus]


def pack_tasks(
    capacities: list[FreeCapacity],
    spec: JobSpec,
    count: int,
    horizon: float,
    excluded_types: set[str],
) -> int:
    """Give capacity to tasks that may start within the horizon; returns how many are left."""
    for capacity in capacities:
        if count <= 0:
            break
        if capacity.type.name not in excluded_types:
            count -= capacity.take(spec, count, horizon)
    return count

"""Finds the machines where capacity for a large task or a gang will be free soonest."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    feasible_when_empty,
    fits_within,
    is_zone_bound,
    slots_in,
    tasks_by_zone,
    zone_choices,
    zone_feasible,
    zone_limit,
)
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.protocol.users import JobSpec


@dataclass(frozen=True, slots=True)
class GangReservation:
    """The machines where a gang will have capacity soonest."""

    machines: list[Machine]
    # When all of that capacity will be free.
    ready_at: float
    # Whether the capacity is enough for all missing tasks of the gang.
    complete: bool


class FutureSlot(NamedTuple):
    """Capacity for one task on a machine; slots that are free sooner sort first."""

    free_in_s: float
    # The machine isn't reserved for jobs that may not use spot machines.
    unreserved: bool
    machine_name: str
    machine: Machine


def _capacity_over_time(
    machine: Machine, now: float
) -> Iterator[tuple[float, tuple[float, float, float]]]:
    """Yield a machine's free capacity now and after each task ends, if no other task starts.

    Each item is the number of seconds from now, and the CPUs, GPUs and GB of memory free then.
    """
    cpus, gpus, memory = machine.free_capacity()
    yield 0.0, (cpus, gpus, memory)
    by_end = sorted(
        (
            (remaining_s(placement, now), placement)
            for placement in machine.tasks.values()
            if placement.active
        ),
        key=lambda pair: pair[0],
    )
    for free_in_s, placement in by_end:
        cpus, gpus = cpus + placement.cpus, gpus + placement.gpus
        memory += placement.memory_gb
        yield free_in_s, (cpus, gpus, memory)


def machine_to_reserve(
    job: Job, usable: list[Machine], machines: dict[str, Machine], now: float
) -> Machine | None:
    """Return the machine that has capacity for the job's next task soonest; None if none can.

    It assumes that no other task starts.
    """
    best: tuple[float, str, Machine] | None = None
    spec = job.spec
    zone_counts = tasks_by_zone(job, machines) if is_zone_bound(spec) else {}
    for machine in usable:
        if not feasible_when_empty(spec, machine):
            continue
        if not zone_feasible(spec, machine.zone, zone_counts):
            continue
        if machine.is_reserved_for_other(spec.id, now):
            continue
        free_in_s = _free_in_s(spec, machine, now)
        if best is None or (free_in_s, machine.name) < best[:2]:
            best = (free_in_s, machine.name, machine)
    return best[2] if best else None


def _free_in_s(spec: JobSpec, machine: Machine, now: float) -> float:
    """Return in how many seconds a machine has capacity for a task that fits it when empty."""
    last_s = 0.0
    capacities = _capacity_over_time(machine, now)
    for slots, (free_in_s, (cpus, gpus, memory)) in enumerate(
        capacities, machine.usable_slots(spec)
    ):
        if (
            slots > 0
            and fits_within(spec.cpus, cpus)
            and fits_within(spec.gpus, gpus)
            and fits_within(spec.memory_gb, memory)
        ):
            return free_in_s
        last_s = free_in_s
    # Rounding errors can leave the sum below the machine's capacity. All tasks have ended by now,
    # so no more capacity will become free.
    return last_s


def plan_gang_reservation(
    job: Job,
    usable: list[Machine],
    machines: dict[str, Machine],
    now: float,
    reserved_machines: frozenset[str],
) -> GangReservation | None:
    """Return the machines where a gang will have capacity soonest; None if there are none.

    If there isn't capacity for all missing tasks, it returns the machines with capacity for most of
    them: machines for the rest are to be provisioned in the same zones. `reserved_machines` are the
    on-demand machines reserved for jobs that may not use spot machines.
    """
    spec, count = job.spec, job.pending_count()
    feasible = [
        machine
        for machine in usable
        if feasible_when_empty(spec, machine) and not machine.is_reserved_for_other(spec.id, now)
    ]
    best: tuple[tuple[int, float, int], list[Machine]] | None = None
    for zones in zone_choices(job, {machine.zone for machine in feasible}, machines):
        slots: list[FutureSlot] = []
        for machine in feasible:
            if machine.zone in zones:
                unreserved = machine.name not in reserved_machines
                slots += _future_slots(spec, machine, count, now, unreserved)
        slots.sort(key=lambda slot: slot[:3])
        chosen = _first_slots(spec, slots, count)
        if chosen:
            reserved = list({slot.machine_name: slot.machine for slot in chosen}.values())
            rank = (count - len(chosen), chosen[-1].free_in_s, len(reserved))
            if best is None or rank < best[0]:
                best = (rank, reserved)
    if best is None:
        return None
    (missing, free_in_s, _), reserved = best
    return GangReservation(reserved, now + free_in_s, missing == 0)


def _future_slots(
    spec: JobSpec, machine: Machine, limit: int, now: float, unreserved: bool
) -> list[FutureSlot]:
    """List a machine's slots for a job's tasks, up to `limit`, in the order they become free."""
    future: list[FutureSlot] = []
    capacities = _capacity_over_time(machine, now)
    for slots, (free_in_s, capacity) in enumerate(capacities, machine.usable_slots(spec)):
        added = slots_in(spec, capacity, min(limit, max(0, slots))) - len(future)
        future += [FutureSlot(free_in_s, unreserved, machine.name, machine)] * added
    return future


def _first_slots(spec: JobSpec, slots: list[FutureSlot], count: int) -> list[FutureSlot]:
    """Return the first slots, up to `count`, without exceeding a spread job's zone limit."""
    limit = zone_limit(spec)
    by_zone: dict[str, int] = {}
    chosen: list[FutureSlot] = []
    for slot in slots:
        if len(chosen) == count:
            break
        zone = slot.machine.zone
        if spec.spread and by_zone.get(zone, 0) >= limit:
            continue
        by_zone[zone] = by_zone.get(zone, 0) + 1
        chosen.append(slot)
    return chosen

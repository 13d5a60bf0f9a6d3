"""Where capacity for a large task or for a gang is free soonest."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    feasible_on_type,
    fits_within,
    satisfies_constraints,
    slots_in,
    zone_choices,
    zone_feasible,
    zone_limit,
)
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.protocol.users import JobSpec


@dataclass(frozen=True, slots=True)
class GangReservation:
    """The machines where a gang finds room soonest, when, and whether for all of its tasks."""

    machines: list[Machine]
    ready: float
    whole: bool


# A place for one task: in how many seconds it is free, whether it isn't kept for others, where.
Offer = tuple[float, bool, str, Machine]


def machine_to_reserve(
    job: Job, usable: list[Machine], machines: dict[str, Machine], now: float
) -> Machine | None:
    """The machine that will have room for the job's next task soonest, if nothing else starts."""
    best: tuple[float, str, Machine] | None = None
    spec = job.spec
    for machine in usable:
        if not satisfies_constraints(spec, machine.type, machine.zone, machine.spot):
            continue
        if not feasible_on_type(spec, machine.type) or not zone_feasible(
            job, machine.zone, machines
        ):
            continue
        if machine.is_reserved_for_other(spec.id, now):
            continue
        cpus, gpus, memory = machine.free_capacity()
        ready = 0.0
        tasks = sorted(
            ((remaining_s(p, now), p) for p in machine.tasks.values() if p.active),
            key=lambda pair: pair[0],
        )
        for left, p in tasks:
            if (
                fits_within(spec.cpus, cpus)
                and fits_within(spec.gpus, gpus)
                and fits_within(spec.memory_gb, memory)
            ):
                break
            ready = left
            cpus, gpus, memory = cpus + p.cpus, gpus + p.gpus, memory + p.memory_gb
        if best is None or (ready, machine.name) < best[:2]:
            best = (ready, machine.name, machine)
    return best[2] if best else None


def plan_gang_reservation(
    job: Job,
    usable: list[Machine],
    machines: dict[str, Machine],
    now: float,
    reserved_machines: frozenset[str],
) -> GangReservation | None:
    """Where a gang will find room soonest.

    If nowhere for all, then where there is room for most: the rest is to be rented there.
    """
    spec, need = job.spec, len(job.missing())
    allowed = [
        machine
        for machine in usable
        if satisfies_constraints(spec, machine.type, machine.zone, machine.spot)
        and feasible_on_type(spec, machine.type)
        and not machine.is_reserved_for_other(spec.id, now)
    ]
    best: tuple[tuple[int, float, int], list[Machine]] | None = None
    for zones in zone_choices(job, {machine.zone for machine in allowed}, machines):
        offers: list[Offer] = []
        for machine in allowed:
            if machine.zone in zones:
                offers += _offers(spec, machine, need, now, machine.name not in reserved_machines)
        offers.sort(key=lambda offer: offer[:3])
        chosen = _choose(spec, offers, need)
        if chosen:
            hold = list({machine.name: machine for _, machine in chosen}.values())
            rank = (need - len(chosen), chosen[-1][0], len(hold))
            if best is None or rank < best[0]:
                best = (rank, hold)
    if best is None:
        return None
    (short, last, _), hold = best
    return GangReservation(hold, now + last, short == 0)


def _offers(
    spec: JobSpec, machine: Machine, need: int, now: float, free_to_all: bool
) -> list[Offer]:
    """A machine's free places, one after the other, by when they are there."""
    offers: list[Offer] = []
    room, had = list(machine.free_capacity()), 0
    tasks = sorted(
        ((remaining_s(p, now), p) for p in machine.tasks.values() if p.active),
        key=lambda pair: pair[0],
    )
    ready = 0.0
    for left, placement in [*tasks, (0.0, None)]:
        slots = slots_in(spec, (room[0], room[1], room[2]), need)
        offers += [(ready, free_to_all, machine.name, machine)] * (slots - had)
        had = max(had, slots)
        if placement is not None:
            ready = left
            for n, amount in enumerate((placement.cpus, placement.gpus, placement.memory_gb)):
                room[n] += amount
    return offers


def _choose(spec: JobSpec, offers: list[Offer], need: int) -> list[tuple[float, Machine]]:
    """The first places, up to `need`, that don't put too many tasks into one zone."""
    most = zone_limit(spec)
    counts: dict[str, int] = {}
    chosen: list[tuple[float, Machine]] = []
    for ready, _, _, machine in offers:
        if len(chosen) == need:
            break
        if spec.spread and counts.get(machine.zone, 0) >= most:
            continue
        counts[machine.zone] = counts.get(machine.zone, 0) + 1
        chosen.append((ready, machine))
    return chosen

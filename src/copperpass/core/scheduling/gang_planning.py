"""Where a gang fits as a whole, now or soonest."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.jobs.job_table import CAPACITY_TOLERANCE, Job
from copperpass.core.scheduling.machines import Machine, feasible_on_type, satisfies_constraints
from copperpass.core.scheduling.objectives import remaining_s
from copperpass.core.scheduling.ranking import Ranking
from copperpass.protocol.users import JobSpec


@dataclass(slots=True)
class GangPlan:
    """Where the tasks of a gang go, all at once, and when the last of them has its image."""

    places: list[tuple[int, Machine]]
    cost: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class GangReservation:
    """The machines where a gang finds room soonest, when, and whether for all of its tasks."""

    machines: list[Machine]
    ready: float
    whole: bool


# A place for one task: in how many seconds it is free, whether it isn't kept for others, where.
Offer = tuple[float, bool, str, Machine]


def _slots(spec: JobSpec, room: tuple[float, float, float], most: int) -> int:
    """How many tasks fit into a room, up to `most`."""
    count = most
    for need, have in zip((spec.cpus, spec.gpus, spec.memory_gb), room, strict=True):
        if need > 0:
            count = min(count, int((have + CAPACITY_TOLERANCE) / need))
    return max(0, count)


def _zones(job: Job, zones: set[str], machines: dict[str, Machine]) -> list[set[str]]:
    """The sets of zones one of which must take all that is missing of a gang."""
    if not job.spec.one_zone:
        return [zones]
    taken = {machines[n].zone if n in machines else "?" for n in job.placed.values()}
    return [{zone} for zone in sorted(zones) if taken <= {zone}]


def _most_per_zone(spec: JobSpec) -> int:
    """How many tasks of a gang one zone may take."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def plan_gang(ranking: Ranking, machines: dict[str, Machine]) -> GangPlan | None:
    """Place all missing tasks of a gang, or none of them.

    Of the zones that have room for the whole, the one where it starts soonest: the gang starts with
    its last image. On few machines rather than on many: it runs at the speed of the slowest.
    """
    job = ranking.job
    missing = job.missing()
    offers = [(score, machine) for score, _, machine in ranking.heap]
    best: GangPlan | None = None
    for zones in _zones(job, {machine.zone for _, machine in offers}, machines):
        here = [offer for offer in offers if offer[1].zone in zones]
        plan = _plan_on(job, missing, here, machines)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def _plan_on(
    job: Job,
    missing: list[int],
    offers: list[tuple[tuple[float, ...], Machine]],
    machines: dict[str, Machine],
) -> GangPlan | None:
    """Place all missing tasks on the offered machines, if there is room."""
    spec, need, most = job.spec, len(missing), _most_per_zone(job.spec)
    counts: dict[str, int] = {}
    for name in job.placed.values():
        where = machines[name].zone if name in machines else "?"
        counts[where] = counts.get(where, 0) + 1
    here = [
        (score, machine, _slots(spec, machine.free_capacity(), need)) for score, machine in offers
    ]
    # Where it has failed last, without a fetch first, whole before in parts, cheap before dear.
    here.sort(key=lambda o: (o[0][0], o[0][3], -o[2], *o[0][1:], o[1].name))
    places: list[tuple[int, Machine]] = []
    used: list[tuple[float, ...]] = []
    left = list(missing)
    for score, machine, slots in here:
        if not left:
            break
        free = min(slots, most - counts.get(machine.zone, 0)) if spec.spread else slots
        # Ended tasks that aren't cleared yet are still there: the machine would ignore a start
        # under the same attempt, and refuse one under another.
        there = {index for name, index, _ in machine.tasks if name == spec.id}
        mine = [i for i in left if i not in there][:free]
        if not mine:
            continue
        counts[machine.zone] = counts.get(machine.zone, 0) + len(mine)
        places += [(i, machine) for i in mine]
        left = [i for i in left if i not in mine]
        used.append(score)
    return None if left else GangPlan(places, _cost(used))


def _cost(scores: list[tuple[float, ...]]) -> tuple[float, ...]:
    """The lower the better: failed there, slowest fetch, number of machines, mean price."""
    return (
        max(score[0] for score in scores),
        max(score[3] for score in scores),
        float(len(scores)),
        sum(score[2] for score in scores) / len(scores),
    )


def plan_gang_reservation(
    job: Job,
    usable: list[Machine],
    machines: dict[str, Machine],
    now: float,
    kept: frozenset[str],
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
    for zones in _zones(job, {machine.zone for machine in allowed}, machines):
        offers: list[Offer] = []
        for machine in allowed:
            if machine.zone in zones:
                offers += _offers(spec, machine, need, now, machine.name not in kept)
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
        slots = _slots(spec, (room[0], room[1], room[2]), need)
        offers += [(ready, free_to_all, machine.name, machine)] * (slots - had)
        had = max(had, slots)
        if placement is not None:
            ready = left
            for n, amount in enumerate((placement.cpus, placement.gpus, placement.memory_gb)):
                room[n] += amount
    return offers


def _choose(spec: JobSpec, offers: list[Offer], need: int) -> list[tuple[float, Machine]]:
    """The first places, up to `need`, that don't put too many tasks into one zone."""
    most = _most_per_zone(spec)
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

"""Where a gang fits as a whole, now or soonest."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass import wire
from copperpass.core.dispatch import remaining
from copperpass.core.fleet import Machine, allows, type_fits
from copperpass.core.jobs import EPS, Job
from copperpass.core.scheduling.ranking import Ranking


@dataclass(slots=True)
class GangPlan:
    """Where the tasks of a gang go, all at once, and when the last of them has its image."""

    places: list[tuple[int, Machine]]
    cost: tuple[float, ...]


def _slots(spec: wire.Spec, room: tuple[float, float, float], most: int) -> int:
    """How many tasks fit into a room, up to `most`."""
    count = most
    for need, have in zip((spec.cpus, spec.gpus, spec.memory_gb), room, strict=True):
        if need > 0:
            count = min(count, int((have + EPS) / need))
    return max(0, count)


def _zones(job: Job, zones: set[str], machines: dict[str, Machine]) -> list[set[str]]:
    """The sets of zones one of which must take all that is missing of a gang."""
    if not job.spec.one_zone:
        return [zones]
    taken = {machines[n].zone if n in machines else "?" for n in job.placed.values()}
    return [{zone} for zone in sorted(zones) if taken <= {zone}]


def plan_gang(ranking: Ranking, machines: dict[str, Machine]) -> GangPlan | None:
    """Place all missing tasks of a gang, or none of them.

    Of the zones that have room for the whole, the one where it starts soonest: the gang starts with
    its last image. On few machines rather than on many: it runs at the speed of the slowest.
    """
    job = ranking.job
    spec, missing = job.spec, job.missing()
    offers = [(score, m) for score, _, m in ranking.heap]
    best: GangPlan | None = None
    most = (spec.tasks + 1) // 2 if spec.spread else spec.tasks
    for zones in _zones(job, {m.zone for _, m in offers}, machines):
        counts: dict[str, int] = {}
        for name in job.placed.values():
            where = machines[name].zone if name in machines else "?"
            counts[where] = counts.get(where, 0) + 1
        places: list[tuple[int, Machine]] = []
        used: list[tuple[float, ...]] = []
        need = len(missing)
        here = [(score, m, _slots(spec, m.room(), need)) for score, m in offers if m.zone in zones]
        # Where it has failed last, without a fetch first, whole before in parts, cheap before dear.
        here.sort(key=lambda o: (o[0][0], o[0][3], -o[2], *o[0][1:], o[1].name))
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
        if left:
            continue
        cost = (
            max(s[0] for s in used),
            max(s[3] for s in used),
            float(len(used)),
            sum(s[2] for s in used) / len(used),
        )
        if best is None or cost < best.cost:
            best = GangPlan(places, cost)
    return best


def gang_hold(
    job: Job,
    usable: list[Machine],
    machines: dict[str, Machine],
    now: float,
    kept: frozenset[str],
) -> tuple[list[Machine], float, bool] | None:
    """The machines where a gang will find room soonest, when, and whether for all of its tasks.

    If nowhere for all, then where there is room for most: the rest is to be rented there.
    """
    spec, need = job.spec, len(job.missing())
    allowed = [
        m
        for m in usable
        if allows(spec, m.type, m.zone, m.spot)
        and type_fits(spec, m.type)
        and not m.held_from(spec.id, now)
    ]
    best: tuple[int, float, int, list[Machine]] | None = None
    most = (spec.tasks + 1) // 2 if spec.spread else spec.tasks
    for zones in _zones(job, {m.zone for m in allowed}, machines):
        # Each machine's free places, one after the other, by when they are there.
        offers: list[tuple[float, bool, str, Machine]] = []
        for machine in allowed:
            if machine.zone not in zones:
                continue
            room, had = list(machine.room()), 0
            tasks = sorted(
                ((remaining(p, now), p) for p in machine.tasks.values() if p.active),
                key=lambda pair: pair[0],
            )
            ready = 0.0
            for left, p in [*tasks, (0.0, None)]:
                slots = _slots(spec, (room[0], room[1], room[2]), need)
                offers += [(ready, machine.name not in kept, machine.name, machine)] * (slots - had)
                had = max(had, slots)
                if p is not None:
                    ready = left
                    for n, amount in enumerate((p.cpus, p.gpus, p.memory_gb)):
                        room[n] += amount
        offers.sort(key=lambda o: o[:3])
        counts: dict[str, int] = {}
        chosen: list[tuple[float, Machine]] = []
        for ready, _, _, machine in offers:
            if len(chosen) == need:
                break
            if spec.spread and counts.get(machine.zone, 0) >= most:
                continue
            counts[machine.zone] = counts.get(machine.zone, 0) + 1
            chosen.append((ready, machine))
        if chosen:
            last = chosen[-1][0]
            hold = list({m.name: m for _, m in chosen}.values())
            if best is None or (need - len(chosen), last, len(hold)) < best[:3]:
                best = (need - len(chosen), last, len(hold), hold)
    return (best[3], now + best[1], best[0] == 0) if best else None

"""The placement of a gang as a whole, on machines that have capacity now."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    slots_in,
    zone_choices,
    zone_limit,
)
from copperpass.core.scheduling.bin_packing.ranking import Ranking
from copperpass.core.scheduling.machines import Machine


@dataclass(slots=True)
class GangPlan:
    """Where the tasks of a gang go, all at once, and when the last of them has its image."""

    places: list[tuple[int, Machine]]
    cost: tuple[float, ...]


def plan_gang(ranking: Ranking, machines: dict[str, Machine]) -> GangPlan | None:
    """Place all missing tasks of a gang, or none of them.

    Of the zones that have room for the whole, the one where it starts soonest: the gang starts with
    its last image. On few machines rather than on many: it runs at the speed of the slowest.
    """
    job = ranking.job
    missing = job.missing()
    offers = [(score, machine) for score, _, machine in ranking.heap]
    best: GangPlan | None = None
    for zones in zone_choices(job, {machine.zone for _, machine in offers}, machines):
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
    spec, need, most = job.spec, len(missing), zone_limit(job.spec)
    counts: dict[str, int] = {}
    for name in job.placed.values():
        where = machines[name].zone if name in machines else "?"
        counts[where] = counts.get(where, 0) + 1
    here = [
        (score, machine, slots_in(spec, machine.free_capacity(), need)) for score, machine in offers
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

"""The placement of a gang as a whole, on machines that have capacity now."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    slots_in,
    tasks_by_zone,
    zone_choices,
    zone_limit,
)
from copperpass.core.scheduling.bin_packing.ranking import (
    FAILED_HERE,
    FETCH_S,
    PRICE_PER_CPU,
    PlacementScore,
    Ranking,
)
from copperpass.core.scheduling.machines import Machine


@dataclass(frozen=True, slots=True)
class GangPlan:
    """Where the missing tasks of a gang go, all at once; of two plans the lower cost is better."""

    # Task index and machine.
    placements: list[tuple[int, Machine]]
    # Failed there, slowest fetch of the image, number of machines, mean price.
    cost: tuple[float, ...]


def plan_gang(ranking: Ranking, machines: dict[str, Machine]) -> GangPlan | None:
    """Place all missing tasks of a gang, or none of them.

    Of the zones that have capacity for the whole, the one where it starts soonest: the gang starts
    with its last image. On few machines rather than on many: it runs at the speed of the slowest.
    """
    job = ranking.job
    missing = job.pending_tasks()
    scored = [(score, machine) for score, _, machine in ranking.heap]
    best: GangPlan | None = None
    for zones in zone_choices(job, {machine.zone for _, machine in scored}, machines):
        in_zones = [(score, machine) for score, machine in scored if machine.zone in zones]
        plan = _plan_on(job, missing, in_zones, machines)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def _plan_on(
    job: Job,
    missing: list[int],
    scored: list[tuple[PlacementScore, Machine]],
    machines: dict[str, Machine],
) -> GangPlan | None:
    """Place all missing tasks on the scored machines, if they have the capacity."""
    spec, limit = job.spec, zone_limit(job.spec)
    counts = tasks_by_zone(job, machines)
    placements: list[tuple[int, Machine]] = []
    used: list[PlacementScore] = []
    left = list(missing)
    for score, machine, slots in _by_preference(job, len(missing), scored):
        if not left:
            break
        free = min(slots, limit - counts.get(machine.zone, 0)) if spec.spread else slots
        # Ended tasks that aren't cleared yet are still there: the machine would ignore a start
        # under the same attempt, and refuse one under another.
        present = {index for job_id, index, _ in machine.tasks if job_id == spec.id}
        chosen = [index for index in left if index not in present][:free]
        if not chosen:
            continue
        counts[machine.zone] = counts.get(machine.zone, 0) + len(chosen)
        placements += [(index, machine) for index in chosen]
        left = [index for index in left if index not in chosen]
        used.append(score)
    return None if left else GangPlan(placements, _cost(used))


def _by_preference(
    job: Job, count: int, scored: list[tuple[PlacementScore, Machine]]
) -> list[tuple[PlacementScore, Machine, int]]:
    """The machines with their slots: where the gang has failed last, without a fetch first.

    Then whole before in parts, cheap before expensive.
    """
    offers = [
        (score, machine, slots_in(job.spec, machine.free_capacity(), count))
        for score, machine in scored
    ]
    offers.sort(
        key=lambda offer: (
            offer[0][FAILED_HERE],
            offer[0][FETCH_S],
            -offer[2],
            *offer[0][FAILED_HERE + 1 :],
            offer[1].name,
        )
    )
    return offers


def _cost(scores: list[PlacementScore]) -> tuple[float, ...]:
    """The cost of a plan that uses machines with these scores, see `GangPlan`."""
    return (
        max(score[FAILED_HERE] for score in scores),
        max(score[FETCH_S] for score in scores),
        float(len(scores)),
        sum(score[PRICE_PER_CPU] for score in scores) / len(scores),
    )

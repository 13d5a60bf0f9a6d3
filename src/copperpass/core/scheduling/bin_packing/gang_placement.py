"""Placement of a gang as a whole, on machines that have capacity now."""

from __future__ import annotations

from collections import deque
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
    """The machines for all missing tasks of a gang; the plan with the lowest cost is the best."""

    # Task index and machine.
    placements: list[tuple[int, Machine]]
    # In this order: 1 if the job has failed on one of the machines, the slowest image fetch in
    # seconds, the number of machines, their mean hourly price per CPU.
    cost: tuple[float, ...]


def plan_gang(ranking: Ranking, machines: dict[str, Machine]) -> GangPlan | None:
    """Place all missing tasks of a gang, or none of them.

    Among zones with capacity for all of them, it prefers the one with the earliest start: a gang
    starts only when its last machine has fetched the image. Then it prefers few machines, since a
    gang runs at the speed of the slowest.
    """
    job = ranking.job
    missing = job.pending_tasks()
    scored = [(score, machine) for score, _, machine in ranking.heap]
    best: GangPlan | None = None
    for zones in zone_choices(job, {machine.zone for _, machine in scored}, machines):
        in_zones = [(score, machine) for score, machine in scored if machine.zone in zones]
        plan = _plan_on_machines(job, missing, in_zones, machines)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def _plan_on_machines(
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
    remaining = deque(missing)
    for score, machine, slots in _by_preference(job, len(missing), scored):
        if not remaining:
            break
        free_slots = min(slots, limit - counts.get(machine.zone, 0)) if spec.spread else slots
        # Exited tasks that haven't been cleared are still listed on the machine. It would ignore a
        # start of such a task under the same attempt, and refuse one under another attempt.
        present = {index for job_id, index, _ in machine.tasks if job_id == spec.id}
        chosen = _take_first(remaining, free_slots, present)
        if not chosen:
            continue
        counts[machine.zone] = counts.get(machine.zone, 0) + len(chosen)
        placements += [(index, machine) for index in chosen]
        used.append(score)
    return None if remaining else GangPlan(placements, _cost(used))


def _take_first(remaining: deque[int], limit: int, excluded: set[int]) -> list[int]:
    """Remove and return the first indexes that are not excluded, up to `limit`."""
    chosen: list[int] = []
    skipped: list[int] = []
    while remaining and len(chosen) < limit:
        index = remaining.popleft()
        (skipped if index in excluded else chosen).append(index)
    remaining.extendleft(reversed(skipped))
    return chosen


def _by_preference(
    job: Job, count: int, scored: list[tuple[PlacementScore, Machine]]
) -> list[tuple[PlacementScore, Machine, int]]:
    """Sort the machines by preference, each with its number of slots for the gang's tasks.

    Machines where the job has failed come last, and machines with a shorter image fetch first.
    Then come those with more slots, so that the gang is on few machines, and then the cheaper ones.
    """
    ranked = [
        (
            score,
            machine,
            slots_in(job.spec, machine.free_capacity(), min(count, machine.usable_slots(job.spec))),
        )
        for score, machine in scored
    ]
    ranked.sort(
        key=lambda entry: (
            entry[0][FAILED_HERE],
            entry[0][FETCH_S],
            -entry[2],
            *entry[0][FAILED_HERE + 1 :],
            entry[1].name,
        )
    )
    return ranked


def _cost(scores: list[PlacementScore]) -> tuple[float, ...]:
    """Return the cost of a plan that uses machines with these scores, see `GangPlan`."""
    return (
        max(score[FAILED_HERE] for score in scores),
        max(score[FETCH_S] for score in scores),
        float(len(scores)),
        sum(score[PRICE_PER_CPU] for score in scores) / len(scores),
    )

"""Bottleneck-aware allocation (BAA) over two resources, as pure functions.

After Wang and Varman, "Balancing Fairness and Efficiency in Tiered Storage
Systems with Bottleneck-Aware Allocation" (FAST '14). The paper's two devices
are two kinds of resource here, a client is a team, and a request is a task.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import combinations

# Amounts up to this count as none.
TINY = 1e-9
# The tolerance for constraints, as a part of their bounds.
SLACK = 1e-6
# The least weight of a team.
MIN_WEIGHT = 1e-3

# A constraint p * rho_1 + q * rho_2 = r, as (p, q, r).
Line = tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class Claim:
    """What a team requests per task of each resource, its weight and its cap in tasks."""

    team: str
    request: tuple[float, float]
    weight: float = 1.0
    cap: float = float("inf")


@dataclass(frozen=True, slots=True)
class Allocation:
    """Tasks for each team, with the paper's bottleneck sets and factors that led to them."""

    tasks: dict[str, float]
    first_set: frozenset[str] = frozenset()
    second_set: frozenset[str] = frozenset()
    factors: tuple[float, float] = (0.0, 0.0)


def weight_of_quota(cpus: float, gpus: float, has_gpu_quotas: bool) -> float:
    """A team's weight by its guaranteed quota: of GPUs where the deployment has them, else CPUs."""
    return max(gpus if has_gpu_quotas and gpus > 0 else cpus, MIN_WEIGHT)


def load(claim: Claim, capacity: tuple[float, float], resource: int) -> float:
    """The part of a resource's capacity that one task takes."""
    if claim.request[resource] <= TINY:
        return 0.0
    if capacity[resource] <= TINY:
        return float("inf")
    return claim.request[resource] / capacity[resource]


def fair_share(claim: Claim, capacity: tuple[float, float], total_weight: float) -> float:
    """Tasks that the team would run on its weighted part of each resource."""
    part = claim.weight / total_weight
    shares = [part * capacity[r] / claim.request[r] for r in (0, 1) if claim.request[r] > TINY]
    return min(shares) if shares else 0.0


def _uses(claims: Sequence[Claim], fair: dict[str, float], resource: int) -> float:
    """What the claims take of a resource at their fair shares."""
    return sum(fair[claim.team] * claim.request[resource] for claim in claims)


def ratio_bounds(
    first: Sequence[Claim], second: Sequence[Claim], fair: dict[str, float]
) -> tuple[float, float]:
    """The bounds of rho_1 / rho_2 that keep teams of different sets free of envy.

    Fair shares are taken per unit of weight: a team of twice the weight is
    entitled to twice as much, and is envied only beyond that.
    """
    low, high = 0.0, float("inf")
    for i in first:
        for j in second:
            fi, fj = fair[i.team] / i.weight, fair[j.team] / j.weight
            if i.request[0] * fi > TINY:
                low = max(low, j.request[0] * fj / (i.request[0] * fi))
            if i.request[1] * fi > TINY:
                high = min(high, j.request[1] * fj / (i.request[1] * fi))
    return low, high


def _solve(
    first: Sequence[Claim],
    second: Sequence[Claim],
    fair: dict[str, float],
    capacity: tuple[float, float],
) -> tuple[float, float]:
    """The two factors, found at the corner points of the two-variable program."""
    first_uses = [_uses(first, fair, resource) for resource in (0, 1)]
    second_uses = [_uses(second, fair, resource) for resource in (0, 1)]
    if not second:
        return (_factor_alone(first_uses, capacity) if first else 0.0), 0.0
    if not first:
        return 0.0, _factor_alone(second_uses, capacity)
    low, high = ratio_bounds(first, second, fair)
    # The last two hold the sharing incentive, which the paper can prove because its requests add
    # up to one; ours don't, so it is asked for.
    lines: list[Line] = [
        (first_uses[0], second_uses[0], capacity[0]),
        (first_uses[1], second_uses[1], capacity[1]),
        (1.0, -low, 0.0),
        (1.0, 0.0, 1.0),
        (0.0, 1.0, 1.0),
    ]
    if high != float("inf"):
        lines.append((1.0, -high, 0.0))
    total_first = sum(fair[claim.team] for claim in first)
    total_second = sum(fair[claim.team] for claim in second)

    def is_feasible(rho_1: float, rho_2: float) -> bool:
        return (
            min(rho_1, rho_2) >= 1 - SLACK
            and all(
                rho_1 * first_uses[resource] + rho_2 * second_uses[resource]
                <= capacity[resource] * (1 + SLACK)
                for resource in (0, 1)
            )
            and rho_2 * low * (1 - SLACK) <= rho_1 <= rho_2 * high * (1 + SLACK)
        )

    # A hard partition is always feasible: every request fits into its equal part.
    best, best_total = (1.0, 1.0), total_first + total_second
    for rho_1, rho_2 in _corner_points(lines):
        total = rho_1 * total_first + rho_2 * total_second
        if total > best_total and is_feasible(rho_1, rho_2):
            best, best_total = (rho_1, rho_2), total
    return best


def _factor_alone(uses: Sequence[float], capacity: tuple[float, float]) -> float:
    """The factor of a set whose teams have the resources for themselves."""
    bounds = [capacity[r] / uses[r] for r in (0, 1) if uses[r] > TINY]
    return min(bounds) if bounds else 0.0


def _corner_points(lines: Sequence[Line]) -> Iterator[tuple[float, float]]:
    """Where two of the lines meet, in the order of the lines."""
    for (p1, q1, r1), (p2, q2, r2) in combinations(lines, 2):
        det = p1 * q2 - p2 * q1
        if abs(det) <= TINY * max(1.0, abs(p1 * q2)):
            continue
        yield (r1 * q2 - r2 * q1) / det, (p1 * r2 - p2 * r1) / det


def allocate_once(claims: Sequence[Claim], capacity: tuple[float, float]) -> Allocation:
    """BAA as in the paper: no caps."""
    asking = [claim for claim in claims if max(claim.request) > TINY and claim.weight > TINY]
    if not asking:
        return Allocation({claim.team: 0.0 for claim in claims})
    total_weight = sum(claim.weight for claim in asking)
    fair = {claim.team: fair_share(claim, capacity, total_weight) for claim in asking}
    first = [claim for claim in asking if load(claim, capacity, 0) >= load(claim, capacity, 1)]
    second = [claim for claim in asking if load(claim, capacity, 0) < load(claim, capacity, 1)]
    factors = _solve(first, second, fair, capacity)
    tasks = {claim.team: 0.0 for claim in claims}
    tasks.update({claim.team: factors[0] * fair[claim.team] for claim in first})
    tasks.update({claim.team: factors[1] * fair[claim.team] for claim in second})
    return Allocation(
        tasks,
        frozenset(claim.team for claim in first),
        frozenset(claim.team for claim in second),
        factors,
    )


def allocate(claims: Sequence[Claim], capacity: tuple[float, float]) -> Allocation:
    """BAA with caps (limit or demand); capacity that is left over is spread by the same rule."""
    allocated = {claim.team: 0.0 for claim in claims}
    left = capacity
    asking = [claim for claim in claims if claim.cap > TINY]
    initial: Allocation | None = None
    while asking:
        step = allocate_once(asking, left)
        if initial is None:
            initial = step
        uncapped = {claim.team: claim.cap - allocated[claim.team] for claim in asking}
        growing = [claim for claim in asking if step.tasks[claim.team] > TINY]
        if not growing:
            break
        # Grow all teams together until the first one meets its cap, then go on without it.
        scale = min(1.0, min(uncapped[claim.team] / step.tasks[claim.team] for claim in growing))
        for claim in growing:
            allocated[claim.team] += scale * step.tasks[claim.team]
        used = [
            sum(scale * step.tasks[claim.team] * claim.request[resource] for claim in growing)
            for resource in (0, 1)
        ]
        left = (max(0.0, left[0] - used[0]), max(0.0, left[1] - used[1]))
        below_cap = [claim for claim in asking if allocated[claim.team] < claim.cap * (1 - SLACK)]
        if scale >= 1.0 and len(below_cap) == len(asking):
            break
        asking = below_cap
    if initial is None:
        return Allocation(allocated)
    return Allocation(allocated, initial.first_set, initial.second_set, initial.factors)

"""Bottleneck-aware allocation (BAA) over two resources, as pure functions.

After Wang and Varman, "Balancing Fairness and Efficiency in Tiered Storage
Systems with Bottleneck-Aware Allocation" (FAST '14). The paper's two devices
are two kinds of resource here, a client is a team, and a request is a task.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

TINY = 1e-9
# The least weight of a team.
MIN_WEIGHT = 1e-3


@dataclass(frozen=True, slots=True)
class Claim:
    """What a team asks per task of each resource, its weight and its cap in tasks."""

    team: str
    request: tuple[float, float]
    weight: float = 1.0
    cap: float = float("inf")


@dataclass(frozen=True, slots=True)
class Allocation:
    """Tasks for each team, with the sets and factors that led to them."""

    tasks: dict[str, float]
    first_set: frozenset[str] = frozenset()
    second_set: frozenset[str] = frozenset()
    factors: tuple[float, float] = (0.0, 0.0)


def weight_of_quota(cpus: float, gpus: float, gpus_matter: bool) -> float:
    """A team's weight by its guaranteed quota: of GPUs where the deployment has them, else CPUs."""
    return max(gpus if gpus_matter and gpus > 0 else cpus, MIN_WEIGHT)


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
    return sum(fair[c.team] * c.request[resource] for c in claims)


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
    a = [_uses(first, fair, r) for r in (0, 1)]
    b = [_uses(second, fair, r) for r in (0, 1)]

    def alone(uses: list[float]) -> float:
        bounds = [capacity[r] / uses[r] for r in (0, 1) if uses[r] > TINY]
        return min(bounds) if bounds else 0.0

    if not second:
        return (alone(a) if first else 0.0), 0.0
    if not first:
        return 0.0, alone(b)
    low, high = ratio_bounds(first, second, fair)
    # Lines p * rho_1 + q * rho_2 = r. The last two hold the sharing incentive, which the
    # paper can prove because its requests add up to one; ours don't, so it is asked for.
    lines = [(a[0], b[0], capacity[0]), (a[1], b[1], capacity[1])]
    lines += [(1.0, -low, 0.0), (1.0, 0.0, 1.0), (0.0, 1.0, 1.0)]
    if high != float("inf"):
        lines.append((1.0, -high, 0.0))
    total_first = sum(fair[c.team] for c in first)
    total_second = sum(fair[c.team] for c in second)
    slack = 1e-6
    # A hard partition is always feasible: every request fits into its equal part.
    best, best_total = (1.0, 1.0), total_first + total_second
    for n, (p1, q1, r1) in enumerate(lines):
        for p2, q2, r2 in lines[n + 1 :]:
            det = p1 * q2 - p2 * q1
            if abs(det) <= TINY * max(1.0, abs(p1 * q2)):
                continue
            rho_1, rho_2 = (r1 * q2 - r2 * q1) / det, (p1 * r2 - p2 * r1) / det
            feasible = (
                min(rho_1, rho_2) >= 1 - slack
                and all(rho_1 * a[r] + rho_2 * b[r] <= capacity[r] * (1 + slack) for r in (0, 1))
                and rho_2 * low * (1 - slack) <= rho_1 <= rho_2 * high * (1 + slack)
            )
            total = rho_1 * total_first + rho_2 * total_second
            if feasible and total > best_total:
                best, best_total = (rho_1, rho_2), total
    return best


def allocate_once(claims: Sequence[Claim], capacity: tuple[float, float]) -> Allocation:
    """BAA as in the paper: no caps."""
    asking = [c for c in claims if max(c.request) > TINY and c.weight > TINY]
    if not asking:
        return Allocation({c.team: 0.0 for c in claims})
    total_weight = sum(c.weight for c in asking)
    fair = {c.team: fair_share(c, capacity, total_weight) for c in asking}
    first = [c for c in asking if load(c, capacity, 0) >= load(c, capacity, 1)]
    second = [c for c in asking if load(c, capacity, 0) < load(c, capacity, 1)]
    factors = _solve(first, second, fair, capacity)
    tasks = {c.team: 0.0 for c in claims}
    tasks.update({c.team: factors[0] * fair[c.team] for c in first})
    tasks.update({c.team: factors[1] * fair[c.team] for c in second})
    return Allocation(
        tasks,
        frozenset(c.team for c in first),
        frozenset(c.team for c in second),
        factors,
    )


def allocate(claims: Sequence[Claim], capacity: tuple[float, float]) -> Allocation:
    """BAA with caps (limit or demand); room left over is spread by the same rule."""
    given = {c.team: 0.0 for c in claims}
    left = capacity
    asking = [c for c in claims if c.cap > TINY]
    initial: Allocation | None = None
    while asking:
        step = allocate_once(asking, left)
        if initial is None:
            initial = step
        wanted = {c.team: c.cap - given[c.team] for c in asking}
        grows = [c for c in asking if step.tasks[c.team] > TINY]
        if not grows:
            break
        # Grow all teams together until the first one meets its cap, then go on without it.
        scale = min(1.0, min(wanted[c.team] / step.tasks[c.team] for c in grows))
        for c in grows:
            given[c.team] += scale * step.tasks[c.team]
        used = [sum(scale * step.tasks[c.team] * c.request[r] for c in grows) for r in (0, 1)]
        left = (max(0.0, left[0] - used[0]), max(0.0, left[1] - used[1]))
        remaining = [c for c in asking if given[c.team] < c.cap * (1 - 1e-6)]
        if scale >= 1.0 and len(remaining) == len(asking):
            break
        asking = remaining
    if initial is None:
        return Allocation(given)
    return Allocation(given, initial.first_set, initial.second_set, initial.factors)

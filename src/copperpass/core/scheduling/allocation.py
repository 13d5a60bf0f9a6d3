"""Bottleneck-aware allocation (BAA) over two resources, as pure functions.

After Wang and Varman, "Balancing Fairness and Efficiency in Tiered Storage
Systems with Bottleneck-Aware Allocation" (FAST '14). The paper's two devices
are two kinds of resource here, a client is a team, and a request is a task.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import combinations

# Amounts up to this count as zero.
EPSILON = 1e-9
# The relative tolerance of constraints and caps.
CONSTRAINT_TOLERANCE = 1e-6
# The lowest weight of a team.
MIN_WEIGHT = 1e-3

# The boundary p * rho_1 + q * rho_2 = r of a constraint, as (p, q, r).
Line = tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class Claim:
    """A team's request per task for each resource, its weight, and its cap in tasks."""

    team: str
    request: tuple[float, float]
    weight: float = 1.0
    cap: float = float("inf")


@dataclass(frozen=True, slots=True)
class Allocation:
    """The tasks allocated to each team, with the paper's bottleneck sets and factors behind them.

    `first_set` and `second_set` hold the teams whose bottleneck is the first or second resource.
    `factors` are rho_1 and rho_2: each set's allocation as a multiple of its fair shares.
    """

    tasks: dict[str, float]
    first_set: frozenset[str] = frozenset()
    second_set: frozenset[str] = frozenset()
    factors: tuple[float, float] = (0.0, 0.0)


def weight_of_quota(cpus: float, gpus: float, has_gpu_quotas: bool) -> float:
    """Return a team's weight: its guaranteed GPUs if teams have GPU quotas, otherwise its CPUs."""
    return max(gpus if has_gpu_quotas and gpus > 0 else cpus, MIN_WEIGHT)


def load(claim: Claim, capacity: tuple[float, float], resource: int) -> float:
    """Return the fraction of a resource's capacity that one task takes.

    It is infinite if the task needs a resource that has no capacity.
    """
    if claim.request[resource] <= EPSILON:
        return 0.0
    if capacity[resource] <= EPSILON:
        return float("inf")
    return claim.request[resource] / capacity[resource]


def fair_share(claim: Claim, capacity: tuple[float, float], total_weight: float) -> float:
    """Return how many tasks a team could run on its weighted share of both resources."""
    share = claim.weight / total_weight
    shares = [share * capacity[r] / claim.request[r] for r in (0, 1) if claim.request[r] > EPSILON]
    return min(shares) if shares else 0.0


def _usage_at_fair_shares(claims: Sequence[Claim], fair: dict[str, float], resource: int) -> float:
    """Return the amount of a resource that the claims use at their fair shares."""
    return sum(fair[claim.team] * claim.request[resource] for claim in claims)


def ratio_bounds(
    first: Sequence[Claim], second: Sequence[Claim], fair: dict[str, float]
) -> tuple[float, float]:
    """Return the bounds of rho_1 / rho_2 within which no team envies one of the other set.

    Fair shares are compared per unit of weight: a team of twice the weight is
    entitled to twice as much, and is envied only for more than that.
    """
    low, high = 0.0, float("inf")
    for claim_1 in first:
        for claim_2 in second:
            share_1, share_2 = (
                fair[claim_1.team] / claim_1.weight,
                fair[claim_2.team] / claim_2.weight,
            )
            if claim_1.request[0] * share_1 > EPSILON:
                low = max(low, claim_2.request[0] * share_2 / (claim_1.request[0] * share_1))
            if claim_1.request[1] * share_1 > EPSILON:
                high = min(high, claim_2.request[1] * share_2 / (claim_1.request[1] * share_1))
    return low, high


def _solve(
    first: Sequence[Claim],
    second: Sequence[Claim],
    fair: dict[str, float],
    capacity: tuple[float, float],
) -> tuple[float, float]:
    """Return the two factors: the best feasible corner point of a two-variable linear program."""
    first_usage = [_usage_at_fair_shares(first, fair, resource) for resource in (0, 1)]
    second_usage = [_usage_at_fair_shares(second, fair, resource) for resource in (0, 1)]
    if not second:
        return (_factor_alone(first_usage, capacity) if first else 0.0), 0.0
    if not first:
        return 0.0, _factor_alone(second_usage, capacity)
    low, high = ratio_bounds(first, second, fair)
    # The two lines rho_1 = 1 and rho_2 = 1 enforce the sharing incentive: no team gets less than
    # its fair share. The paper can prove it because the fractions of its requests add up to one.
    # Ours don't, so it has to be a constraint.
    lines: list[Line] = [
        (first_usage[0], second_usage[0], capacity[0]),
        (first_usage[1], second_usage[1], capacity[1]),
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
            min(rho_1, rho_2) >= 1 - CONSTRAINT_TOLERANCE
            and all(
                rho_1 * first_usage[resource] + rho_2 * second_usage[resource]
                <= capacity[resource] * (1 + CONSTRAINT_TOLERANCE)
                for resource in (0, 1)
            )
            and rho_2 * low * (1 - CONSTRAINT_TOLERANCE)
            <= rho_1
            <= rho_2 * high * (1 + CONSTRAINT_TOLERANCE)
        )

    # A hard partition, where each team has exactly its fair share, is always feasible, since every
    # fair share fits into its team's weighted share of the capacity.
    best, best_total = (1.0, 1.0), total_first + total_second
    for rho_1, rho_2 in _corner_points(lines):
        total = rho_1 * total_first + rho_2 * total_second
        if total > best_total and is_feasible(rho_1, rho_2):
            best, best_total = (rho_1, rho_2), total
    return best


def _factor_alone(usage: Sequence[float], capacity: tuple[float, float]) -> float:
    """Return the factor of a set if the other set is empty, so that it shares with no one."""
    bounds = [capacity[r] / usage[r] for r in (0, 1) if usage[r] > EPSILON]
    return min(bounds) if bounds else 0.0


def _corner_points(lines: Sequence[Line]) -> Iterator[tuple[float, float]]:
    """Yield the intersection of each pair of lines, in the order of the lines."""
    for (p1, q1, r1), (p2, q2, r2) in combinations(lines, 2):
        determinant = p1 * q2 - p2 * q1
        if abs(determinant) <= EPSILON * max(1.0, abs(p1 * q2)):
            continue
        yield (r1 * q2 - r2 * q1) / determinant, (p1 * r2 - p2 * r1) / determinant


def allocate_once(claims: Sequence[Claim], capacity: tuple[float, float]) -> Allocation:
    """Allocate by BAA as in the paper, without caps."""
    active_claims = [
        claim for claim in claims if max(claim.request) > EPSILON and claim.weight > EPSILON
    ]
    if not active_claims:
        return Allocation({claim.team: 0.0 for claim in claims})
    total_weight = sum(claim.weight for claim in active_claims)
    fair = {claim.team: fair_share(claim, capacity, total_weight) for claim in active_claims}
    first = [
        claim for claim in active_claims if load(claim, capacity, 0) >= load(claim, capacity, 1)
    ]
    second = [
        claim for claim in active_claims if load(claim, capacity, 0) < load(claim, capacity, 1)
    ]
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
    """Allocate by BAA with caps (limit or demand); unused capacity follows the same rule."""
    allocated = {claim.team: 0.0 for claim in claims}
    remaining = capacity
    active_claims = [claim for claim in claims if claim.cap > EPSILON]
    initial: Allocation | None = None
    while active_claims:
        step = allocate_once(active_claims, remaining)
        if initial is None:
            initial = step
        remaining_cap = {claim.team: claim.cap - allocated[claim.team] for claim in active_claims}
        growing = [claim for claim in active_claims if step.tasks[claim.team] > EPSILON]
        if not growing:
            break
        # Grow all teams in proportion until the first reaches its cap, then continue without it.
        scale = min(
            1.0, min(remaining_cap[claim.team] / step.tasks[claim.team] for claim in growing)
        )
        for claim in growing:
            allocated[claim.team] += scale * step.tasks[claim.team]
        used = [
            sum(scale * step.tasks[claim.team] * claim.request[resource] for claim in growing)
            for resource in (0, 1)
        ]
        remaining = (max(0.0, remaining[0] - used[0]), max(0.0, remaining[1] - used[1]))
        below_cap = [
            claim
            for claim in active_claims
            if allocated[claim.team] < claim.cap * (1 - CONSTRAINT_TOLERANCE)
        ]
        if scale >= 1.0 and len(below_cap) == len(active_claims):
            break
        active_claims = below_cap
    if initial is None:
        return Allocation(allocated)
    return Allocation(allocated, initial.first_set, initial.second_set, initial.factors)

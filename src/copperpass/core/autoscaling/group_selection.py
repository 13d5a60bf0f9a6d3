"""Selection of the cheapest machine group for pending tasks."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from copperpass.core.autoscaling.backoff import CapacityBackoff
from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.scheduling.bin_packing.feasibility import (
    CAPACITY_TOLERANCE,
    feasible_on_type,
    satisfies_constraints,
)
from copperpass.core.scheduling.prices import hourly_price
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec

# Keeps the price for a unit finite.
MIN_UNITS = 1e-6


class PurchaseOption(enum.Enum):
    """Which machines may be chosen: spot, on-demand or both."""

    ANY = (True, False)
    SPOT = (True,)
    ON_DEMAND = (False,)


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupQuery:
    """What a machine group is wanted for.

    Without a `spec` it is for capacity as such, whose price counts per CPU.
    """

    spec: JobSpec | None = None
    # How many tasks of the shape wait.
    tasks: int = 1
    purchase_option: PurchaseOption = PurchaseOption.ANY
    excluded_types: set[str] = field(default_factory=set)
    # The only zone allowed, if there is one.
    zone: str | None = None
    # The machines that there are by zone: of equal prices the emptiest zone is chosen.
    machines_by_zone: Mapping[str, int] = field(default_factory=dict)


def choose_machine_group(
    types: dict[str, MachineType], backoff: CapacityBackoff, now: float, query: GroupQuery
) -> MachineGroup | None:
    """The cheapest feasible group, spread over zones; None if there is none now.

    The price counts per task that fits an empty machine of the group. Of equal scores the first is
    taken, in the order of the cloud's offer, spot before on-demand.
    """
    best: MachineGroup | None = None
    best_score: tuple[float, int, str] | None = None
    for machine_type in types.values():
        if not _feasible_type(machine_type, query):
            continue
        units = max(_units_per_machine(machine_type, query), MIN_UNITS)
        for group in _groups_of_type(machine_type, query):
            if not backoff.allows(group, now):
                continue
            price = hourly_price(machine_type, group.spot)
            score = (price / units, query.machines_by_zone.get(group.zone, 0), group.zone)
            if best_score is None or score < best_score:
                best, best_score = group, score
    return best


def _feasible_type(machine_type: MachineType, query: GroupQuery) -> bool:
    """Whether machines of a type may be chosen and can hold a task."""
    if machine_type.name in query.excluded_types:
        return False
    return query.spec is None or feasible_on_type(query.spec, machine_type)


def _units_per_machine(machine_type: MachineType, query: GroupQuery) -> float:
    """For how many tasks that wait an empty machine has capacity; its CPUs without a shape."""
    spec = query.spec
    if spec is None:
        return machine_type.cpus
    ratios = [
        have / need
        for need, have in (
            (spec.cpus, machine_type.cpus),
            (spec.gpus, machine_type.gpus),
            (spec.memory_gb, machine_type.memory_gb),
        )
        if need > 0
    ]
    return min(query.tasks, int(min(ratios) + CAPACITY_TOLERANCE)) if ratios else query.tasks


def _groups_of_type(machine_type: MachineType, query: GroupQuery) -> Iterator[MachineGroup]:
    """The groups of a type that the query allows."""
    spec = query.spec
    for spot in query.purchase_option.value:
        if spot and machine_type.spot_price is None:
            continue
        for zone in machine_type.zones:
            if query.zone is not None and zone != query.zone:
                continue
            if spec is None or satisfies_constraints(spec, machine_type, zone, spot):
                yield MachineGroup(machine_type.name, zone, spot)

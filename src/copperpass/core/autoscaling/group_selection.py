"""Selects the cheapest machine group for pending tasks or for warm capacity."""

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

# Lower bound of the units of a machine, so that the price per unit stays finite.
MIN_UNITS_PER_MACHINE = 1e-6


class PurchaseOption(enum.Enum):
    """Which machines may be chosen; each value lists the allowed values of `spot`."""

    ANY = (True, False)
    SPOT = (True,)
    ON_DEMAND = (False,)


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupQuery:
    """The requirements for a machine group.

    Without a `spec`, any capacity is suitable and groups are compared by their price per CPU.
    """

    spec: JobSpec | None = None
    # The number of pending tasks with this spec.
    tasks: int = 1
    purchase_option: PurchaseOption = PurchaseOption.ANY
    excluded_types: set[str] = field(default_factory=set)
    # The only allowed zone; None allows every zone.
    zone: str | None = None
    # The number of machines by zone. Of equal prices, the zone with the fewest machines is chosen.
    machines_by_zone: Mapping[str, int] = field(default_factory=dict)


def choose_machine_group(
    types: dict[str, MachineType], backoff: CapacityBackoff, now: float, query: GroupQuery
) -> MachineGroup | None:
    """Choose the cheapest feasible group that is not in backoff; None if there is none.

    Prices are compared per task that fits an empty machine of the group. Of equal prices, the zone
    with the fewest machines is chosen, which spreads machines over zones, then the first zone by
    name. Remaining ties go to the first type in the cloud's list, spot before on-demand.
    """
    best: MachineGroup | None = None
    best_score: tuple[float, int, str] | None = None
    for machine_type in types.values():
        if not _feasible_type(machine_type, query):
            continue
        units = max(_units_per_machine(machine_type, query), MIN_UNITS_PER_MACHINE)
        for group in _groups_of_type(machine_type, query):
            if not backoff.allows(group, now):
                continue
            price = hourly_price(machine_type, group.spot)
            score = (price / units, query.machines_by_zone.get(group.zone, 0), group.zone)
            if best_score is None or score < best_score:
                best, best_score = group, score
    return best


def _feasible_type(machine_type: MachineType, query: GroupQuery) -> bool:
    """Whether the query allows a type and one task fits an empty machine of it."""
    if machine_type.name in query.excluded_types:
        return False
    return query.spec is None or feasible_on_type(query.spec, machine_type)


def _units_per_machine(machine_type: MachineType, query: GroupQuery) -> float:
    """Count the pending tasks that fit an empty machine; without a spec, count its CPUs."""
    spec = query.spec
    if spec is None:
        return machine_type.cpus
    ratios = [
        available / needed
        for needed, available in (
            (spec.cpus, machine_type.cpus),
            (spec.gpus, machine_type.gpus),
            (spec.memory_gb, machine_type.memory_gb),
        )
        if needed > 0
    ]
    return min(query.tasks, int(min(ratios) + CAPACITY_TOLERANCE)) if ratios else query.tasks


def _groups_of_type(machine_type: MachineType, query: GroupQuery) -> Iterator[MachineGroup]:
    """Yield the groups of a type that the query allows, spot before on-demand."""
    spec = query.spec
    for spot in query.purchase_option.value:
        if spot and machine_type.spot_price is None:
            continue
        for zone in machine_type.zones:
            if query.zone is not None and zone != query.zone:
                continue
            if spec is None or satisfies_constraints(spec, machine_type, zone, spot):
                yield MachineGroup(machine_type.name, zone, spot)

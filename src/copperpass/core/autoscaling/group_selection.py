"""Selection of the cheapest machine group for pending tasks."""

from __future__ import annotations

from copperpass.core.autoscaling.backoff import CapacityBackoff
from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.scheduling.bin_packing.feasibility import (
    feasible_on_type,
    satisfies_constraints,
)
from copperpass.core.scheduling.prices import hourly_price
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec


def slots_on_new(machine_type: MachineType, spec: JobSpec, count: int) -> int:
    """For how many of a job's tasks, up to `count`, an empty machine of a type has capacity."""
    per = [
        have / need
        for need, have in (
            (spec.cpus, machine_type.cpus),
            (spec.gpus, machine_type.gpus),
            (spec.memory_gb, machine_type.memory_gb),
        )
        if need > 0
    ]
    return min(count, int(min(per) + 1e-6)) if per else count


def choose_machine_group(
    spec: JobSpec | None,
    count: int,
    types: dict[str, MachineType],
    zones: dict[str, int],
    backoff: CapacityBackoff,
    now: float,
    spot_only: bool,
    excluded_types: set[str],
    within: str | None = None,
    on_demand_only: bool = False,
) -> MachineGroup | None:
    """The cheapest place for tasks of a shape, spread over zones; or `within` one of them.

    The price counts per task that finds capacity there; without a shape, per CPU.
    """
    best: MachineGroup | None = None
    best_score: tuple[float, int, str] | None = None
    for machine_type in types.values():
        if machine_type.name in excluded_types or (
            spec is not None and not feasible_on_type(spec, machine_type)
        ):
            continue
        slots = machine_type.cpus if spec is None else slots_on_new(machine_type, spec, count)
        for spot in (True, False):
            unoffered = spot and machine_type.spot_price is None
            if unoffered or (spot_only and not spot) or (on_demand_only and spot):
                continue
            price = hourly_price(machine_type, spot)
            for zone in machine_type.zones:
                if within is not None and zone != within:
                    continue
                if spec is not None and not satisfies_constraints(spec, machine_type, zone, spot):
                    continue
                machine_group = MachineGroup(machine_type.name, zone, spot)
                if not backoff.open(machine_group, now):
                    continue
                score = (price / max(slots, 1e-6), zones.get(zone, 0), zone)
                if best_score is None or score < best_score:
                    best, best_score = machine_group, score
    return best

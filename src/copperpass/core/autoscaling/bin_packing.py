"""Bin packing of pending tasks into free capacity, to find what is left unplaced."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from copperpass.core.autoscaling.free_capacity import FreeCapacity
from copperpass.core.scheduling.bin_packing.feasibility import satisfies_constraints
from copperpass.protocol.users import JobSpec


def with_zone_affinity(spec: JobSpec, zones: Iterable[str]) -> JobSpec:
    """A job as it may still be placed: in one zone for all, where its other tasks are.

    Counted or provisioned elsewhere, capacity is of no use to it: machines came up, idled and were
    returned.
    """
    if not spec.one_zone or spec.zone is not None:
        return spec
    zone = next(iter(zones), None)
    return spec if zone is None else msgspec.structs.replace(spec, zone=zone)


def pack_tasks(
    capacities: list[FreeCapacity],
    spec: JobSpec,
    count: int,
    horizon: float,
    excluded_types: set[str],
) -> int:
    """Give capacity to tasks that may start within the horizon; returns how many are left."""
    for capacity in capacities:
        if count <= 0:
            break
        if capacity.type.name not in excluded_types:
            count -= capacity.take(spec, count, horizon)
    return count


def pack_gang(
    capacities: list[FreeCapacity],
    spec: JobSpec,
    count: int,
    horizon: float,
    excluded_types: set[str],
) -> int:
    """Give capacity to a gang's tasks, to all of them or to none; returns how many are left."""
    zones: dict[str, list[FreeCapacity]] = {}
    for capacity in capacities:
        if capacity.type.name not in excluded_types and satisfies_constraints(
            spec, capacity.type, capacity.zone, capacity.spot
        ):
            zones.setdefault(capacity.zone if spec.one_zone else "", []).append(capacity)
    most = (spec.tasks + 1) // 2 if spec.spread else count
    for zone in sorted(zones):
        offers: list[tuple[FreeCapacity, int]] = []
        taken: dict[str, int] = {}
        left = count
        for capacity in zones[zone]:
            slots = min(capacity.slots(spec, left, horizon), most - taken.get(capacity.zone, 0))
            if slots > 0:
                offers.append((capacity, slots))
                taken[capacity.zone] = taken.get(capacity.zone, 0) + slots
                left -= slots
        if left <= 0:
            for capacity, slots in offers:
                capacity.take(spec, slots, horizon)
            return 0
    return count


def without_exhausted(capacities: list[FreeCapacity], least_cpus: float) -> list[FreeCapacity]:
    """The capacities in which the smallest task that waits may still find a place at some time."""
    return [capacity for capacity in capacities if capacity.most + 1e-6 >= least_cpus]

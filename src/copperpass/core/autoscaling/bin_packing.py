"""Bin packing of pending tasks into free capacity, to find how many tasks no machine can take."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from copperpass.core.autoscaling.free_capacity import FreeCapacity
from copperpass.core.scheduling.bin_packing.feasibility import (
    CAPACITY_TOLERANCE,
    satisfies_constraints,
)
from copperpass.protocol.users import JobSpec


class Packing(NamedTuple):
    """Tasks of a gang that could be packed into one machine's free capacity."""

    capacity: FreeCapacity
    tasks: int


def with_zone_affinity(spec: JobSpec, zones: Iterable[str]) -> JobSpec:
    """A job's shape as it can still be placed: all in one zone, where its other tasks are.

    Capacity that is counted or provisioned in another zone is of no use to it: machines booted,
    idled and were returned.
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
    """First-fit packing of tasks that may start within the horizon; returns how many are left."""
    for capacity in capacities:
        if count <= 0:
            break
        if capacity.machine_type.name not in excluded_types:
            count -= capacity.reserve(spec, count, horizon)
    return count


def pack_gang(
    capacities: list[FreeCapacity],
    spec: JobSpec,
    count: int,
    horizon: float,
    excluded_types: set[str],
) -> int:
    """Pack all tasks of a gang or none of them; returns how many are left.

    A gang of one zone takes the first zone, by name, that can hold it.
    """
    zones: dict[str, list[FreeCapacity]] = {}
    for capacity in capacities:
        machine_type = capacity.machine_type
        if machine_type.name in excluded_types:
            continue
        if satisfies_constraints(spec, machine_type, capacity.zone, capacity.spot):
            zones.setdefault(capacity.zone if spec.one_zone else "", []).append(capacity)
    for zone in sorted(zones):
        packings = _gang_packings(zones[zone], spec, count, horizon)
        if packings is not None:
            for packing in packings:
                packing.capacity.reserve(spec, packing.tasks, horizon)
            return 0
    return count


def _gang_packings(
    capacities: list[FreeCapacity], spec: JobSpec, count: int, horizon: float
) -> list[Packing] | None:
    """Where all tasks of a gang fit; None if they don't. Changes nothing."""
    # A gang that is to be spread has at most half of its tasks in a zone.
    max_per_zone = (spec.tasks + 1) // 2 if spec.spread else count
    packings: list[Packing] = []
    packed_by_zone: dict[str, int] = {}
    left = count
    for capacity in capacities:
        packed = packed_by_zone.get(capacity.zone, 0)
        tasks = min(capacity.feasible_tasks(spec, left, horizon), max_per_zone - packed)
        if tasks > 0:
            packings.append(Packing(capacity, tasks))
            packed_by_zone[capacity.zone] = packed + tasks
            left -= tasks
    return packings if left <= 0 else None


def without_exhausted(capacities: list[FreeCapacity], smallest_cpus: float) -> list[FreeCapacity]:
    """The machines that the smallest pending task may still fit at some time."""
    return [
        capacity
        for capacity in capacities
        if capacity.max_cpus + CAPACITY_TOLERANCE >= smallest_cpus
    ]

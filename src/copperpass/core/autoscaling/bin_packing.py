"""Packs pending tasks into free capacity to find how many tasks no machine can take."""

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
    """The number of a gang's tasks to pack into one machine's free capacity."""

    capacity: FreeCapacity
    tasks: int


def with_zone_affinity(spec: JobSpec, zones: Iterable[str]) -> JobSpec:
    """Pin a one-zone job to the first of the zones in which its other tasks are placed.

    The job cannot use capacity in another zone. When such capacity was counted or provisioned for
    it, machines booted, idled and were released again.
    """
    if not spec.one_zone or spec.zone is not None:
        return spec
    zone = next(iter(zones), None)
    return spec if zone is None else msgspec.structs.replace(spec, zone=zone)


def pack_tasks(
    capacities: list[FreeCapacity],
    spec: JobSpec,
    count: int,
    horizon_s: float,
    excluded_types: set[str],
) -> int:
    """Pack tasks first-fit, to start within `horizon_s` seconds; returns how many do not fit."""
    for capacity in capacities:
        if count <= 0:
            break
        if capacity.machine_type.name not in excluded_types:
            count -= capacity.reserve(spec, count, horizon_s)
    return count


def pack_gang(
    capacities: list[FreeCapacity],
    spec: JobSpec,
    count: int,
    horizon_s: float,
    excluded_types: set[str],
) -> int:
    """Pack all tasks of a gang, to start within `horizon_s` seconds, or none of them.

    A one-zone gang takes the first zone, in order of names, that has capacity for all its tasks.
    Returns the number of tasks that are not packed: 0 or `count`.
    """
    zones: dict[str, list[FreeCapacity]] = {}
    for capacity in capacities:
        machine_type = capacity.machine_type
        if machine_type.name in excluded_types:
            continue
        if satisfies_constraints(spec, machine_type, capacity.zone, capacity.spot):
            zones.setdefault(capacity.zone if spec.one_zone else "", []).append(capacity)
    for zone in sorted(zones):
        packings = _gang_packings(zones[zone], spec, count, horizon_s)
        if packings is not None:
            for packing in packings:
                packing.capacity.reserve(spec, packing.tasks, horizon_s)
            return 0
    return count


def _gang_packings(
    capacities: list[FreeCapacity], spec: JobSpec, count: int, horizon_s: float
) -> list[Packing] | None:
    """Find capacity for all tasks of a gang without reserving it; None if they do not all fit."""
    # A gang with `spread` has at most half of its tasks, rounded up, in one zone.
    max_per_zone = (spec.tasks + 1) // 2 if spec.spread else count
    packings: list[Packing] = []
    packed_by_zone: dict[str, int] = {}
    unpacked = count
    for capacity in capacities:
        packed = packed_by_zone.get(capacity.zone, 0)
        tasks = min(capacity.feasible_tasks(spec, unpacked, horizon_s), max_per_zone - packed)
        if tasks > 0:
            packings.append(Packing(capacity, tasks))
            packed_by_zone[capacity.zone] = packed + tasks
            unpacked -= tasks
    return packings if unpacked <= 0 else None


def without_exhausted(capacities: list[FreeCapacity], smallest_cpus: float) -> list[FreeCapacity]:
    """Keep the machines that can hold `smallest_cpus` once their running tasks have completed."""
    return [
        capacity
        for capacity in capacities
        if capacity.max_cpus + CAPACITY_TOLERANCE >= smallest_cpus
    ]

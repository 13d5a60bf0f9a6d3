"""Whether tasks fit: resources, machine types, placement constraints and zones.

Pure functions. A capacity is a tuple of CPUs, GPUs and GB of memory, in this order.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from copperpass.core.jobs.job import Job
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec
from copperpass.protocol.workers import MAX_TASKS_PER_MACHINE

if TYPE_CHECKING:
    # `machines` imports this module: importing it at run time would be circular.
    from copperpass.core.scheduling.machines import Machine

# The rounding error that sums of decimal fractions may have.
CAPACITY_TOLERANCE = 1e-6
# The most slots of a machine that tasks may take of which more would fit.
SMALL_TASK_SLOTS = MAX_TASKS_PER_MACHINE // 2
# The zone counted for a task whose machine is not known.
UNKNOWN_ZONE = "?"


def fits_within(amount: float, capacity: float) -> bool:
    """Whether an amount fits into a capacity, with a tolerance for rounding errors of sums."""
    return amount <= capacity + CAPACITY_TOLERANCE


def satisfies_constraints(spec: JobSpec, machine_type: MachineType, zone: str, spot: bool) -> bool:
    """Whether a job's placement constraints allow a machine of this type, zone and spot status."""
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone != zone:
        return False
    return spec.spot or not spot


def feasible_on_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether one task fits an empty machine of a type."""
    return (
        fits_within(spec.cpus, machine_type.cpus)
        and fits_within(spec.gpus, machine_type.gpus)
        and fits_within(spec.memory_gb, machine_type.memory_gb)
    )


def feasible_when_empty(spec: JobSpec, machine: Machine) -> bool:
    """Whether a machine could take a task if no other task were running there."""
    return satisfies_constraints(
        spec, machine.type, machine.zone, machine.spot
    ) and feasible_on_type(spec, machine.type)


def slots_in(spec: JobSpec, capacity: tuple[float, float, float], limit: int) -> int:
    """Return how many of a job's tasks fit into a capacity, up to `limit`."""
    count = limit
    for need, available in zip((spec.cpus, spec.gpus, spec.memory_gb), capacity, strict=True):
        if need > 0:
            count = min(count, int((available + CAPACITY_TOLERANCE) / need))
    return max(0, count)


def is_small(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether more of a job's tasks would fit an empty machine than small tasks may take slots."""
    capacity = (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    return slots_in(spec, capacity, MAX_TASKS_PER_MACHINE) > SMALL_TASK_SLOTS


def usable_slots(spec: JobSpec, machine_type: MachineType, free_slots: int) -> int:
    """Return how many of a machine's free slots a job's tasks may take.

    Small tasks leave the other slots free. So other tasks find a slot wherever their resources are
    free, however many small tasks there are.
    """
    reserved = MAX_TASKS_PER_MACHINE - SMALL_TASK_SLOTS
    return free_slots - reserved if is_small(spec, machine_type) else free_slots


def tasks_by_zone(job: Job, machines: dict[str, Machine]) -> dict[str, int]:
    """Count a job's placed tasks by zone."""
    counts: dict[str, int] = {}
    for name in job.assigned.values():
        zone = machines[name].zone if name in machines else UNKNOWN_ZONE
        counts[zone] = counts.get(zone, 0) + 1
    return counts


def zone_limit(spec: JobSpec) -> int:
    """Return how many of a job's tasks one zone may hold; half, rounded up, for a spread job."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def is_zone_bound(spec: JobSpec) -> bool:
    """Whether the zones of a job's placed tasks decide where its other tasks may go."""
    return spec.one_zone or spec.spread


def zone_feasible(spec: JobSpec, zone: str, counts: Mapping[str, int]) -> bool:
    """Whether one more task of a job may go into a zone, given its number of tasks by zone.

    `counts` is not used for a job that is not bound by zones, see `is_zone_bound`.
    """
    if spec.one_zone and any(other != zone for other in counts):
        return False
    return not spec.spread or counts.get(zone, 0) + 1 <= zone_limit(spec)


def zone_choices(job: Job, zones: set[str], machines: dict[str, Machine]) -> list[set[str]]:
    """List the alternative sets of zones, one of which must hold all missing tasks of a gang."""
    if not job.spec.one_zone:
        return [zones]
    used_zones = tasks_by_zone(job, machines).keys()
    return [{zone} for zone in sorted(zones) if used_zones <= {zone}]

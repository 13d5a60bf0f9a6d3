"""Whether tasks fit: resources, machine types, placement constraints and zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from copperpass.core.jobs.job_table import Job
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec

if TYPE_CHECKING:
    # Machines ask this module whether tasks fit.
    from copperpass.core.scheduling.machines import Machine

CAPACITY_TOLERANCE = 1e-6


def fits_within(amount: float, room: float) -> bool:
    """Whether an amount fits into a room; the one place with a tolerance for decimals."""
    return amount <= room + CAPACITY_TOLERANCE


def satisfies_constraints(spec: JobSpec, machine_type: MachineType, zone: str, spot: bool) -> bool:
    """Whether a job allows a type, a zone and a kind of machine."""
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


def zone_feasible(job: Job, zone: str, machines: dict[str, Machine]) -> bool:
    """Whether one more task of the job may be in a zone, given where its others are."""
    spec = job.spec
    if not spec.one_zone and not spec.spread:
        return True
    counts: dict[str, int] = {}
    for name in job.placed.values():
        where = machines[name].zone if name in machines else "?"
        counts[where] = counts.get(where, 0) + 1
    if spec.one_zone and any(z != zone for z in counts):
        return False
    return not spec.spread or counts.get(zone, 0) + 1 <= (spec.tasks + 1) // 2


def slots_in(spec: JobSpec, room: tuple[float, float, float], most: int) -> int:
    """How many tasks fit into a room, up to `most`."""
    count = most
    for need, have in zip((spec.cpus, spec.gpus, spec.memory_gb), room, strict=True):
        if need > 0:
            count = min(count, int((have + CAPACITY_TOLERANCE) / need))
    return max(0, count)


def zone_choices(job: Job, zones: set[str], machines: dict[str, Machine]) -> list[set[str]]:
    """The sets of zones one of which must take all that is missing of a gang."""
    if not job.spec.one_zone:
        return [zones]
    taken = {machines[n].zone if n in machines else "?" for n in job.placed.values()}
    return [{zone} for zone in sorted(zones) if taken <= {zone}]


def zone_limit(spec: JobSpec) -> int:
    """How many tasks of a gang one zone may take."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks

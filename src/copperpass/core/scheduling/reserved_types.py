"""Machine types that are reserved for large tasks which are feasible on no other type."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import feasible_on_type
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec


class ReservedTypes:
    """The machine types that large tasks depend on, because they are feasible on no other type.

    Small tasks that are feasible elsewhere would take any capacity that becomes free on these
    types. A large task would then have to wait until all small tasks on a machine have ended. So
    such a type is closed to small tasks until `retention_s` seconds after a large task that depends
    on it was last present.
    """

    def __init__(self, types: dict[str, MachineType], retention_s: float) -> None:
        self.types, self.retention_s = types, retention_s
        # By set of feasible types: when a task that fits only these was last present, and its spec.
        self.last_demand: dict[frozenset[str], tuple[float, JobSpec]] = {}
        # Results of `excluded_types` by shape; cleared when the keys of `last_demand` change.
        self.excluded_by_shape: dict[tuple[float, float, float], set[str]] = {}
        # By type: the spec of the smallest present task that the type is reserved for.
        self.smallest_tasks: dict[str, JobSpec] = {}

    def observe(self, now: float, jobs: Iterable[Job]) -> None:
        """Update the reserved types for the jobs that are present."""
        previous_sets = set(self.last_demand)
        shapes: dict[tuple[float, float, float], JobSpec] = {}
        for job in jobs:
            spec = job.spec
            shapes.setdefault((spec.cpus, spec.gpus, spec.memory_gb), spec)
        self.smallest_tasks = {}
        for spec in shapes.values():
            feasible = self.feasible_types(spec)
            if 0 < len(feasible) < len(self.types):
                self.last_demand[feasible] = (now, spec)
                self._update_smallest(feasible, spec)
        self.last_demand = {
            types: (demanded_at, spec)
            for types, (demanded_at, spec) in self.last_demand.items()
            if now - demanded_at <= self.retention_s
        }
        if set(self.last_demand) != previous_sets:
            self.excluded_by_shape.clear()

    def _update_smallest(self, types: Iterable[str], spec: JobSpec) -> None:
        for name in types:
            smallest = self.smallest_tasks.get(name)
            if smallest is None or spec.cpus < smallest.cpus:
                self.smallest_tasks[name] = spec

    def feasible_types(self, spec: JobSpec) -> frozenset[str]:
        """Return the types on which one task fits an empty machine."""
        return frozenset(
            machine_type.name
            for machine_type in self.types.values()
            if feasible_on_type(spec, machine_type)
        )

    def excluded_types(self, spec: JobSpec) -> set[str]:
        """Return the types that a job's tasks may not use because larger tasks depend on them."""
        shape = (spec.cpus, spec.gpus, spec.memory_gb)
        excluded = self.excluded_by_shape.get(shape)
        if excluded is None:
            usable = self.feasible_types(spec) if spec.types is None else frozenset(spec.types)
            excluded = set()
            for needed_by_larger in self.last_demand:
                if needed_by_larger < usable:
                    excluded |= needed_by_larger
            if spec.types is None:
                self.excluded_by_shape[shape] = excluded
        return excluded

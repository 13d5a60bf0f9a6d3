"""Machine types that are reserved for the large tasks that fit no other."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import feasible_on_type
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec


class ReservedTypes:
    """The types that large tasks depend on, because they are feasible on no other.

    Small tasks that are feasible elsewhere would take each gap on them, and a large task then
    waits for all of them at once. So such a type is reserved from small tasks until `keep_s`
    seconds after the last large task was there.
    """

    def __init__(self, types: dict[str, MachineType], keep_s: float) -> None:
        self.types, self.keep_s = types, keep_s
        # By set of feasible types: when a task that fits only these was there last, and its spec.
        self.last_demand: dict[frozenset[str], tuple[float, JobSpec]] = {}
        # Answers of `reserved_from` by shape; emptied when the sets above change.
        self.cache: dict[tuple[float, float, float], set[str]] = {}
        # The smallest of the present tasks that each type is reserved for.
        self.smallest_tasks: dict[str, JobSpec] = {}

    def observe(self, now: float, jobs: Iterable[Job]) -> None:
        """Update the reservations to the jobs that are present."""
        before = set(self.last_demand)
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
            if now - demanded_at <= self.keep_s
        }
        if set(self.last_demand) != before:
            self.cache.clear()

    def _update_smallest(self, types: Iterable[str], spec: JobSpec) -> None:
        for name in types:
            smallest = self.smallest_tasks.get(name)
            if smallest is None or spec.cpus < smallest.cpus:
                self.smallest_tasks[name] = spec

    def feasible_types(self, spec: JobSpec) -> frozenset[str]:
        """The types on which one task is feasible."""
        return frozenset(
            machine_type.name
            for machine_type in self.types.values()
            if feasible_on_type(spec, machine_type)
        )

    def reserved_from(self, spec: JobSpec) -> set[str]:
        """The types that a job's tasks may not use, since larger tasks depend on them."""
        shape = (spec.cpus, spec.gpus, spec.memory_gb)
        reserved = self.cache.get(shape)
        if reserved is None:
            usable = self.feasible_types(spec) if spec.types is None else frozenset(spec.types)
            reserved = set()
            for needed_by_larger in self.last_demand:
                if needed_by_larger < usable:
                    reserved |= needed_by_larger
            if spec.types is None:
                self.cache[shape] = reserved
        return reserved

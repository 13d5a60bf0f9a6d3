"""Machine types that are reserved for the large tasks that fit no other."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.bin_packing.feasibility import feasible_on_type
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec


class ReservedTypes:
    """Types that large tasks depend on, because they fit no other.

    Small tasks that fit elsewhere would take each gap on them, and a large task then waits for all
    of them at once. So such a type is kept from small tasks for as long as large ones are about.
    """

    def __init__(self, types: dict[str, MachineType], keep_s: float) -> None:
        self.types, self.keep_s = types, keep_s
        self.last_demand: dict[frozenset[str], tuple[float, JobSpec]] = {}
        self.cache: dict[tuple[float, float, float], set[str]] = {}
        # The smallest of the tasks that are about now and that a type is kept for, by type.
        self.smallest_tasks: dict[str, JobSpec] = {}

    def observe(self, now: float, jobs: Iterable[Job]) -> None:
        """Take in the jobs that are about."""
        before = set(self.last_demand)
        shapes: dict[tuple[float, float, float], JobSpec] = {}
        for job in jobs:
            spec = job.spec
            shapes.setdefault((spec.cpus, spec.gpus, spec.memory_gb), spec)
        self.smallest_tasks = {}
        for spec in shapes.values():
            feasible_types = self.feasible_types(spec)
            if 0 < len(feasible_types) < len(self.types):
                self.last_demand[feasible_types] = (now, spec)
                self._update_smallest(feasible_types, spec)
        self.last_demand = {k: v for k, v in self.last_demand.items() if now - v[0] <= self.keep_s}
        if set(self.last_demand) != before:
            self.cache.clear()

    def _update_smallest(self, types: Iterable[str], spec: JobSpec) -> None:
        for name in types:
            smallest = self.smallest_tasks.get(name)
            if smallest is None or spec.cpus < smallest.cpus:
                self.smallest_tasks[name] = spec

    def feasible_types(self, spec: JobSpec) -> frozenset[str]:
        """The types that one task fits."""
        return frozenset(t.name for t in self.types.values() if feasible_on_type(spec, t))

    def reserved_from(self, spec: JobSpec) -> set[str]:
        """The types that are kept from a job's tasks."""
        shape = (spec.cpus, spec.gpus, spec.memory_gb)
        closed = self.cache.get(shape)
        if closed is None:
            mine = self.feasible_types(spec) if spec.types is None else frozenset(spec.types)
            closed = set()
            for theirs in self.last_demand:
                if theirs < mine:
                    closed |= theirs
            if spec.types is None:
                self.cache[shape] = closed
        return closed

"""The capacity of machines for pending tasks: free now, or expected free within a horizon."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.scheduling.bin_packing.feasibility import (
    CAPACITY_TOLERANCE,
    satisfies_constraints,
    usable_slots,
)
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec
from copperpass.protocol.workers import MAX_TASKS_PER_MACHINE, TaskState

# Resources that a running task will release: seconds until then, CPUs, GPUs, memory in GB. A plain
# tuple for speed: one is created per running task whenever a scheduler measures its unmet demand.
ExpectedRelease = tuple[float, float, float, float]


@dataclass(slots=True)
class FreeCapacity:
    """One machine's capacity for pending tasks; decreases as tasks are packed into it."""

    machine_type: MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    expected_releases: list[ExpectedRelease]
    # How many more tasks the machine's messages have room for.
    free_slots: int = MAX_TASKS_PER_MACHINE
    # The CPUs that are free once all tasks running on the machine have completed.
    max_cpus: float = 0.0

    def __post_init__(self) -> None:
        self.max_cpus = self.cpus + sum(release[1] for release in self.expected_releases)

    def feasible_tasks(self, spec: JobSpec, limit: int, horizon_s: float) -> int:
        """Count the tasks, up to `limit`, that can start here within `horizon_s` seconds."""
        if limit <= 0 or spec.cpus > self.max_cpus + CAPACITY_TOLERANCE:
            return 0
        if not satisfies_constraints(spec, self.machine_type, self.zone, self.spot):
            return 0
        cpus, gpus, memory_gb = self.cpus, self.gpus, self.memory_gb
        tasks = self.free_slots
        for seconds, released_cpus, released_gpus, released_memory_gb in self.expected_releases:
            if seconds <= horizon_s:
                tasks += 1
                cpus += released_cpus
                gpus += released_gpus
                memory_gb += released_memory_gb
        # Inlined from `slots_in` for speed: this runs for each pending job and each machine.
        tasks = min(limit, usable_slots(spec, self.machine_type, tasks))
        for needed, free in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
            if needed > 0:
                tasks = min(tasks, int((free + CAPACITY_TOLERANCE) / needed))
        return max(0, tasks)

    def reserve(self, spec: JobSpec, limit: int, horizon_s: float) -> int:
        """Pack up to `limit` tasks, to start within `horizon_s` seconds; returns how many fit."""
        tasks = self.feasible_tasks(spec, limit, horizon_s)
        if tasks <= 0:
            return 0
        self.cpus -= tasks * spec.cpus
        self.max_cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus
        self.memory_gb -= tasks * spec.memory_gb
        self.free_slots -= tasks
        return tasks


def free_capacities(
    machines: Iterable[Machine], now: float, heartbeat_timeout_s: float
) -> list[FreeCapacity]:
    """Return the free capacity of all machines that can take tasks, booting ones included."""
    capacities = []
    for machine in machines:
        if machine.deletion_requested or machine.failed or machine.quarantined:
            continue
        if machine.draining or machine.interruption_at is not None:
            continue
        unresponsive = now - machine.last_heartbeat_at > heartbeat_timeout_s
        if machine.registered and (unresponsive or machine.unreachable_since is not None):
            continue
        cpus, gpus, memory_gb = machine.free_capacity()
        expected_releases = [
            (remaining_s(task, now), task.cpus, task.gpus, task.memory_gb)
            for task in machine.tasks.values()
            # A gathering gang task completes only after the tasks it waits for, not on its own.
            if task.active and task.state != TaskState.GATHERING
        ]
        capacities.append(
            FreeCapacity(
                machine.type,
                machine.zone,
                machine.spot,
                cpus,
                gpus,
                memory_gb,
                expected_releases,
                machine.free_slots(),
            )
        )
    return capacities


def unused_capacity(
    machine_type: MachineType, machine_group: MachineGroup, used_cpus: float = 0.0
) -> FreeCapacity:
    """Estimate a machine's unused capacity; the whole machine if no CPUs are in use.

    Assumes that its GPUs and memory are in use in the same proportion as its CPUs.
    """
    unused_ratio = 1.0 - used_cpus / machine_type.cpus if machine_type.cpus > 0 else 1.0
    return FreeCapacity(
        machine_type,
        machine_group.zone,
        machine_group.spot,
        machine_type.cpus - used_cpus,
        machine_type.gpus * unused_ratio,
        machine_type.memory_gb * unused_ratio,
        [],
    )

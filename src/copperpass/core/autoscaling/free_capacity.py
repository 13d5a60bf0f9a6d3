"""What machines can offer to tasks that wait: now, and within a horizon."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.scheduling.bin_packing.feasibility import satisfies_constraints
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JobSpec
from copperpass.protocol.workers import TaskState


@dataclass(slots=True)
class FreeCapacity:
    """What a machine offers to tasks that wait, now or within their horizon."""

    type: MachineType
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    frees: list[tuple[float, float, float, float]]
    # The CPUs that it has once all that runs there has ended.
    most: float = 0.0

    def __post_init__(self) -> None:
        self.most = self.cpus + sum(free[1] for free in self.frees)

    def slots(self, spec: JobSpec, count: int, horizon: float) -> int:
        """For how many tasks, up to `count`, that may start within the horizon, it has capacity."""
        if count <= 0 or spec.cpus > self.most + 1e-6:
            return 0
        if not satisfies_constraints(spec, self.type, self.zone, self.spot):
            return 0
        cpus, gpus, memory = self.cpus, self.gpus, self.memory
        for at, c, g, m in self.frees:
            if at <= horizon:
                cpus, gpus, memory = cpus + c, gpus + g, memory + m
        slots = count
        for need, have in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory)):
            if need > 0:
                slots = min(slots, int((have + 1e-6) / need))
        return max(0, slots)

    def take(self, spec: JobSpec, count: int, horizon: float) -> int:
        """Give capacity to up to `count` tasks that may start within the horizon."""
        slots = self.slots(spec, count, horizon)
        if slots <= 0:
            return 0
        self.cpus -= slots * spec.cpus
        self.most -= slots * spec.cpus
        self.gpus -= slots * spec.gpus
        self.memory -= slots * spec.memory_gb
        return slots


def free_capacities(machines: Iterable[Machine], now: float, silence: float) -> list[FreeCapacity]:
    """What the machines that serve, or will soon, have to offer."""
    capacities = []
    for m in machines:
        if (
            m.deletion_requested
            or m.failed
            or m.quarantined
            or m.draining
            or m.notice_until is not None
        ):
            continue
        if m.up and (now - m.last_heartbeat_at > silence or m.unreachable_since is not None):
            continue
        cpus, gpus, memory = m.free_capacity()
        frees = [
            # A gang's task that waits for the others ends after them, not by itself.
            (remaining_s(p, now), p.cpus, p.gpus, p.memory_gb)
            for p in m.tasks.values()
            if p.active and p.state != TaskState.GATHERING
        ]
        capacities.append(FreeCapacity(m.type, m.zone, m.spot, cpus, gpus, memory, frees))
    return capacities


def remaining_capacity(
    machine_type: MachineType, machine_group: MachineGroup, used_cpus: float
) -> FreeCapacity:
    """About what a machine offers beside what runs there; its memory is taken to be as full."""
    part = 1.0 - used_cpus / machine_type.cpus if machine_type.cpus > 0 else 1.0
    return FreeCapacity(
        machine_type,
        machine_group.zone,
        machine_group.spot,
        machine_type.cpus - used_cpus,
        machine_type.gpus * part,
        machine_type.memory_gb * part,
        [],
    )


def empty_machine_capacity(machine_type: MachineType, machine_group: MachineGroup) -> FreeCapacity:
    """What an empty machine offers."""
    return FreeCapacity(
        machine_type,
        machine_group.zone,
        machine_group.spot,
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        [],
    )

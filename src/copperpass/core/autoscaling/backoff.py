"""Backoff after the cloud had no capacity in a machine group."""

from __future__ import annotations

from dataclasses import dataclass, field

from copperpass.core.autoscaling.machine_groups import MachineGroup


@dataclass(slots=True)
class CapacityBackoff:
    """Places where the cloud had nothing, and when to ask again."""

    until: dict[MachineGroup, float] = field(default_factory=dict)
    wait: dict[MachineGroup, float] = field(default_factory=dict)

    def refused(self, machine_group: MachineGroup, now: float, base: float) -> None:
        """Back off, longer each time."""
        wait = min(self.wait.get(machine_group, base / 2) * 2, base * 4)
        self.wait[machine_group] = wait
        self.until[machine_group] = now + wait

    def granted(self, machine_group: MachineGroup) -> None:
        """Something was there: start over."""
        self.wait.pop(machine_group, None)

    def open(self, machine_group: MachineGroup, now: float) -> bool:
        """Whether to ask there."""
        return now >= self.until.get(machine_group, 0.0)

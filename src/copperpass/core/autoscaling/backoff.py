"""Backoff after the cloud had no capacity in a machine group."""

from __future__ import annotations

from dataclasses import dataclass, field

from copperpass.core.autoscaling.machine_groups import MachineGroup

# The longest backoff, as a multiple of the base.
MAX_BACKOFF_BASES = 4


@dataclass(slots=True)
class CapacityBackoff:
    """When each machine group may be requested again: exponential, with an upper bound.

    A group that was never exhausted has no entry. Times and delays are in seconds.
    """

    retry_at: dict[MachineGroup, float] = field(default_factory=dict)
    delay: dict[MachineGroup, float] = field(default_factory=dict)

    def on_exhausted(self, machine_group: MachineGroup, now: float, base_s: float) -> None:
        """The cloud had too little capacity, or didn't answer: wait, longer each time."""
        doubled = self.delay.get(machine_group, base_s / 2) * 2
        delay = min(doubled, base_s * MAX_BACKOFF_BASES)
        self.delay[machine_group] = delay
        self.retry_at[machine_group] = now + delay

    def on_fulfilled(self, machine_group: MachineGroup) -> None:
        """A request was fulfilled in full: the next delay starts from the base again."""
        self.delay.pop(machine_group, None)

    def allows(self, machine_group: MachineGroup, now: float) -> bool:
        """Whether the group may be requested."""
        return now >= self.retry_at.get(machine_group, 0.0)

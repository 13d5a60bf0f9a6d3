"""Backoff of instance requests for a machine group that lacks capacity in the cloud."""

from __future__ import annotations

from dataclasses import dataclass, field

from copperpass.core.autoscaling.machine_groups import MachineGroup

# The longest backoff, as a multiple of the base delay.
MAX_BACKOFF_FACTOR = 4


@dataclass(slots=True)
class CapacityBackoff:
    """Bounded exponential backoff for each machine group, in seconds.

    `retry_at` is the time from which a group may be requested again, `delays` the last delay of a
    group. A group without an entry in `retry_at` has never been exhausted.
    """

    retry_at: dict[MachineGroup, float] = field(default_factory=dict)
    delays: dict[MachineGroup, float] = field(default_factory=dict)

    def on_exhausted(self, machine_group: MachineGroup, now: float, base_s: float) -> None:
        """Double the delay, up to the limit: the cloud lacked capacity or did not answer."""
        doubled = self.delays.get(machine_group, base_s / 2) * 2
        delay = min(doubled, base_s * MAX_BACKOFF_FACTOR)
        self.delays[machine_group] = delay
        self.retry_at[machine_group] = now + delay

    def on_fulfilled(self, machine_group: MachineGroup) -> None:
        """Reset the group's delay to the base: the cloud has granted all requested machines."""
        self.delays.pop(machine_group, None)

    def allows(self, machine_group: MachineGroup, now: float) -> bool:
        """Return whether the group's backoff has ended."""
        return now >= self.retry_at.get(machine_group, 0.0)

"""What one plan means to rent."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.state import ManagedMachine

# The most machines that one call to the cloud may rent, by the protocol.
MACHINES_PER_CALL = 50
# The part of the calls that the cloud allows until the next plan which one plan may use to rent.
CALLS_PART = 0.1


def max_machines_per_plan(cloud_rps: float, plan_s: float) -> int:
    """The machines that one plan may rent: a large fleet on a fast cloud isn't built in fifties."""
    return MACHINES_PER_CALL * max(1, int(CALLS_PART * cloud_rps * plan_s))


class Destination(NamedTuple):
    """Where to rent machines, and for which shard."""

    machine_group: MachineGroup
    shard: int


@dataclass(slots=True)
class ScaleOutPlan:
    """Machines to rent, in the order in which they were asked for."""

    counts: dict[Destination, int] = field(default_factory=dict)
    # Machines by zone, with those that serve: new ones are spread.
    zones: dict[str, int] = field(default_factory=dict)
    # Machines to rent at the most; the next plan sees what has come of them.
    most: int = MACHINES_PER_CALL

    @classmethod
    def beside(cls, serving: list[ManagedMachine], most: int) -> ScaleOutPlan:
        """An empty plan beside the machines that serve, for at most so many new ones."""
        plan = cls(most=most)
        for machine in serving:
            plan.zones[machine.entry.zone] = plan.zones.get(machine.entry.zone, 0) + 1
        return plan

    @property
    def full(self) -> bool:
        """Whether the plan takes no more machines."""
        return sum(self.counts.values()) >= self.most

    def add(self, machine_group: MachineGroup, shard: int) -> None:
        """One more machine."""
        destination = Destination(machine_group, shard)
        self.zones[machine_group.zone] = self.zones.get(machine_group.zone, 0) + 1
        self.counts[destination] = self.counts.get(destination, 0) + 1

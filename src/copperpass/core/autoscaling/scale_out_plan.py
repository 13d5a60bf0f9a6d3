"""What one plan requests of the cloud."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.state import ManagedMachine

# The most machines that one call to the cloud may request, by the protocol.
MAX_MACHINES_PER_CALL = 50
# The part of the calls that the cloud allows until the next plan which one plan may use.
CALLS_PART = 0.1


def max_machines_per_plan(cloud_rps: float, plan_interval_s: float) -> int:
    """How many machines one plan may request, given the cloud's rate in requests per second.

    More than a call's worth where the cloud is fast: fifty in each plan took a minute for 4,000.
    """
    return MAX_MACHINES_PER_CALL * max(1, int(CALLS_PART * cloud_rps * plan_interval_s))


class Destination(NamedTuple):
    """What to provision, and for which shard."""

    machine_group: MachineGroup
    shard: int


@dataclass(slots=True)
class ScaleOutPlan:
    """Machines to provision, in the order in which they were added."""

    counts: dict[Destination, int] = field(default_factory=dict)
    # The machines that serve and those of the plan, by zone: new ones are spread.
    machines_by_zone: dict[str, int] = field(default_factory=dict)
    # A bound on the plan: the next one is made once it is known what became of these machines.
    max_machines: int = MAX_MACHINES_PER_CALL

    @classmethod
    def for_fleet(cls, serving: list[ManagedMachine], max_machines: int) -> ScaleOutPlan:
        """An empty plan for a fleet of these machines."""
        plan = cls(max_machines=max_machines)
        for machine in serving:
            zone = machine.route.zone
            plan.machines_by_zone[zone] = plan.machines_by_zone.get(zone, 0) + 1
        return plan

    @property
    def full(self) -> bool:
        """Whether the plan takes no more machines."""
        return sum(self.counts.values()) >= self.max_machines

    def add(self, machine_group: MachineGroup, shard: int) -> None:
        """Add one machine."""
        destination, zone = Destination(machine_group, shard), machine_group.zone
        self.machines_by_zone[zone] = self.machines_by_zone.get(zone, 0) + 1
        self.counts[destination] = self.counts.get(destination, 0) + 1

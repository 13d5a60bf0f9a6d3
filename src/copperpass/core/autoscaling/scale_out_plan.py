"""The machines that one plan requests from the cloud."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.state import ManagedMachine

# The cloud protocol's limit of machines that one call may request.
MAX_MACHINES_PER_CALL = 50
# The share of the cloud's permitted calls within one plan interval that a plan may use.
MAX_CALL_RATIO = 0.1


def max_machines_per_plan(cloud_rps: float, plan_interval_s: float) -> int:
    """Return how many machines one plan may request, given the cloud's rate in calls per second.

    At least one call's worth, and more if the rate allows more calls: with 50 machines in each
    plan, provisioning 4,000 machines took a minute.
    """
    return MAX_MACHINES_PER_CALL * max(1, int(MAX_CALL_RATIO * cloud_rps * plan_interval_s))


class Destination(NamedTuple):
    """The machine group to provision from and the shard that gets the machines."""

    machine_group: MachineGroup
    shard: int


@dataclass(slots=True)
class ScaleOutPlan:
    """The number of machines to provision for each destination, in the order of first addition."""

    counts: dict[Destination, int] = field(default_factory=dict)
    # The number of active and planned machines by zone, used to spread new machines over zones.
    machines_by_zone: dict[str, int] = field(default_factory=dict)
    # Limits one plan: the next one is made once the outcome of these machines' requests is known.
    max_machines: int = MAX_MACHINES_PER_CALL

    @classmethod
    def for_fleet(cls, active_machines: list[ManagedMachine], max_machines: int) -> ScaleOutPlan:
        """Return an empty plan that counts the active machines by zone."""
        plan = cls(max_machines=max_machines)
        for machine in active_machines:
            zone = machine.route.zone
            plan.machines_by_zone[zone] = plan.machines_by_zone.get(zone, 0) + 1
        return plan

    @property
    def full(self) -> bool:
        """Whether the plan has reached its limit of machines."""
        return sum(self.counts.values()) >= self.max_machines

    def add(self, machine_group: MachineGroup, shard: int) -> None:
        """Add one machine of a group for a shard."""
        destination, zone = Destination(machine_group, shard), machine_group.zone
        self.machines_by_zone[zone] = self.machines_by_zone.get(zone, 0) + 1
        self.counts[destination] = self.counts.get(destination, 0) + 1

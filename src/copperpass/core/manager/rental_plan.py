"""What one plan means to rent."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from copperpass.core.manager.state import ManagedMachine
from copperpass.core.rental import Place

# Machines to rent in one plan; the next one sees what has come of them.
MOST_PER_PLAN = 50


class Destination(NamedTuple):
    """Where to rent machines, and for which pool."""

    place: Place
    pool: int


@dataclass(slots=True)
class RentalPlan:
    """Machines to rent, in the order in which they were asked for."""

    counts: dict[Destination, int] = field(default_factory=dict)
    # Machines by zone, with those that serve: new ones are spread.
    zones: dict[str, int] = field(default_factory=dict)

    @classmethod
    def beside(cls, serving: list[ManagedMachine]) -> RentalPlan:
        """An empty plan beside the machines that serve."""
        plan = cls()
        for machine in serving:
            plan.zones[machine.entry.zone] = plan.zones.get(machine.entry.zone, 0) + 1
        return plan

    @property
    def full(self) -> bool:
        """Whether the plan takes no more machines."""
        return sum(self.counts.values()) >= MOST_PER_PLAN

    def add(self, place: Place, pool: int) -> None:
        """One more machine."""
        destination = Destination(place, pool)
        self.zones[place.zone] = self.zones.get(place.zone, 0) + 1
        self.counts[destination] = self.counts.get(destination, 0) + 1

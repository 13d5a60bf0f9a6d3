"""The controllers among fakes of the outside systems: all in memory, one clock.

Messages take time, can be held, lost or delivered late; processes can be cut
off, crash and come back. The rules of the protocol are checked as it runs.
"""

from __future__ import annotations

from tests.simulation.service_checks import ServiceChecks


class Simulation(ServiceChecks):
    """A deployment among fakes, with the checks of the rules; see `SimulationState`."""

    def __init__(self, seed=1, **parameters):
        super().__init__(seed, **parameters)
        for name in self.node_names:
            self.boot(name)

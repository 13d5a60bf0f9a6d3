"""Controllers and fakes of the external systems, in memory, on one simulated clock.

Messages have a latency and can be held, lost or delivered late; processes can be partitioned,
crash and restart. The invariants of the protocol are checked while the simulation runs.
"""

from __future__ import annotations

from tests.simulation.service_checks import ServiceChecks


class Simulation(ServiceChecks):
    """A simulated deployment with all its checks; `SimulationState` lists its attributes."""

    def __init__(self, seed=1, **parameters):
        super().__init__(seed, **parameters)
        for name in self.node_names:
            self.boot(name)

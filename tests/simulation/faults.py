"""Failures that a test brings about."""

from __future__ import annotations

from tests.simulation.network import Network


class Faults(Network):
    """Partitions and outages of the state service, and the end of all failures."""

    def isolate(self, name):
        """Cut a controller from the state service and the other controllers alone."""
        self.refused.add(name)
        for other in self.names:
            if other != name:
                self.cut(name, other)

    def outage(self, seconds):
        """The state service is out; afterwards every lease has its full time again."""
        self.state.down = True
        self.run(seconds)
        self.outage_over()

    def outage_over(self):
        self.state.down = False
        for lease, (_, ttl) in self.state.leases.items():
            self.state.leases[lease] = (self.now + ttl, ttl)
        self.state.notify_watches()

    def end_faults(self):
        """End all faults."""
        self.heal()
        self.inbound_blocked, self.outbound_blocked, self.refused = set(), set(), set()
        self.late_writes = self.late_reports = self.slow_state = 0.0
        self.lost_answers = self.late_commands = 0.0
        self.latency = (0.001, 0.02)

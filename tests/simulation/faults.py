"""Failures that a test brings about."""

from __future__ import annotations

from tests.simulation.network import Network


class Faults(Network):
    """Partitions and outages of the state service, and the end of all failures."""

    def isolate(self, name):
        """Cut a controller from the state service and the other controllers alone."""
        self.kvstore_refuses.add(name)
        for other in self.node_names:
            if other != name:
                self.cut(name, other)

    def outage(self, seconds):
        """The state service is out; afterwards every lease has its full time again."""
        self.kvstore.down = True
        self.run(seconds)
        self.end_outage()

    def end_outage(self):
        self.kvstore.down = False
        for lease, (_, ttl) in self.kvstore.leases.items():
            self.kvstore.leases[lease] = (self.now + ttl, ttl)
        self.kvstore.notify_watches()

    def end_faults(self):
        """End all faults."""
        self.heal()
        self.inbound_blocked, self.outbound_blocked, self.kvstore_refuses = set(), set(), set()
        self.late_writes = self.late_heartbeats = self.kvstore_delay_s = 0.0
        self.lost_answers = self.late_commands = 0.0
        self.latency_s = (0.001, 0.02)

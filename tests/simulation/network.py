"""Messages between controllers, machines and outside systems."""

from __future__ import annotations

from tests.simulation.clock import Clock


class Network(Clock):
    """Messages take time, and can be held, dropped or delivered late."""

    def cut(self, a, b):
        self.cuts.add(frozenset((a, b)))

    def heal(self):
        """End all cuts; what was held back arrives now, however late."""
        self.cuts.clear()
        held, self.held = self.held, []
        for action in held:
            self.after(self.rng.uniform(0.0, 0.5), action)

    def carry(self, a, b, action, back=False):
        if b in self.inbound_blocked and (back or a in self.names):
            return
        if frozenset((a, b)) in self.cuts:
            if self.rng.random() < 0.7:
                self.held.append(action)
            return
        self.after(self.rng.uniform(*self.latency), action)

    def carry_frame(self, sender, member, action):
        """As `carry`, but what is sent later arrives later where links keep their order."""
        if not self.deployment.ordered_links or frozenset((sender, member)) in self.cuts:
            self.carry(sender, member, action)
            return
        at = max(
            self.now + self.rng.uniform(*self.latency), self.arrivals.get((sender, member), 0.0)
        )
        self.arrivals[sender, member] = at
        self.after(at - self.now, action)

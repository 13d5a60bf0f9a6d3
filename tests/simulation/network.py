"""Messages between controllers, machines and outside systems."""

from __future__ import annotations

from tests.simulation.clock import Clock


class Network(Clock):
    """Messages take time, and can be held, dropped or delivered late."""

    def cut(self, a, b):
        self.cut_links.add(frozenset((a, b)))

    def heal(self):
        """End all cuts; what was held back arrives now, however late."""
        self.cut_links.clear()
        held, self.held_messages = self.held_messages, []
        for action in held:
            self.after(self.rng.uniform(0.0, 0.5), action)

    def deliver(self, a, b, action, back=False):
        if b in self.inbound_blocked and (back or a in self.node_names):
            return
        if frozenset((a, b)) in self.cut_links:
            if self.rng.random() < 0.7:
                self.held_messages.append(action)
            return
        self.after(self.rng.uniform(*self.latency_s), action)

    def deliver_frame(self, sender, member, action):
        """As `carry`, but what is sent later arrives later where links keep their order."""
        if not self.deployment.ordered_links or frozenset((sender, member)) in self.cut_links:
            self.deliver(sender, member, action)
            return
        at = max(
            self.now + self.rng.uniform(*self.latency_s),
            self.last_arrivals.get((sender, member), 0.0),
        )
        self.last_arrivals[sender, member] = at
        self.after(at - self.now, action)

"""Message delivery between controllers, machines and external systems."""

from __future__ import annotations

from tests.simulation.clock import Clock


class Network(Clock):
    """Delivers messages after a random latency, holds them, or drops them."""

    def cut(self, first, second):
        """Partition two endpoints; each message between them is held (70%) or dropped."""
        self.cut_links.add(frozenset((first, second)))

    def heal(self):
        """Restore all links and deliver the held messages, however old, within 0.5 s."""
        self.cut_links.clear()
        messages, self.held_messages = self.held_messages, []
        for action in messages:
            self.after(self.rng.uniform(0.0, 0.5), action)

    def deliver(self, source, target, action, is_answer=False):
        """Run `action` when a message from `source` arrives at `target`.

        Endpoints are names of controllers or machines, or a service ("state", "cloud").
        `is_answer`: the message answers a heartbeat, which `inbound_blocked` drops as well.
        """
        if target in self.inbound_blocked and (is_answer or source in self.node_names):
            return
        if frozenset((source, target)) in self.cut_links:
            if self.rng.random() < 0.7:
                self.held_messages.append(action)
            return
        self.after(self.rng.uniform(*self.latency_s), action)

    def deliver_frame(self, sender, member, action):
        """Like `deliver`, but in the order of sending if the deployment's links are ordered."""
        if not self.deployment.ordered_links or frozenset((sender, member)) in self.cut_links:
            self.deliver(sender, member, action)
            return
        arrives_at = max(
            self.now + self.rng.uniform(*self.latency_s),
            self.last_arrivals.get((sender, member), 0.0),
        )
        self.last_arrivals[sender, member] = arrives_at
        self.after(arrives_at - self.now, action)

"""The simulated clock and its queue of pending events."""

from __future__ import annotations

import heapq

from tests.simulation.state import SimulationState


class Clock(SimulationState):
    """Simulated time in seconds; events due at the same time run in the order of scheduling."""

    def after(self, delay, action):
        self.at_time(self.now + delay, action)

    def at_time(self, due_at, action):
        heapq.heappush(self.pending_events, (due_at, next(self.event_numbers), action))

    def run(self, seconds):
        end = self.now + seconds
        while self.pending_events and self.pending_events[0][0] <= end:
            due_at, _, action = heapq.heappop(self.pending_events)
            self.now = max(self.now, due_at)
            action()
        self.now = end

    def run_until(self, condition, seconds=60.0):
        end = self.now + seconds
        while not condition() and self.now < end:
            self.run(0.1)
        assert condition(), f"condition not met within {seconds} s of simulated time"

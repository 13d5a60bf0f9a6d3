"""One simulated clock, and the queue of what is due."""

from __future__ import annotations

import heapq

from tests.simulation.state import SimulationState


class Clock(SimulationState):
    """Simulated time; what is due at the same moment happens in the order it was scheduled."""

    def after(self, delay, action):
        self.at_time(self.now + delay, action)

    def at_time(self, due, action):
        heapq.heappush(self.pending_events, (due, next(self.event_numbers), action))

    def run(self, seconds):
        end = self.now + seconds
        while self.pending_events and self.pending_events[0][0] <= end:
            at, _, action = heapq.heappop(self.pending_events)
            self.now = max(self.now, at)
            action()
        self.now = end

    def run_until(self, wanted, seconds=60.0):
        end = self.now + seconds
        while not wanted() and self.now < end:
            self.run(0.1)
        assert wanted(), "did not happen in time"

"""The maximum over a sliding window."""

from __future__ import annotations

from collections import deque


class SlidingMaximum:
    """The highest value over a sliding window."""

    def __init__(self, window: float) -> None:
        self.window = window
        self.samples: deque[tuple[float, float]] = deque()

    def add(self, now: float, value: float) -> None:
        """Take a sample."""
        while self.samples and self.samples[-1][1] <= value:
            self.samples.pop()
        self.samples.append((now, value))
        while self.samples[0][0] < now - self.window:
            self.samples.popleft()

    def value(self) -> float:
        """The highest sample in the window."""
        return self.samples[0][1] if self.samples else 0.0

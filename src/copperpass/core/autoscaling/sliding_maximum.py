"""The maximum over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class Sample(NamedTuple):
    """A value and when it was taken."""

    taken_at: float
    value: float


class SlidingMaximum:
    """The highest value over the last `window_s` seconds, in amortized constant time.

    The samples that are kept have decreasing values: one that is followed by a higher value can't
    become the maximum any more.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.samples: deque[Sample] = deque()

    def add(self, now: float, value: float) -> None:
        """Add a sample; times never decrease."""
        while self.samples and self.samples[-1].value <= value:
            self.samples.pop()
        self.samples.append(Sample(now, value))
        while self.samples[0].taken_at < now - self.window_s:
            self.samples.popleft()

    def value(self) -> float:
        """The highest sample in the window; 0 without any."""
        return self.samples[0].value if self.samples else 0.0

"""The maximum of timed samples over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class Sample(NamedTuple):
    """A value and the time, in seconds, at which it was taken."""

    taken_at: float
    value: float


class SlidingMaximum:
    """The highest value over the last `window_s` seconds, in amortized constant time.

    Keeps only samples with strictly decreasing values: a sample that is followed by an equal or
    higher value can no longer become the maximum.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.samples: deque[Sample] = deque()

    def add(self, now: float, value: float) -> None:
        """Add a sample; `now` must not decrease between calls."""
        while self.samples and self.samples[-1].value <= value:
            self.samples.pop()
        self.samples.append(Sample(now, value))
        while self.samples[0].taken_at < now - self.window_s:
            self.samples.popleft()

    def value(self) -> float:
        """Return the highest sample in the window, as of the last `add`; 0 without samples."""
        return self.samples[0].value if self.samples else 0.0

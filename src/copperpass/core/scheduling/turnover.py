"""How much room tasks release by ending on their own, and what that spares from being stopped."""

from __future__ import annotations

import math
from collections import deque

from copperpass.core.jobs import EPS, Job


class Turnover:
    """The rate at which tasks release CPUs by ending on their own, over a sliding window."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.released: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, now: float, cpus: float) -> None:
        """A task has ended, without being told to, and released its CPUs."""
        self.released.append((now, cpus))
        self.total += cpus

    def rate(self, now: float) -> float:
        """CPUs released in a second."""
        while self.released and self.released[0][0] < now - self.window_s:
            self.total -= self.released.popleft()[1]
        return max(0.0, self.total) / self.window_s


class ExpectedRelease:
    """The CPUs that will be released soon, given to waiting jobs in their order."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.claimed = 0.0

    def shortfall(self, job: Job, slack_s: float) -> int:
        """How many of the job's waiting tasks find no room within its slack by waiting alone."""
        waiting, cpus = job.waiting(), job.spec.cpus
        expected = max(0.0, self.rate * slack_s - self.claimed)
        self.claimed += waiting * cpus
        if cpus <= 0:
            return waiting
        return max(0, math.ceil((waiting * cpus - expected) / cpus - EPS))

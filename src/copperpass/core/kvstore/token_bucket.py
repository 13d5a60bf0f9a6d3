"""Token buckets: budgets of writes or calls that adapt to refusals for the rate."""

from __future__ import annotations

# After a refusal for the rate: the part of the rate that is kept, the least part of the configured
# rate, and the seconds in which all of it would be regained.
RATE_KEPT, LEAST_RATE_PART, RECOVERY_S = 0.7, 0.05, 60.0
# Guards against rounding: a level this little below an amount is enough.
TOLERANCE = 1e-9


class TokenBucket:
    """A token bucket over the steady clock: `rate` tokens a second, up to `burst` of them.

    Invariant: `rate` and `burst` keep the ratio of the configured `full_rate` and `full_burst`.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.full_rate, self.full_burst = rate, burst
        self.level = burst
        self.refilled_at = 0.0

    def slow_down(self, now: float) -> None:
        """The service allows a lower rate than was configured: reduce it, and start empty."""
        self._refill(now)
        self._set_rate(max(LEAST_RATE_PART * self.full_rate, RATE_KEPT * self.rate))
        self.level = min(self.level, 0.0)

    def take(self, now: float, amount: float, reserve: float = 0.0) -> bool:
        """Take an amount if it is there and `reserve`, a part of the burst, remains."""
        self._refill(now)
        if self.level + TOLERANCE < min(amount + reserve * self.burst, self.burst):
            return False
        self.level -= amount
        return True

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.level = min(self.burst, self.level + elapsed * self.rate)
        if self.rate < self.full_rate:
            recovered = self.rate + elapsed * self.full_rate / RECOVERY_S
            self._set_rate(min(self.full_rate, recovered))

    def _set_rate(self, rate: float) -> None:
        self.rate = rate
        self.burst = self.full_burst * rate / self.full_rate

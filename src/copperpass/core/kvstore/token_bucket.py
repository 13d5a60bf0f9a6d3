"""Token buckets for writes or calls, whose rate is reduced when the service limits it."""

from __future__ import annotations

# When the service refuses a request for exceeding its rate limit, the rate is multiplied by
# `RATE_DECREASE_FACTOR`, down to `MIN_RATE_FRACTION` of the configured rate. Afterwards it rises by
# the configured rate per `RATE_RECOVERY_S` seconds.
RATE_DECREASE_FACTOR, MIN_RATE_FRACTION, RATE_RECOVERY_S = 0.7, 0.05, 60.0
# Rounding tolerance in tokens: this much less than the requested amount is still enough.
ROUNDING_TOLERANCE = 1e-9


class TokenBucket:
    """A token bucket on the monotonic clock: `rate` tokens a second, up to `burst` tokens.

    Invariant: `rate` and `burst` keep the ratio of `configured_rate` and `configured_burst`.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.configured_rate, self.configured_burst = rate, burst
        self.tokens = burst
        self.last_refill_at = 0.0

    def reduce_rate(self, now: float) -> None:
        """Reduce the rate and empty the bucket after the service refused a request for its rate."""
        self._refill(now)
        self._set_rate(
            max(MIN_RATE_FRACTION * self.configured_rate, RATE_DECREASE_FACTOR * self.rate)
        )
        self.tokens = min(self.tokens, 0.0)

    def take(self, now: float, amount: float, reserve: float = 0.0) -> bool:
        """Take `amount` tokens if that leaves `reserve`, a fraction of the burst.

        Returns whether they were taken. A full bucket covers any amount and reserve; its level may
        then become negative.
        """
        self._refill(now)
        if self.tokens + ROUNDING_TOLERANCE < min(amount + reserve * self.burst, self.burst):
            return False
        self.tokens -= amount
        return True

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.last_refill_at)
        self.last_refill_at = max(self.last_refill_at, now)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        if self.rate < self.configured_rate:
            recovered = self.rate + elapsed * self.configured_rate / RATE_RECOVERY_S
            self._set_rate(min(self.configured_rate, recovered))

    def _set_rate(self, rate: float) -> None:
        self.rate = rate
        self.burst = self.configured_burst * rate / self.configured_rate

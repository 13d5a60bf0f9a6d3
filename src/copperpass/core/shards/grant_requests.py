"""A member's grant requests in one term, and how long the grants are valid."""

from __future__ import annotations

from collections import OrderedDict

from copperpass.core.election.timings import CLOCK_DRIFT
from copperpass.protocol.frames.messages import Grant

# Grant requests sent within the length of one grant.
REQUESTS_PER_GRANT = 6
# Older requests are forgotten: a grant that answers one of them would have expired.
MAX_OPEN_REQUESTS = 4 * REQUESTS_PER_GRANT


class GrantRequests:
    """Numbers the requests and tracks the validity of their grants; times are in seconds.

    A grant's validity is counted from the time at which it was requested, so that it never expires
    later here than by the leader's calculation.
    """

    def __init__(self, grant_s: float) -> None:
        self.interval_s = grant_s / REQUESTS_PER_GRANT
        self.next_request_at = float("-inf")
        self.request_times: OrderedDict[int, float] = OrderedDict()
        self.last_request_number = 0
        self.last_granted_number = 0
        self.valid_until = float("-inf")

    def next_number(self, now: float) -> int:
        """Record a request that is sent at `now` and return its number."""
        self.next_request_at = now + self.interval_s
        self.last_request_number = (self.last_request_number + 1) & 0xFFFFFFFF
        self.request_times[self.last_request_number] = now
        while len(self.request_times) > MAX_OPEN_REQUESTS:
            self.request_times.popitem(last=False)
        return self.last_request_number

    def accept(self, grant: Grant) -> bool:
        """Extend the validity by a grant; return False for one that answers no open request.

        A grant for an older request than that of the last accepted grant is refused too, because
        the assignments may have changed since.
        """
        requested_at = self.request_times.get(grant.number)
        if requested_at is None or grant.number <= self.last_granted_number:
            return False
        self.last_granted_number = grant.number
        # Shortened, since this member's clock may run slower than the leader's.
        length_s = grant.length_ms / 1000 * (1 - 2 * CLOCK_DRIFT)
        self.valid_until = max(self.valid_until, requested_at + length_s)
        return True

"""A member's requests for grants in one term, and until when the grants are valid."""

from __future__ import annotations

from collections import OrderedDict

from copperpass.core.election.timings import CLOCK_DRIFT
from copperpass.protocol.frames.messages import Grant

REQUESTS_PER_GRANT = 6
# Requests older than that many are forgotten: a grant for one would have ended.
MAX_OPEN_REQUESTS = 4 * REQUESTS_PER_GRANT


class GrantRequests:
    """Numbers the requests and tracks the validity of their grants; times are in seconds.

    A grant is valid from the moment of its request, so that its end here never lies after the
    leader's own reckoning of it.
    """

    def __init__(self, grant_s: float) -> None:
        self.interval_s = grant_s / REQUESTS_PER_GRANT
        self.next_request_at = float("-inf")
        self.request_times: OrderedDict[int, float] = OrderedDict()
        self.last_request_number = 0
        self.last_granted_number = 0
        self.valid_until = float("-inf")

    def next_number(self, now: float) -> int:
        """The number of a request that is sent now."""
        self.next_request_at = now + self.interval_s
        self.last_request_number = (self.last_request_number + 1) & 0xFFFFFFFF
        self.request_times[self.last_request_number] = now
        while len(self.request_times) > MAX_OPEN_REQUESTS:
            self.request_times.popitem(last=False)
        return self.last_request_number

    def accept(self, grant: Grant) -> bool:
        """Extend the validity by a grant; False for one that answers no open request.

        One that a newer grant has overtaken is refused too: its assignments may have changed since.
        """
        requested_at = self.request_times.get(grant.number)
        if requested_at is None or grant.number <= self.last_granted_number:
            return False
        self.last_granted_number = grant.number
        # By a clock that may run slow against the leader's.
        length_s = grant.length_ms / 1000 * (1 - 2 * CLOCK_DRIFT)
        self.valid_until = max(self.valid_until, requested_at + length_s)
        return True

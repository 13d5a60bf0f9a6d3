"""The side of a member that starts tasks: whether its knowledge of cancellations is recent enough.

A watch cache that is consistent as of a recent time shows every cancellation that a user can know
of. During an outage of the store no cache is recent. A member then needs a permit from every other
member, which promises not to confirm a cancellation that the holder has not acknowledged while the
permit is valid.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from copperpass.core.cancellations.timings import CancellationTimings
from copperpass.core.ports import Outbox
from copperpass.protocol.frames.messages import StartPermit, StartPermitRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class StartPermitContext:
    """Collaborators of `StartPermits`.

    `consistent_at`: the time as of which the watch cache is consistent. `revision`: the store's
    revision that it has reached. `knows_permits`: whether a member knows the frames now.
    `first_number`: the number of this process's first request; random, so that a permit for a
    request of an earlier process matches none of this one.
    """

    peers: Sequence[str]
    timings: CancellationTimings
    outbox: Outbox
    first_number: int
    consistent_at: Callable[[], float]
    revision: Callable[[], int]
    knows_permits: Callable[[float, str], bool]


class StartPermits:
    """Decides whether this member may start tasks; requests permits while its cache is not recent.

    A permit is counted from the sending of its request, so it ends here before it ends for the
    member that gave it.
    """

    def __init__(self, context: StartPermitContext) -> None:
        self.context = context
        self._number = context.first_number
        self._requests_sent_at: dict[int, float] = {}
        self._valid_until: dict[str, float] = {}
        self._next_request_at = float("-inf")

    def may_start(self, now: float) -> bool:
        """Whether every cancellation that a user may have been told of is known here."""
        context = self.context
        if now < context.consistent_at() + context.timings.starter_fresh_s:
            return True
        return all(now < self._valid_until.get(peer, float("-inf")) for peer in context.peers)

    def tick(self, now: float) -> None:
        """Request permits from all peers if the watch cache is not recent; for owners of shards."""
        context, timings = self.context, self.context.timings
        needed_at = context.consistent_at() + timings.request_age_s
        if now < max(needed_at, self._next_request_at):
            return
        self._next_request_at = now + timings.permit_s / 4
        self._requests_sent_at = {
            number: sent_at
            for number, sent_at in self._requests_sent_at.items()
            if now - sent_at < timings.permit_s
        }
        self._number += 1
        self._requests_sent_at[self._number] = now
        request = StartPermitRequest(self._number, context.revision())
        for peer in context.peers:
            if context.knows_permits(now, peer):
                context.outbox.send(peer, request)

    def on_permit(self, sender: str, permit: StartPermit) -> None:
        """Count a permit from the sending of the request that it answers."""
        sent_at = self._requests_sent_at.get(permit.number)
        if sent_at is not None:
            valid_until = sent_at + self.context.timings.starter_permit_s
            self._valid_until[sender] = max(self._valid_until.get(sender, 0.0), valid_until)

"""The side of a member that tells users of cancellations: when it may, and permits for the others.

Invariant: while a start permit given to a member may be valid, no user is told here of a
cancellation that this member has not acknowledged.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import islice

from copperpass.core.cancellations.timings import CancellationTimings
from copperpass.core.ports import Outbox
from copperpass.protocol.frames.messages import (
    CancellationAcknowledged,
    JobCancelled,
    StartPermit,
    StartPermitRequest,
)

# The most notices that are repeated to one member at a time.
MAX_REPEATED_NOTICES = 64

# Called with the time and 0.0 once users may be told, or with the seconds after which they may be.
OnConfirmed = Callable[[float, float], None]


@dataclass(frozen=True, slots=True)
class StoredCancellation:
    """A cancellation in the store.

    `revision`: that of the record. `known_since`: a time at which it certainly was stored already.
    """

    job_id: str
    revision: int
    known_since: float


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for a confirmation until its deadline."""

    deadline: float
    on_done: OnConfirmed


@dataclass(slots=True)
class Confirmation:
    """The progress of one confirmation; kept after it until all members have acknowledged it."""

    cancellation: StoredCancellation
    # Members that may start tasks and have not acknowledged the cancellation.
    unacknowledged: set[str]
    # No member needs the entry any more after this time.
    expires_at: float
    next_notice_at: float
    waiters: list[Waiter] = field(default_factory=list)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmationContext:
    """Collaborators of `CancellationConfirmations`.

    `possible_starters`: the other members that may start tasks and may not know of what was stored
    at a given revision. `apply`: marks a job as cancelled on this member and stops its tasks.
    `knows_notices`: whether a member is proven to know `JobCancelled`. `can_acknowledge`: whether a
    member is connected and knows the other frames. `synced_revision`: the revision of the complete
    listing with which the watch cache began; None before it.
    """

    timings: CancellationTimings
    outbox: Outbox
    max_remembered: int
    possible_starters: Callable[[int], Iterable[str]]
    apply: Callable[[float, str], None]
    knows_notices: Callable[[str], bool]
    can_acknowledge: Callable[[float, str], bool]
    synced_revision: Callable[[], int | None]


class CancellationConfirmations:
    """Tells when users may be told of a cancellation, and gives start permits to other members."""

    def __init__(self, context: ConfirmationContext) -> None:
        self.context = context
        # By job id. A job is in `confirmed` once users may be told, for as long as there is room.
        self.confirmations: dict[str, Confirmation] = {}
        self.confirmed: OrderedDict[str, None] = OrderedDict()
        # When this member last gave a start permit to each other member.
        self._permit_given_at: dict[str, float] = {}

    # -- confirmations ------------------------------------------------------------------------

    def confirm(
        self, now: float, cancellation: StoredCancellation, deadline: float, on_done: OnConfirmed
    ) -> None:
        """Call `on_done` once users may be told, or at the deadline; possibly before returning."""
        job_id, timings = cancellation.job_id, self.context.timings
        known_to_all = now >= cancellation.known_since + timings.forget_after_s
        if known_to_all or job_id in self.confirmed:
            on_done(now, 0.0)
            return
        confirmation = self.confirmations.get(job_id) or self._begin(now, cancellation)
        if self._remaining_s(now, confirmation) <= 0.0:
            self._remember(job_id)
            on_done(now, 0.0)
        else:
            confirmation.waiters.append(Waiter(deadline, on_done))

    def _begin(self, now: float, cancellation: StoredCancellation) -> Confirmation:
        """Apply a cancellation here and notify the members that may start tasks of the job."""
        context, job_id = self.context, cancellation.job_id
        context.apply(now, job_id)
        confirmation = Confirmation(
            cancellation,
            set(context.possible_starters(cancellation.revision)),
            now + context.timings.forget_after_s,
            now + context.timings.permit_s / 4,
        )
        if confirmation.unacknowledged:
            self.confirmations[job_id] = confirmation
            self._notify(job_id, filter(context.knows_notices, confirmation.unacknowledged))
        return confirmation

    def _notify(self, job_id: str, members: Iterable[str]) -> None:
        for member in sorted(members):
            self.context.outbox.send(member, JobCancelled(job_id))

    def _remaining_s(self, now: float, confirmation: Confirmation) -> float:
        """Return in how many seconds certainly no other member starts tasks of the job any more."""
        timings, unacknowledged = self.context.timings, confirmation.unacknowledged
        # Once the watch has shown the cancellation, it shows as well who can start tasks.
        unacknowledged.intersection_update(
            self.context.possible_starters(confirmation.cancellation.revision)
        )
        if not unacknowledged:
            return 0.0
        ends_at = confirmation.cancellation.known_since + timings.confirmer_fresh_s
        for member in unacknowledged:
            permit_given_at = self._permit_given_at.get(member, float("-inf"))
            ends_at = max(ends_at, permit_given_at + timings.confirmer_permit_s)
        return max(0.0, ends_at - now)

    def _remember(self, job_id: str) -> None:
        self.confirmed[job_id] = None
        while len(self.confirmed) > self.context.max_remembered:
            self.confirmed.popitem(last=False)

    def on_acknowledged(self, now: float, sender: str, frame: CancellationAcknowledged) -> None:
        """Record that a member knows of a cancellation and starts no more tasks of the job."""
        confirmation = self.confirmations.get(frame.job)
        if confirmation is not None:
            confirmation.unacknowledged.discard(sender)
            self._settle(now, confirmation)

    def tick(self, now: float) -> None:
        """Answer requests that may be answered or have waited too long; repeat notices."""
        waiting = [entry for entry in self.confirmations.values() if entry.waiters]
        for confirmation in waiting:
            self._settle(now, confirmation)
        # Entries expire in the order in which they were added.
        while self.confirmations:
            job_id, oldest = next(iter(self.confirmations.items()))
            if now < oldest.expires_at or oldest.waiters:
                break
            del self.confirmations[job_id]
        self._repeat_notices(now)

    def _settle(self, now: float, confirmation: Confirmation) -> None:
        """Answer what may be answered; drop the entry once all members have acknowledged it."""
        job_id, remaining_s = confirmation.cancellation.job_id, self._remaining_s(now, confirmation)
        if remaining_s <= 0.0:
            self._remember(job_id)
        if not confirmation.unacknowledged:
            self.confirmations.pop(job_id, None)
        waiters, confirmation.waiters = confirmation.waiters, []
        for waiter in waiters:
            if remaining_s <= 0.0 or now >= waiter.deadline:
                waiter.on_done(now, remaining_s)
            else:
                confirmation.waiters.append(waiter)

    def _repeat_notices(self, now: float) -> None:
        """Repeat notices that may have been lost, a limited number at a time."""
        due = (entry for entry in self.confirmations.values() if now >= entry.next_notice_at)
        for confirmation in list(islice(due, MAX_REPEATED_NOTICES)):
            confirmation.next_notice_at = now + self.context.timings.permit_s / 2
            reachable = [
                member
                for member in confirmation.unacknowledged
                if self.context.can_acknowledge(now, member)
            ]
            self._notify(confirmation.cancellation.job_id, reachable)

    # -- start permits --------------------------------------------------------------------------

    def on_permit_request(self, now: float, sender: str, request: StartPermitRequest) -> None:
        """Give a start permit, unless a user may know of a cancellation that the sender may not."""
        synced_revision = self.context.synced_revision()
        if synced_revision is None or request.revision < synced_revision:
            # An earlier process of this member may have told users of newer cancellations.
            return
        for confirmation in self.confirmations.values():
            if confirmation.cancellation.revision <= request.revision:
                confirmation.unacknowledged.discard(sender)
        if any(sender in entry.unacknowledged for entry in self.confirmations.values()):
            return
        self._permit_given_at[sender] = now
        self.context.outbox.send(sender, StartPermit(request.number))

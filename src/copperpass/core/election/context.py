"""Dependencies shared by the components of one member's election."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from copperpass.core.election.timings import ElectionTimings
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Outbox


class OnLeadershipChange(Protocol):
    """Called when this member wins or loses the leadership.

    `continued`: the member still had authority under its earlier token when it won again, so no
    other member can have acted as the leader in between.
    """

    def __call__(self, now: float, is_leader: bool, continued: bool) -> None:
        """Handle the change."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ElectionContext:
    """One member's view of the election: participants, timings and output ports.

    `consistent_at` returns a monotonic time in seconds: the watch cache of this member contains
    every change that the store confirmed before it. `max_grant_s` is the longest time in seconds
    that a shard grant given by an earlier run of this member may still last; 0 if shards are not
    granted.
    """

    member: str
    peers: Sequence[str]
    timings: ElectionTimings
    outbox: Outbox
    transactions: TransactionQueue
    rng: random.Random
    on_change: OnLeadershipChange
    consistent_at: Callable[[], float] = lambda: float("inf")
    max_grant_s: float = 0.0

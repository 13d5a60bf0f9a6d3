"""What the parts of one member's election share."""

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

    `continued`: it still had authority under its earlier token when it won again, so no other
    member can have acted in between.
    """

    def __call__(self, now: float, is_leader: bool, continued: bool) -> None:
        """Take in the change."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ElectionContext:
    """One member's election: who takes part, how long things last, and where effects go.

    `consistent_at` returns the time before which every confirmed change of the
    store is known here. `max_grant_s` is the longest grant that an earlier run of this member may
    have left behind; 0 where no shard is granted.
    """

    member: str
    peers: Sequence[str]
    timings: ElectionTimings
    out: Outbox
    transactions: TransactionQueue
    rng: random.Random
    on_change: OnLeadershipChange
    consistent_at: Callable[[], float] = lambda: float("inf")
    max_grant_s: float = 0.0

"""Writes of the machine inventory: one at a time, spaced out, guarded by the fencing token."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from copperpass.core.kvstore.keys import FENCING_TOKEN_KEY
from copperpass.core.kvstore.operations import (
    OnOperationDone,
    Operation,
    Priority,
    TransactionOutcome,
)
from copperpass.core.kvstore.token_bucket import TokenBucket
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.protocol.kvstore import Write

# How many gaps between writes pass after a write that was not applied.
BACKOFF_GAPS = 4


def _never() -> bool:
    return False


@dataclass(frozen=True, slots=True, kw_only=True)
class InventoryContext:
    """What a leader gives to its inventory.

    `record_bytes` is the largest value that is allowed now, `least_value_bytes` that of now and
    after the announced limits; `write_gap_s` seconds are between writes in the long run, and each
    must be sent within `deadline_s`.
    """

    transactions: TransactionQueue
    # The version of the fencing token under which this leader writes.
    token_version: Callable[[], int]
    record_bytes: float
    least_value_bytes: float
    # The most writes of a transaction.
    max_writes: int
    write_gap_s: float
    deadline_s: float
    # Whether every member is certainly of a version that reads pages.
    all_upgraded: Callable[[], bool] = _never
    # Whether the settings announce lower limits (`state.next`).
    limits_announced: bool = False


class InventoryWriter:
    """Submits the writes of one inventory.

    Invariant: at most one write has no outcome, so that each is made from what the last one left.
    """

    def __init__(self, context: InventoryContext) -> None:
        self.context = context
        self.gap_s = context.write_gap_s
        # The most writes of a transaction; reduced when the store turns out to allow fewer.
        self.max_writes = context.max_writes
        # A page a gap in the long run. An inventory at rest saves up for one transaction, so that
        # a request or a mark need not wait when it comes.
        self.page_budget = TokenBucket(1 / self.gap_s, float(context.max_writes))
        self.in_flight = False
        self.next_write_at = 0.0

    def submit(
        self,
        now: float,
        guards: dict[str, int],
        writes: Sequence[Write],
        on_done: OnOperationDone,
    ) -> int:
        """Submit writes under the fencing token; returns the bytes of the transaction."""

        def on_outcome(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            self.in_flight = False
            on_done(done_at, outcome, revision)

        self.in_flight = True
        self.next_write_at = now + self.gap_s
        operation = Operation(
            {FENCING_TOKEN_KEY: self.context.token_version(), **guards},
            writes,
            on_outcome,
            now + self.context.deadline_s,
            Priority.NORMAL,
        )
        self.context.transactions.submit(now, operation)
        return operation.body_bytes

    def may_write(self, now: float) -> bool:
        """Whether the next write may be made now."""
        return not self.in_flight and now >= self.next_write_at

    def back_off(self, now: float) -> None:
        """A write was not applied, or is not known to be."""
        self.next_write_at = now + BACKOFF_GAPS * self.gap_s

"""Rate-limited writes of the machine inventory, one at a time, guarded by the fencing token."""

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

# The delay after a write that was not applied or whose outcome is unknown, in write intervals.
BACKOFF_INTERVALS = 4


def _never() -> bool:
    return False


@dataclass(frozen=True, slots=True, kw_only=True)
class InventoryContext:
    """What a leader provides to its inventory.

    `max_value_bytes` is the largest value that the store allows now; `least_value_bytes` is the
    lower of this limit and the announced one. `write_interval_s` is the minimum time in seconds
    between writes, on average. A write that is not sent within `deadline_s` seconds fails.
    """

    transactions: TransactionQueue
    # The version of the fencing token under which this leader writes.
    token_version: Callable[[], int]
    max_value_bytes: float
    least_value_bytes: float
    # The maximum number of writes in a transaction.
    max_writes: int
    write_interval_s: float
    deadline_s: float
    # Whether every member is known to run a version that reads pages.
    all_upgraded: Callable[[], bool] = _never
    # Whether the settings announce future limits (`state.next`).
    limits_announced: bool = False


class InventoryWriter:
    """Submits the writes of one inventory.

    Invariant: at most one write is in flight, so each one builds on the outcome of the previous.
    """

    def __init__(self, context: InventoryContext) -> None:
        self.context = context
        self.write_interval_s = context.write_interval_s
        # The maximum number of writes in a transaction; reduced when the store turns out to allow
        # fewer.
        self.max_writes = context.max_writes
        # One page per write interval on average. An idle inventory accumulates tokens for one full
        # transaction, so that the next request or mark need not wait.
        self.page_budget = TokenBucket(1 / self.write_interval_s, float(context.max_writes))
        self.in_flight = False
        self.next_write_at = 0.0

    def submit(
        self,
        now: float,
        guards: dict[str, int],
        writes: Sequence[Write],
        on_done: OnOperationDone,
    ) -> int:
        """Submit writes guarded by the fencing token; returns the bytes of the transaction."""

        def on_outcome(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            self.in_flight = False
            on_done(done_at, outcome, revision)

        self.in_flight = True
        self.next_write_at = now + self.write_interval_s
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
        """Return whether no write is in flight and the write interval or back-off has passed."""
        return not self.in_flight and now >= self.next_write_at

    def back_off(self, now: float) -> None:
        """Delay the next write after one that was not applied or whose outcome is unknown."""
        self.next_write_at = now + BACKOFF_INTERVALS * self.write_interval_s

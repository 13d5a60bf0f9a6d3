"""Operations on the key-value store: guarded writes, their priorities and their outcomes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol

from copperpass.protocol.kvstore import Write


class TransactionOutcome(Enum):
    """How an operation ended."""

    # All writes were applied, at the revision passed along with the outcome.
    APPLIED = "applied"
    # A guard did not hold: nothing was written.
    CONFLICT = "conflict"
    # Certainly not applied: not sent before the deadline, or refused by an unavailable store.
    UNAVAILABLE = "unavailable"
    # No answer or a server error: the writes may have been applied, or may still be.
    UNKNOWN = "unknown"
    # Refused when sent alone, for its form, its size or an expired lease: nothing was written.
    INVALID = "invalid"


class Priority(IntEnum):
    """The order in which queued operations are sent; the value is the index of the queue."""

    # Requests of users, and the election.
    URGENT = 0
    # Writes that free capacity or complete jobs.
    NORMAL = 1
    # Writes that can be delayed and batched.
    BATCHED = 2


class OnOperationDone(Protocol):
    """Called once with the outcome and the store's revision; 0 unless the outcome is APPLIED."""

    def __call__(self, now: float, outcome: TransactionOutcome, revision: int, /) -> None:
        """Handle the outcome."""


@dataclass(slots=True)
class RefusedBatch:
    """A batch that the store refused; its operations are sent one by one to find the cause."""

    # Operations without an outcome yet.
    remaining: int
    # The number of writes in the batch.
    writes: int
    # Whether a cause other than the number of writes was found.
    cause_found: bool = False


@dataclass(slots=True)
class Operation:
    """A compare-and-swap: all writes are applied if every guarded key has the expected version.

    `guards`: the expected version of each key, 0 if it must not exist. `deadline`: the monotonic
    time in seconds until which the operation may be sent.
    """

    guards: dict[str, int]
    writes: Sequence[Write]
    on_done: OnOperationDone
    deadline: float
    priority: Priority = Priority.NORMAL
    # The size of the request body of this operation alone; set by `TransactionQueue.submit`.
    body_bytes: int = 0
    # The monotonic time, in seconds, at which it was last sent; it was not applied before.
    sent_at: float = float("-inf")
    # The refused batch that the operation was part of; while set, the operation is sent alone.
    refused_batch: RefusedBatch | None = None

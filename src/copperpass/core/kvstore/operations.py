"""Operations on the key-value store: guarded writes, their priorities and their outcomes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol

from copperpass.protocol.kvstore import Write


class TransactionOutcome(Enum):
    """How an operation ended."""

    # Carried out, at the revision that comes with it.
    APPLIED = "applied"
    # A guard did not hold: nothing was written.
    CONFLICT = "conflict"
    # Certainly not carried out: not sent in time, or refused by a service that is down.
    UNAVAILABLE = "unavailable"
    # No answer: it may have been carried out, or be carried out yet.
    UNKNOWN = "unknown"
    # Refused by itself, for its form, its size or an expired lease: nothing was written.
    INVALID = "invalid"


class Priority(IntEnum):
    """The order in which waiting operations are sent; an index of the queues."""

    # Users and the election.
    URGENT = 0
    # What frees capacity or completes jobs.
    NORMAL = 1
    # What can wait and be batched.
    BATCHED = 2


class OnOperationDone(Protocol):
    """Called once with the outcome, and with the revision of an applied operation (else 0)."""

    def __call__(self, now: float, outcome: TransactionOutcome, revision: int, /) -> None:
        """Act on the outcome."""


@dataclass(slots=True)
class RefusedBatch:
    """A batch that was refused as a whole; its operations are sent singly to find the cause."""

    # Operations without an outcome yet.
    remaining: int
    # How many writes the batch had.
    writes: int
    # Whether a cause other than the number of writes was found.
    explained: bool = False


@dataclass(slots=True)
class Operation:
    """A compare-and-swap: all writes are applied, if each guarded key has its version.

    `guards`: the version of each key, 0 if it must not exist; `deadline`: the moment of the steady
    clock until which it may be sent.
    """

    guards: dict[str, int]
    writes: Sequence[Write]
    on_done: OnOperationDone
    deadline: float
    priority: Priority = Priority.NORMAL
    # The bytes of its body, once it is submitted.
    size: int = 0
    # The refused batch that it was part of: it is sent by itself then.
    refused_batch: RefusedBatch | None = None

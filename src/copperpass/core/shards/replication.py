"""Replication of keyed logs between controllers, over links that lose, delay and repeat frames.

The leader replicates its routes to the members, an owner the statuses of its machines to the
leader. Both logs hold one entry a machine, and only the newest counts; so what was lost is sent
again until it is acknowledged, and a repeated or late batch changes nothing.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, Protocol, TypeVar


class Named(Protocol):
    """What is keyed by a machine's name."""

    @property
    def name(self) -> str:
        """The machine's name."""


T = TypeVar("T", bound=Named)


class Batch(NamedTuple, Generic[T]):
    """Consecutive entries of a log: those after one sequence number, up to another."""

    after_sequence: int
    last_sequence: int
    entries: list[T]


class ReplicationLog(Generic[T]):
    """The newest entry for each machine, in the order of their sequence numbers."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, T]] = {}
        self.last_sequence = 0

    def put(self, entry: T) -> bool:
        """Set a machine's entry; returns whether that changed anything."""
        present = self.entries.get(entry.name)
        if present is not None and present[1] == entry:
            return False
        self.last_sequence += 1
        # Dictionaries keep the order of insertion: the newest stays last.
        self.entries.pop(entry.name, None)
        self.entries[entry.name] = (self.last_sequence, entry)
        return True

    def after(self, sequence: int, limit: int) -> Batch[T]:
        """Up to `limit` entries newer than a sequence number, oldest first."""
        newer: list[tuple[int, T]] = []
        # The newest stand last: what a receiver has already is not gone over.
        for numbered in reversed(self.entries.values()):
            if numbered[0] <= sequence:
                break
            newer.append(numbered)
        newer.reverse()
        last = self.last_sequence if len(newer) <= limit else newer[limit - 1][0]
        return Batch(sequence, max(sequence, last), [entry for _, entry in newer[:limit]])


class ReplicationSender(Generic[T]):
    """Tracks what one receiver has acknowledged, and makes the batches to send it.

    Sends again from the last acknowledged entry when `max_unchanged_acknowledgements` in a row
    have brought no progress.
    """

    def __init__(self, log: ReplicationLog[T], max_unchanged_acknowledgements: int = 3) -> None:
        self.log = log
        self.max_unchanged_acknowledgements = max_unchanged_acknowledgements
        self.acknowledged_sequence = 0
        self.sent_sequence = 0
        self.unchanged_acknowledgements = 0

    @property
    def has_unsent(self) -> bool:
        """Whether the log has entries that were not sent yet."""
        return self.sent_sequence < self.log.last_sequence

    def on_acknowledged(self, sequence: int) -> None:
        """The receiver has every entry up to a sequence number."""
        if sequence > self.acknowledged_sequence or sequence >= self.sent_sequence:
            self.acknowledged_sequence = max(self.acknowledged_sequence, sequence)
            self.sent_sequence = max(self.sent_sequence, self.acknowledged_sequence)
            self.unchanged_acknowledgements = 0
            return
        self.unchanged_acknowledgements += 1
        if self.unchanged_acknowledgements >= self.max_unchanged_acknowledgements:
            self.sent_sequence = self.acknowledged_sequence
            self.unchanged_acknowledgements = 0

    def next_batch(self, limit: int) -> Batch[T]:
        """The next entries to send, at most `limit` of them."""
        batch = self.log.after(self.sent_sequence, limit)
        self.sent_sequence = batch.last_sequence
        return batch


class ReplicationReceiver:
    """Accepts batches in order, without gaps."""

    def __init__(self) -> None:
        self.applied_sequence = 0

    def accept(self, after_sequence: int, last_sequence: int) -> bool:
        """Whether a batch may be applied now; if so, it counts as applied.

        One that brings nothing beyond what is there may be a late one, held back on an old
        connection: its entries may be older than those that have come since. A batch that reaches
        further was made when all that is there was known, so whatever it holds is newer.
        """
        if after_sequence > self.applied_sequence or last_sequence <= self.applied_sequence:
            return False
        self.applied_sequence = last_sequence
        return True

"""What a leader and the owners tell one another: two tables that are copied over unsure links.

Both tables hold one entry a machine, and only the newest counts; so a lost frame is mended by
sending again what has not been acknowledged, and a repeated or late one changes nothing.
"""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

# A token says in its high bits which term of which leader it belongs to, then which handover of a
# machine, and in the low bits how often its commander has raised it.
EPOCH_SHIFT, HANDOVER_SHIFT = 40, 20
MOST_HANDOVERS = 1 << (EPOCH_SHIFT - HANDOVER_SHIFT)


def base_token(epoch: int, handover: int) -> int:
    """The lowest token of a machine's handover."""
    return (epoch << EPOCH_SHIFT) + (handover << HANDOVER_SHIFT)


class HasName(Protocol):
    """Whatever is told apart by a machine's name."""

    @property
    def name(self) -> str:
        """The machine's name."""


T = TypeVar("T", bound=HasName)


class ReplicationLog(Generic[T]):
    """The sender's side: numbered entries, the newest for each machine."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, T]] = {}
        self.last_sequence = 0

    def put(self, entry: T) -> bool:
        """Set a machine's entry; says whether that changed anything."""
        held = self.entries.get(entry.name)
        if held is not None and held[1] == entry:
            return False
        self.last_sequence += 1
        # Dictionaries keep the order of insertion: the newest stays last.
        self.entries.pop(entry.name, None)
        self.entries[entry.name] = (self.last_sequence, entry)
        return True

    def after(self, sequence: int, most: int) -> tuple[list[T], int]:
        """Up to `most` entries newer than a number, oldest first, and the last one's number."""
        newer: list[tuple[int, T]] = []
        # The newest stand last: what a receiver has already is not gone over.
        for held in reversed(self.entries.values()):
            if held[0] <= sequence:
                break
            newer.append(held)
        newer.reverse()
        upto = self.last_sequence if len(newer) <= most else newer[most - 1][0]
        return [entry for _, entry in newer[:most]], max(sequence, upto)


class ReplicationSender(Generic[T]):
    """How far a receiver is known to have come, and what to send it."""

    def __init__(self, table: ReplicationLog[T], patience: int = 3) -> None:
        self.log, self.max_unchanged_acknowledgements = table, patience
        self.acknowledged_sequence = self.sent_sequence = 0
        self.unchanged_acknowledgements = 0

    def on_acknowledged(self, sequence: int) -> None:
        """The receiver has everything up to a number; what was lost is sent again."""
        if sequence > self.acknowledged_sequence or sequence >= self.sent_sequence:
            self.acknowledged_sequence, self.unchanged_acknowledgements = (
                max(self.acknowledged_sequence, sequence),
                0,
            )
            self.sent_sequence = max(self.sent_sequence, self.acknowledged_sequence)
            return
        self.unchanged_acknowledgements += 1
        if self.unchanged_acknowledgements >= self.max_unchanged_acknowledgements:
            self.sent_sequence, self.unchanged_acknowledgements = self.acknowledged_sequence, 0

    def next_batch(self, most: int) -> tuple[int, int, list[T]]:
        """The next batch: the number before it, its last number, its entries."""
        entries, upto = self.log.after(self.sent_sequence, most)
        before, self.sent_sequence = self.sent_sequence, upto
        return before, upto, entries


class ReplicationReceiver:
    """The receiver's side: takes batches in order, without gaps."""

    def __init__(self) -> None:
        self.applied_sequence = 0

    def accept(self, before: int, upto: int) -> bool:
        """Whether a batch may be applied now.

        One that brings nothing beyond what is there may be a late one, held back on an old
        connection: its entries may be older than those that have come since. A batch that reaches
        further was made when all that is there was known, so whatever it holds is newer.
        """
        if before > self.applied_sequence or upto <= self.applied_sequence:
            return False
        self.applied_sequence = upto
        return True

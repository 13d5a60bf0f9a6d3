"""Replication of keyed logs between controllers, over links that lose, delay and repeat frames.

The leader replicates its routes to the members; each owner replicates the statuses of its machines
to the leader. A log holds one entry per machine, and only the newest entry counts. Lost entries are
therefore sent again until they are acknowledged, and a repeated or late batch has no effect.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, Protocol, TypeVar


class MachineEntry(Protocol):
    """A log entry, keyed by a machine's name."""

    @property
    def name(self) -> str:
        """The machine's name, the key of the entry."""


EntryT = TypeVar("EntryT", bound=MachineEntry)


class Batch(NamedTuple, Generic[EntryT]):
    """The entries of a log after `after_sequence`, up to and including `last_sequence`."""

    after_sequence: int
    last_sequence: int
    entries: list[EntryT]


class ReplicationLog(Generic[EntryT]):
    """The newest entry for each machine, in the order of their sequence numbers."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, EntryT]] = {}
        self.last_sequence = 0

    def put(self, entry: EntryT) -> bool:
        """Set a machine's entry; return False if it is the same as before."""
        existing = self.entries.get(entry.name)
        if existing is not None and existing[1] == entry:
            return False
        self.last_sequence += 1
        # Insert the entry anew: a dictionary keeps insertion order, so the newest entry is last.
        self.entries.pop(entry.name, None)
        self.entries[entry.name] = (self.last_sequence, entry)
        return True

    def after(self, sequence: int, limit: int) -> Batch[EntryT]:
        """Up to `limit` entries newer than a sequence number, oldest first."""
        newer: list[tuple[int, EntryT]] = []
        # The newest entries are last, so the scan skips those that the receiver already has.
        for numbered_entry in reversed(self.entries.values()):
            if numbered_entry[0] <= sequence:
                break
            newer.append(numbered_entry)
        newer.reverse()
        last = self.last_sequence if len(newer) <= limit else newer[limit - 1][0]
        return Batch(sequence, max(sequence, last), [entry for _, entry in newer[:limit]])


class ReplicationSender(Generic[EntryT]):
    """Tracks what one receiver has acknowledged and creates the batches to send to it.

    Resends from the last acknowledged entry after `max_unchanged_acknowledgements` acknowledgements
    in a row without progress.
    """

    def __init__(
        self, log: ReplicationLog[EntryT], max_unchanged_acknowledgements: int = 3
    ) -> None:
        self.log = log
        self.max_unchanged_acknowledgements = max_unchanged_acknowledgements
        self.acknowledged_sequence = 0
        self.sent_sequence = 0
        self.unchanged_acknowledgements = 0

    @property
    def has_unsent(self) -> bool:
        """Whether the log has entries that are not sent yet or are to be sent again."""
        return self.sent_sequence < self.log.last_sequence

    def on_acknowledged(self, sequence: int) -> None:
        """Process an acknowledgement: the receiver has every entry up to `sequence`."""
        if sequence > self.acknowledged_sequence or sequence >= self.sent_sequence:
            self.acknowledged_sequence = max(self.acknowledged_sequence, sequence)
            self.sent_sequence = max(self.sent_sequence, self.acknowledged_sequence)
            self.unchanged_acknowledgements = 0
            return
        self.unchanged_acknowledgements += 1
        if self.unchanged_acknowledgements >= self.max_unchanged_acknowledgements:
            self.sent_sequence = self.acknowledged_sequence
            self.unchanged_acknowledgements = 0

    def next_batch(self, limit: int) -> Batch[EntryT]:
        """Return the next entries to send, at most `limit`, and count them as sent."""
        batch = self.log.after(self.sent_sequence, limit)
        self.sent_sequence = batch.last_sequence
        return batch


class ReplicationReceiver:
    """Accepts batches in order and without gaps."""

    def __init__(self) -> None:
        self.applied_sequence = 0

    def accept(self, after_sequence: int, last_sequence: int) -> bool:
        """Whether a batch may be applied now; if so, it counts as applied.

        A batch that does not go beyond the applied sequence may have been delayed on an old
        connection, so that its entries may be older than those received since. A batch that does go
        beyond it was created when the sender's log held everything applied here, so its entries are
        at least as new.
        """
        if after_sequence > self.applied_sequence or last_sequence <= self.applied_sequence:
            return False
        self.applied_sequence = last_sequence
        return True

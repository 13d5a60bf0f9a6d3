"""The software version of each member, stored in the key-value store to outlive the process.

A process of this version writes its member's key once after it starts. Older versions neither write
nor watch these keys. A member counts as upgraded once its key has been read with this format or a
higher one; a key that is absent, unreadable or of a lower format means an older version. A member
that has restarted with the new version is never restarted with an older one, so an upgraded member
stays upgraded.
"""

from __future__ import annotations

from collections.abc import Sequence

from copperpass import __version__
from copperpass.core.kvstore.keys import MEMBER_VERSIONS_PREFIX
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Call, CallOutcome, ExternalService, Outbox
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import KeyValue, PutKey, key_path
from copperpass.protocol.records import VersionRecord

# The format of records and frames that this version reads; later versions have higher numbers.
FORMAT = 1


class VersionRegistry:
    """Writes the own key, and reads the keys of peers until all members are upgraded."""

    def __init__(
        self,
        member: str,
        peers: Sequence[str],
        outbox: Outbox,
        transactions: TransactionQueue,
        retry_s: float,
        timeout_s: float,
    ) -> None:
        self.member, self.members = member, [member, *peers]
        self.outbox, self.transactions = outbox, transactions
        self.retry_s, self.timeout_s = retry_s, timeout_s
        self.upgraded: set[str] = set()
        self._in_flight: set[str] = set()
        self._next_read_at = 0.0

    def is_upgraded(self, member: str) -> bool:
        """Whether a member certainly runs this version or a later one.

        Frames and fields unknown to older versions are sent only to upgraded members: an older
        version closes the connection on a frame that it can't read.
        """
        return member in self.upgraded

    def all_upgraded(self) -> bool:
        """Whether every member, this one included, certainly runs this version or a later one."""
        return len(self.upgraded) == len(self.members)

    def tick(self, now: float) -> None:
        """Read the keys of members not known to be upgraded; an outdated own key is written."""
        if now < self._next_read_at or self.all_upgraded():
            return
        self._next_read_at = now + self.retry_s
        for member in self.members:
            if member not in self.upgraded and member not in self._in_flight:
                self._read(member)

    def _read(self, member: str) -> None:
        self._in_flight.add(member)

        def on_done(now: float, outcome: CallOutcome) -> None:
            self._in_flight.discard(member)
            self._on_read(now, member, outcome)

        path = key_path(MEMBER_VERSIONS_PREFIX + member)
        self.outbox.calls.append(
            Call(ExternalService.STATE, "GET", path, on_done, b"", self.timeout_s)
        )

    def _on_read(self, now: float, member: str, outcome: CallOutcome) -> None:
        item = decode(outcome.body, KeyValue) if outcome.status == 200 else None
        record = decode(bytes(item.value), VersionRecord) if item else None
        if member != self.member:
            if record is not None and record.format >= FORMAT:
                self.upgraded.add(member)
        elif record is not None and (record.version, record.format) == (__version__, FORMAT):
            self.upgraded.add(member)
        elif item is not None or outcome.status == 404:
            self._write(now, item.version if item is not None else 0)

    def _write(self, now: float, version: int) -> None:
        key, member = MEMBER_VERSIONS_PREFIX + self.member, self.member
        self._in_flight.add(member)

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            # After any outcome but APPLIED the key is read again: the write may have been applied,
            # or another run of this member may have written the key first.
            self._in_flight.discard(member)
            if outcome is TransactionOutcome.APPLIED:
                self.upgraded.add(member)

        write = PutKey(key, {"version": __version__, "format": FORMAT})
        deadline = now + self.retry_s
        self.transactions.submit(
            now, Operation({key: version}, [write], on_done, deadline, Priority.NORMAL)
        )

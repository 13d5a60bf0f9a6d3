"""Which version the members run: proof that outlives them, kept in the state service.

A process of this version writes its member's key once at its start. Older versions neither write
nor watch such keys. A member is proven new once its key has been read and says so; absent, doubtful
or unreadable means old. A member's process that has come back with the new version never comes back
old, so what is proven stays so.
"""

from __future__ import annotations

from copperpass import __version__
from copperpass.core.kvstore.keys import MEMBER_VERSIONS_PREFIX
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Call, CallOutcome, Outbox
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import KeyValue, PutKey, key_path
from copperpass.protocol.records import VersionRecord

FORMAT = 1


class VersionRegistry:
    """Writes the own key, and reads the others' while it matters."""

    def __init__(
        self,
        member: str,
        others: list[str],
        out: Outbox,
        transactions: TransactionQueue,
        gap_s: float,
        timeout: float,
    ) -> None:
        self.member, self.members = member, [member, *others]
        self.out, self.transactions, self.gap_s, self.timeout = out, transactions, gap_s, timeout
        self.known: set[str] = set()
        self.busy: set[str] = set()
        self.next_try = 0.0

    def is_upgraded(self, member: str) -> bool:
        """Whether a member's process is certainly of this version or a later one."""
        return member in self.known

    def all_upgraded(self) -> bool:
        """Whether every member is."""
        return len(self.known) == len(self.members)

    def tick(self, now: float) -> None:
        """Store the own key, and read those of the members that are not proven."""
        if now < self.next_try or self.all_upgraded():
            return
        self.next_try = now + self.gap_s
        for member in self.members:
            if member not in self.known and member not in self.busy:
                self._read(member)

    def _read(self, member: str) -> None:
        self.busy.add(member)

        def on_done(now: float, outcome: CallOutcome) -> None:
            self.busy.discard(member)
            item = decode(outcome.body, KeyValue) if outcome.status == 200 else None
            record = decode(bytes(item.value), VersionRecord) if item else None
            if member != self.member:
                if record is not None and record.format >= FORMAT:
                    self.known.add(member)
            elif record is not None and (record.version, record.format) == (__version__, FORMAT):
                self.known.add(member)
            elif item is not None or outcome.status == 404:
                self._write(now, item.version if item is not None else 0)

        self.out.calls.append(
            Call(
                "state",
                "GET",
                key_path(MEMBER_VERSIONS_PREFIX + member),
                on_done,
                b"",
                self.timeout,
            )
        )

    def _write(self, now: float, version: int) -> None:
        key, member = MEMBER_VERSIONS_PREFIX + self.member, self.member
        self.busy.add(member)

        def on_done(n: float, outcome: TransactionOutcome, revision: int) -> None:
            # Anything but applied is read again: it may have been, or another run was first.
            self.busy.discard(member)
            if outcome is TransactionOutcome.APPLIED:
                self.known.add(member)

        value = {"version": __version__, "format": FORMAT}
        self.transactions.submit(
            now,
            Operation(
                {key: version}, [PutKey(key, value)], on_done, now + self.gap_s, Priority.NORMAL
            ),
        )

"""The machine inventory: every machine that was provisioned, and every pending instance request.

A request is stored before it is sent, its machines after its answer, and a machine is marked as up
before any task starts on it. So a successor can repeat requests that may have been carried out, and
knows every machine that may run tasks.

It is stored in pages of bounded size (see `inventory_pages`), or as the single record of versions
up to 0.2.0 (see `inventory_migration`). Deletions and answers are deferred writes: they wait for
others to share the transaction with. A successor that finds a machine too many, or a request that
was answered already, loses a little time and no state.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.kvstore.keys import INVENTORY_KEY
from copperpass.core.kvstore.operations import TransactionOutcome
from copperpass.core.storage.cached_inventory import CachedPage
from copperpass.core.storage.inventory_contents import InventoryContents, PendingRequest
from copperpass.core.storage.inventory_migration import InventoryForm, SingleRecord
from copperpass.core.storage.inventory_pages import (
    GROUP_BYTES,
    InventoryPage,
    OnStored,
    PageLayout,
)
from copperpass.core.storage.inventory_writer import InventoryContext, InventoryWriter
from copperpass.protocol.json_codec import encode
from copperpass.protocol.kvstore import PutKey, Write
from copperpass.protocol.records import InventoryRecord
from copperpass.protocol.users import MAX_BODY_BYTES

# The part of the smallest allowed value that a page fills: the store may count a value's bytes in
# another notation than ours.
PAGE_PART = 0.8
# The part of the largest body that a transaction of pages may fill.
BODY_PART = 0.8
# How many gaps between writes a deferred write waits for others to share its transaction.
DEFERRED_GAPS = 8
# The least bytes that a page is assumed to have, however often values are refused.
LEAST_PAGE_BYTES = 512


@dataclass(slots=True)
class PageWrite:
    """A page that is being written: who waits for it, and the names that it had then."""

    page: InventoryPage
    waiting: list[OnStored]
    names: set[str]


@dataclass(slots=True)
class PageBatch:
    """The pages of one transaction."""

    guards: dict[str, int]
    writes: list[Write] = field(default_factory=list)
    pages: list[PageWrite] = field(default_factory=list)
    # The bytes of the largest value, also of a page that was left for the next transaction.
    largest: int = 0


class MachineInventory:
    """Reads and writes the inventory; one a leader.

    Until `begin` it only reads. Then this leader is the only writer, which the fencing token
    ensures.
    """

    def __init__(self, context: InventoryContext) -> None:
        self.context = context
        self.contents = contents = InventoryContents()
        self.machines, self.pending_requests = contents.machines, contents.pending_requests
        self.up, self.stored_up = contents.up, contents.stored_up
        self.layout = PageLayout(contents, PAGE_PART * context.least_value_bytes)
        self.pages = self.layout.pages
        self.writer = InventoryWriter(context)
        self.single_record = SingleRecord(contents, self.layout, self.writer, self._on_marks_stored)
        # Called with machines whose marks as up are certainly stored from now on.
        self.on_marks_stored: Callable[[float, set[str]], None] = lambda now, names: None
        # Requests that were answered, with the names of their machines that are not stored yet.
        self.answered_requests: dict[str, set[str]] = {}

    # -- what is stored --------------------------------------------------------------

    @property
    def paged(self) -> bool:
        """Whether the pages count."""
        return self.single_record.form is InventoryForm.PAGED

    def load(
        self,
        record: InventoryRecord | None,
        version: int,
        pages: Mapping[int, CachedPage] | None = None,
    ) -> None:
        """Take over what an earlier leader has stored; version 0: there is no single record."""
        cached = pages or {}
        self.contents.clear()
        self.layout.clear()
        self.single_record.version = version
        if version == 0 and cached:
            self.single_record.form = InventoryForm.PAGED
            self.layout.load(cached)
            return
        self.single_record.form = InventoryForm.SINGLE_RECORD
        self.layout.leftover.update({number: page.version for number, page in cached.items()})
        if record is not None:
            self.contents.add_record(record)

    def begin(self, now: float) -> None:
        """The watch cache has caught up with the election: from here on this leader writes."""
        self.single_record.begun = True
        self.single_record.migrate_if_safe(now)

    def on_record_event(self, version: int) -> None:
        """The watch brings the single record at a version; 0: it does not exist."""
        self.single_record.on_event(version)

    def on_page_event(self, number: int, version: int, exists: bool) -> None:
        """The watch brings a change of a page at a version, or its deletion."""
        self.layout.on_event(number, version, exists)

    def blocked(self) -> bool:
        """Whether only a new term can go on: a write of the single record may yet be applied."""
        return self.single_record.blocked()

    def full(self) -> bool:
        """Whether there is no space for more machines."""
        return self.single_record.full()

    # -- changes ---------------------------------------------------------------------

    def record_request(
        self, now: float, request: str, group: MachineGroup, count: int, on_stored: OnStored
    ) -> None:
        """Store an instance request; `on_stored` says whether it may be sent."""
        self.pending_requests[request] = PendingRequest(group, count)
        page = self._place(request, group)
        waiting = self.single_record.waiting if page is None else page.waiting
        waiting.append(on_stored)
        self._touch(now, page)

    def record_answer(self, now: float, request: str, names: list[str]) -> None:
        """An instance request was answered: it brought these machines."""
        if request not in self.pending_requests:
            self._touch(now, None)
            return
        group = self.pending_requests[request].machine_group
        page = self.layout.page_of.get(request)
        new = [name for name in names if name not in self.machines]
        if page is None:
            del self.pending_requests[request]
            self.machines.update(dict.fromkeys(new, group))
            self._touch(now, None)
            return
        page.remove(request, self.contents.item_bytes(request))
        del self.layout.page_of[request]
        elsewhere = self._place_machines(now, page, new, group)
        if elsewhere:
            # Until their pages are stored only the request can name them to a successor.
            page.migrating[request] = group
            self.answered_requests[request] = elsewhere
        else:
            del self.pending_requests[request]
        self._touch(now, page, deferred=True)

    def _place_machines(
        self, now: float, page: InventoryPage, names: list[str], group: MachineGroup
    ) -> set[str]:
        """Place machines on the page that reserved the space, or elsewhere; returns the latter."""
        layout, elsewhere = self.layout, set[str]()
        for name in names:
            self.machines[name] = group
            item_bytes = self.contents.item_bytes(name)
            target = page
            if not layout.has_space(page, group, item_bytes):
                target = layout.choose(group, item_bytes, page)
                elsewhere.add(name)
            layout.put(target, name, group)
            target.touch(self._deferred(now))
        return elsewhere

    def record_machine(self, now: float, name: str, group: MachineGroup) -> None:
        """A machine exists that no request has brought."""
        if name not in self.machines:
            self.machines[name] = group
            self._touch(now, self._place(name, group), deferred=True)

    def mark_up(self, now: float, name: str, group: MachineGroup) -> None:
        """A machine is up; `on_marks_stored` names it once its mark is stored."""
        if name not in self.up:
            self.machines.setdefault(name, group)
            self.up.add(name)
            self._touch(now, self.layout.page_of.get(name) or self._place(name, group))

    def remove(self, now: float, name: str) -> None:
        """A machine certainly does not exist any more."""
        if self.machines.pop(name, None) is not None:
            self.up.discard(name)
            self.stored_up.discard(name)
            self.single_record.migrated_marks.discard(name)
            self._touch(now, self.layout.remove(now, name), deferred=True)

    def _place(self, name: str, group: MachineGroup) -> InventoryPage | None:
        """The page of a new item; None while the single record holds all."""
        return None if self.single_record.counts_alone else self.layout.place(name, group)

    def _deferred(self, now: float) -> float:
        return now + DEFERRED_GAPS * self.writer.gap_s

    def _touch(self, now: float, page: InventoryPage | None, deferred: bool = False) -> None:
        if page is None:
            self.single_record.changed = True
        else:
            page.touch(self._deferred(now) if deferred else now)
        self.tick(now)

    # -- writing ---------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Write what has changed, one transaction at a time."""
        single_record, writer = self.single_record, self.writer
        single_record.migrate_if_safe(now)
        if not writer.may_write(now):
            return
        if single_record.counts_alone:
            if single_record.changed:
                single_record.write(now)
            return
        single_record.finish_if_deleted(now)
        due = self._due_pages(now)
        if due:
            affordable = [
                page for page in due[: writer.max_writes] if writer.page_budget.take(now, 1.0)
            ]
            if affordable:
                self._write_pages(now, affordable)
        elif single_record.migrating and self.layout.settled():
            single_record.advance(now)

    def _due_pages(self, now: float) -> list[InventoryPage]:
        """The pages to be written now: those first that a request waits for."""
        latest = float("inf") if self.single_record.migrating else now
        due = sorted(
            (not page.waiting, page.due, page.number)
            for page in self.pages.values()
            if page.due is not None and page.due <= latest and not page.migrating
        )
        return [self.pages[number] for _, _, number in due]

    def _batch(self, due: list[InventoryPage]) -> PageBatch:
        """As many of the pages as one transaction may hold."""
        # Pages count only without the single record: no write of theirs may come to stand beside
        # it, unless they are those of a migration.
        batch = PageBatch({} if self.single_record.migrating else {INVENTORY_KEY: 0})
        size = 0
        for page in due:
            value = msgspec.to_builtins(self.contents.record_of(page.items))
            batch.largest = max(batch.largest, len(encode(value)))
            write = PutKey(page.key, value)
            size += len(encode(write)) + len(page.key) + GROUP_BYTES
            if batch.writes and size > MAX_BODY_BYTES * BODY_PART:
                break
            batch.guards[page.key] = page.version
            batch.writes.append(write)
            batch.pages.append(PageWrite(page, page.waiting, set(page.items)))
            page.waiting, page.due = [], None
        return batch

    def _write_pages(self, now: float, due: list[InventoryPage]) -> None:
        batch = self._batch(due)
        marked = set(self.up)

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.APPLIED:
                for write in batch.pages:
                    write.page.version = max(write.page.version, revision)
                    self._on_page_stored(done_at, write, marked)
            else:
                self._on_pages_failed(done_at, batch, outcome)

        self.writer.submit(now, batch.guards, batch.writes, on_done)

    def _on_pages_failed(self, now: float, batch: PageBatch, outcome: TransactionOutcome) -> None:
        adapted = outcome is TransactionOutcome.INVALID and self._adapt_limits(batch)
        certain = outcome is TransactionOutcome.CONFLICT or adapted
        for write in batch.pages:
            write.page.touch(now)
            if self.single_record.migrating or certain:
                # The page doesn't count yet, or is certainly not stored: requests need not fail.
                write.page.waiting = [*write.waiting, *write.page.waiting]
                continue
            for on_stored in write.waiting:
                on_stored(now, False)
        self.writer.back_off(now)

    def _adapt_limits(self, batch: PageBatch) -> bool:
        """The store has refused pages as invalid; returns whether smaller writes may succeed.

        Either its limits have dropped without notice, or the write can never be stored. Several
        pages say only that there were too many or too much: they are sent in smaller parts. One
        page of that size says that values must be smaller, if there is anything to take from it.
        """
        if len(batch.pages) > 1:
            self.writer.max_writes = len(batch.pages) // 2
            return True
        page = batch.pages[0].page
        value_bytes = max(LEAST_PAGE_BYTES, batch.largest // 2)
        if len(page.items) < 2 or value_bytes >= batch.largest:
            return False
        self.layout.page_bytes = min(self.layout.page_bytes, PAGE_PART * value_bytes)
        self.layout.split(page)
        return True

    def _on_page_stored(self, now: float, write: PageWrite, marked: set[str]) -> None:
        """A page is stored with the names that it had when it was written."""
        self.layout.on_items_stored(now, write.names)
        for request, unstored in list(self.answered_requests.items()):
            unstored -= write.names
            # Names of machines that were removed meanwhile need no page.
            if unstored.isdisjoint(self.machines):
                del self.answered_requests[request]
                self.pending_requests.pop(request, None)
                self.layout.end_migration(now, request)
        if self.single_record.migrating:
            self.single_record.migrated_marks |= write.names & marked
            self.single_record.waiting.extend(write.waiting)
            return
        self._on_marks_stored(now, write.names & marked)
        for on_stored in write.waiting:
            on_stored(now, True)

    def _on_marks_stored(self, now: float, marked: set[str]) -> None:
        new = self.contents.mark_stored(marked)
        if new:
            self.on_marks_stored(now, new)

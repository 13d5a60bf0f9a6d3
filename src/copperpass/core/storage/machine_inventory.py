"""The machine inventory: every machine that was provisioned, and every pending instance request.

A request is stored before it is sent, its machines are stored after its answer, and a machine is
marked as up before any task starts on it. So a new leader can repeat requests that may have been
carried out, and knows every machine that may run tasks.

The inventory is stored in pages of bounded size (see `inventory_pages`), or as the single record of
versions up to 0.2.0 (see `inventory_migration`). Writes of deletions and answers are deferred, so
that they can share a transaction with others. If they are lost, a new leader finds a machine that
no longer exists, or a request that was answered already; this costs a little time but no state.
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
    GROUP_OVERHEAD_BYTES,
    InventoryPage,
    OnStored,
    PageLayout,
)
from copperpass.core.storage.inventory_writer import InventoryContext, InventoryWriter
from copperpass.protocol.json_codec import encode
from copperpass.protocol.kvstore import PutKey, Write
from copperpass.protocol.records import InventoryRecord
from copperpass.protocol.users import MAX_BODY_BYTES

# The fraction of the lowest limit of the value size to which pages are filled, since the store may
# measure a value in another encoding than ours.
PAGE_FILL_FRACTION = 0.8
# The fraction of the maximum request body to which a transaction of pages may be filled.
BODY_FILL_FRACTION = 0.8
# How many write intervals a deferred write waits for others to share its transaction.
DEFERRAL_INTERVALS = 8
# The lower bound, in bytes, for the limit of the value size that is inferred from refusals.
MIN_VALUE_BYTES = 512


@dataclass(slots=True)
class PageWrite:
    """A page that is being written, with its callbacks and item names at the time of submission."""

    page: InventoryPage
    callbacks: list[OnStored]
    names: set[str]


@dataclass(slots=True)
class PageBatch:
    """The pages, guards and writes of one transaction."""

    guards: dict[str, int]
    writes: list[Write] = field(default_factory=list)
    page_writes: list[PageWrite] = field(default_factory=list)
    # The size of the largest value in bytes, including a page left for the next transaction.
    largest_value_bytes: int = 0


class MachineInventory:
    """Reads and writes the inventory; each leader creates its own.

    It only reads until `begin` is called. From then on this leader is the only writer, which the
    fencing token ensures.
    """

    def __init__(self, context: InventoryContext) -> None:
        self.context = context
        self.contents = contents = InventoryContents()
        self.machines, self.pending_requests = contents.machines, contents.pending_requests
        self.up, self.stored_up = contents.up, contents.stored_up
        self.layout = PageLayout(contents, PAGE_FILL_FRACTION * context.least_value_bytes)
        self.pages = self.layout.pages
        self.writer = InventoryWriter(context)
        self.single_record = SingleRecord(contents, self.layout, self.writer, self._on_marks_stored)
        # Called with machines whose marks as up are newly known to be stored.
        self.on_marks_stored: Callable[[float, set[str]], None] = lambda now, names: None
        # Answered requests, with the names of their machines that are not stored yet.
        self.answered_requests: dict[str, set[str]] = {}

    @property
    def paged(self) -> bool:
        """Whether the pages are the authoritative form."""
        return self.single_record.form is InventoryForm.PAGED

    def load(
        self,
        record: InventoryRecord | None,
        version: int,
        pages: Mapping[int, CachedPage] | None = None,
    ) -> None:
        """Load what earlier leaders have stored; `version` is 0 if there is no single record."""
        cached = pages or {}
        self.contents.clear()
        self.layout.clear()
        self.single_record.version = version
        if version == 0 and cached:
            self.single_record.form = InventoryForm.PAGED
            self.layout.load(cached)
            return
        self.single_record.form = InventoryForm.SINGLE_RECORD
        self.layout.leftover_versions.update(
            {number: page.version for number, page in cached.items()}
        )
        if record is not None:
            self.contents.add_record(record)

    def begin(self, now: float) -> None:
        """Enable writes by this leader: the watch cache has caught up with the election."""
        self.single_record.writes_enabled = True
        self.single_record.migrate_if_safe(now)

    def on_record_event(self, version: int) -> None:
        """Handle a watch event: the single record has this version; 0 if it does not exist."""
        self.single_record.on_event(version)

    def on_page_event(self, number: int, version: int, exists: bool) -> None:
        """Handle a watch event: a page was written, or deleted if not `exists`."""
        self.layout.on_event(number, version, exists)

    def is_migration_blocked(self) -> bool:
        """Return whether only a new term can go on with the migration to pages.

        A write of the single record with an unknown outcome may still be applied.
        """
        return self.single_record.is_migration_blocked()

    def is_full(self) -> bool:
        """Return whether there is no space for more machines."""
        return self.single_record.is_full()

    def record_request(
        self, now: float, request: str, group: MachineGroup, count: int, on_stored: OnStored
    ) -> None:
        """Store an instance request, which may be sent if `on_stored` is called with True."""
        self.pending_requests[request] = PendingRequest(group, count)
        page = self._place(request, group)
        callbacks = self.single_record.callbacks if page is None else page.callbacks
        callbacks.append(on_stored)
        self._schedule_write(now, page)

    def record_answer(self, now: float, request: str, names: list[str]) -> None:
        """Replace an instance request by the machines that it was answered with."""
        if request not in self.pending_requests:
            self._schedule_write(now, None)
            return
        group = self.pending_requests[request].machine_group
        page = self.layout.page_of.get(request)
        new_names = [name for name in names if name not in self.machines]
        if page is None:
            del self.pending_requests[request]
            self.machines.update(dict.fromkeys(new_names, group))
            self._schedule_write(now, None)
            return
        page.remove(request, self.contents.item_bytes(request))
        del self.layout.page_of[request]
        on_other_pages = self._place_machines(now, page, new_names, group)
        if on_other_pages:
            # Until the other pages are stored, a new leader learns these machines only by repeating
            # the request.
            page.migrating[request] = group
            self.answered_requests[request] = on_other_pages
        else:
            del self.pending_requests[request]
        self._schedule_write(now, page, deferred=True)

    def _place_machines(
        self, now: float, page: InventoryPage, names: list[str], group: MachineGroup
    ) -> set[str]:
        """Place machines on the page that reserved space for them; returns those on other pages."""
        layout, on_other_pages = self.layout, set[str]()
        for name in names:
            self.machines[name] = group
            item_bytes = self.contents.item_bytes(name)
            target = page
            if not layout.has_space(page, group, item_bytes):
                target = layout.choose_page(group, item_bytes, page)
                on_other_pages.add(name)
            layout.put(target, name, group)
            target.schedule_write(self._deferred_due(now))
        return on_other_pages

    def record_machine(self, now: float, name: str, group: MachineGroup) -> None:
        """Add a machine that exists in the cloud but is in no answer to a request."""
        if name not in self.machines:
            self.machines[name] = group
            self._schedule_write(now, self._place(name, group), deferred=True)

    def mark_up(self, now: float, name: str, group: MachineGroup) -> None:
        """Mark a machine as up; `on_marks_stored` is called with it once the mark is stored."""
        if name not in self.up:
            self.machines.setdefault(name, group)
            self.up.add(name)
            self._schedule_write(now, self.layout.page_of.get(name) or self._place(name, group))

    def remove(self, now: float, name: str) -> None:
        """Remove a machine that is known not to exist any more."""
        if self.machines.pop(name, None) is not None:
            self.up.discard(name)
            self.stored_up.discard(name)
            self.single_record.migrated_marks.discard(name)
            self._schedule_write(now, self.layout.remove(now, name), deferred=True)

    def _place(self, name: str, group: MachineGroup) -> InventoryPage | None:
        """Place a new item; returns its page, or None before the migration to pages."""
        return None if self.single_record.before_migration else self.layout.place(name, group)

    def _deferred_due(self, now: float) -> float:
        return now + DEFERRAL_INTERVALS * self.writer.write_interval_s

    def _schedule_write(
        self, now: float, page: InventoryPage | None, deferred: bool = False
    ) -> None:
        if page is None:
            self.single_record.changed = True
        else:
            page.schedule_write(self._deferred_due(now) if deferred else now)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Write due changes, one transaction at a time, and advance a migration."""
        single_record, writer = self.single_record, self.writer
        single_record.migrate_if_safe(now)
        if not writer.may_write(now):
            return
        if single_record.before_migration:
            if single_record.changed:
                single_record.write(now)
            return
        single_record.finish_if_deleted(now)
        due_pages = self._due_pages(now)
        if due_pages:
            affordable = [
                page for page in due_pages[: writer.max_writes] if writer.page_budget.take(now, 1.0)
            ]
            if affordable:
                self._write_pages(now, affordable)
        elif single_record.migrating and self.layout.all_stored():
            single_record.advance(now)

    def _due_pages(self, now: float) -> list[InventoryPage]:
        """Return the pages to be written now, those with waiting instance requests first."""
        latest_due = float("inf") if self.single_record.migrating else now
        due = sorted(
            (not page.callbacks, page.due_at, page.number)
            for page in self.pages.values()
            if page.due_at is not None and page.due_at <= latest_due and not page.migrating
        )
        return [self.pages[number] for _, _, number in due]

    def _batch(self, due_pages: list[InventoryPage]) -> PageBatch:
        """Build a transaction from as many of the pages as fit."""
        # Pages are authoritative only without the single record. Except in a migration, its absence
        # is a guard, so that no page can be written while the record exists.
        batch = PageBatch({} if self.single_record.migrating else {INVENTORY_KEY: 0})
        body_bytes = 0
        for page in due_pages:
            value = msgspec.to_builtins(self.contents.record_of(page.items))
            batch.largest_value_bytes = max(batch.largest_value_bytes, len(encode(value)))
            write = PutKey(page.key, value)
            body_bytes += len(encode(write)) + len(page.key) + GROUP_OVERHEAD_BYTES
            if batch.writes and body_bytes > MAX_BODY_BYTES * BODY_FILL_FRACTION:
                break
            batch.guards[page.key] = page.version
            batch.writes.append(write)
            batch.page_writes.append(PageWrite(page, page.callbacks, set(page.items)))
            page.callbacks, page.due_at = [], None
        return batch

    def _write_pages(self, now: float, due_pages: list[InventoryPage]) -> None:
        batch = self._batch(due_pages)
        up_marks = set(self.up)

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.APPLIED:
                for page_write in batch.page_writes:
                    page_write.page.version = max(page_write.page.version, revision)
                    self._on_page_stored(done_at, page_write, up_marks)
            else:
                self._on_pages_failed(done_at, batch, outcome)

        self.writer.submit(now, batch.guards, batch.writes, on_done)

    def _on_pages_failed(self, now: float, batch: PageBatch, outcome: TransactionOutcome) -> None:
        limits_reduced = outcome is TransactionOutcome.INVALID and self._reduce_limits(batch)
        can_retry = outcome is TransactionOutcome.CONFLICT or limits_reduced
        for page_write in batch.page_writes:
            page_write.page.schedule_write(now)
            if self.single_record.migrating or can_retry:
                # The page is not authoritative yet, or it was certainly not stored and a retry may
                # succeed: requests need not fail.
                page_write.page.callbacks = [*page_write.callbacks, *page_write.page.callbacks]
                continue
            for on_stored in page_write.callbacks:
                on_stored(now, False)
        self.writer.back_off(now)

    def _reduce_limits(self, batch: PageBatch) -> bool:
        """Assume lower limits after the store has refused pages as invalid.

        Returns whether smaller writes may succeed. Either the store's limits were lowered without
        notice, or the write can never be stored. A refusal of several pages only shows that the
        transaction was too large, so fewer pages are sent together. A refusal of a single page
        shows that values must be smaller, if the page has items that can be migrated.
        """
        if len(batch.page_writes) > 1:
            self.writer.max_writes = len(batch.page_writes) // 2
            return True
        page = batch.page_writes[0].page
        value_bytes = max(MIN_VALUE_BYTES, batch.largest_value_bytes // 2)
        if len(page.items) < 2 or value_bytes >= batch.largest_value_bytes:
            return False
        self.layout.page_bytes = min(self.layout.page_bytes, PAGE_FILL_FRACTION * value_bytes)
        self.layout.split(page)
        return True

    def _on_page_stored(self, now: float, page_write: PageWrite, up_marks: set[str]) -> None:
        """Record that a page is stored with the items that it had when the write was submitted."""
        self.layout.on_items_stored(now, page_write.names)
        for request, unstored in list(self.answered_requests.items()):
            unstored -= page_write.names
            # Machines that were removed meanwhile need not be stored.
            if unstored.isdisjoint(self.machines):
                del self.answered_requests[request]
                self.pending_requests.pop(request, None)
                self.layout.end_migration(now, request)
        if self.single_record.migrating:
            self.single_record.migrated_marks |= page_write.names & up_marks
            self.single_record.callbacks.extend(page_write.callbacks)
            return
        self._on_marks_stored(now, page_write.names & up_marks)
        for on_stored in page_write.callbacks:
            on_stored(now, True)

    def _on_marks_stored(self, now: float, up_marks: set[str]) -> None:
        new_marks = self.contents.mark_stored(up_marks)
        if new_marks:
            self.on_marks_stored(now, new_marks)

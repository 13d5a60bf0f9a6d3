"""The inventory as one record, the form of versions up to 0.2.0, and its migration to pages.

The single record (`c/fleet`) can't grow with the cluster where values are small. Pages
(`c/fleet/{n}`) can, but older versions ignore them. The single record counts as long as it exists;
pages count only when it doesn't. A leader migrates once every member is certain to read pages: it
writes all pages, and then one transaction deletes the single record, which is the moment in which
the pages begin to count. Every write is guarded by the fencing token, so neither form takes a late
write of an earlier leader.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.kvstore.keys import INVENTORY_KEY
from copperpass.core.kvstore.operations import TransactionOutcome
from copperpass.core.storage.cached_inventory import page_key
from copperpass.core.storage.inventory_contents import InventoryContents
from copperpass.core.storage.inventory_pages import OnStored, PageLayout
from copperpass.core.storage.inventory_writer import InventoryWriter
from copperpass.protocol.kvstore import DeleteKey, PutKey

# The part of the largest value beyond which the single record takes no more machines.
FULL_PART = 0.85
# No version of the fencing token.
NO_TOKEN = -1


class InventoryForm(Enum):
    """In which form the inventory counts."""

    SINGLE_RECORD = "single record"
    # The single record still counts, while the pages are written.
    MIGRATING = "migrating"
    PAGED = "paged"


class OnMarksStored(Protocol):
    """Called with machines whose marks as up are certainly stored."""

    def __call__(self, now: float, marked: set[str], /) -> None:
        """Act on the marks."""


class SingleRecord:
    """The single record, as long as there is one, and the steps of its migration."""

    def __init__(
        self,
        contents: InventoryContents,
        layout: PageLayout,
        writer: InventoryWriter,
        on_marks_stored: OnMarksStored,
    ) -> None:
        self.contents, self.layout, self.writer = contents, layout, writer
        self.on_marks_stored = on_marks_stored
        context = writer.context
        self.token_version, self.all_upgraded = context.token_version, context.all_upgraded
        self.record_bytes, self.limits_announced = context.record_bytes, context.limits_announced
        self.form = InventoryForm.SINGLE_RECORD
        # Whether this leader writes yet.
        self.begun = False
        # The version of the record; 0: there is none.
        self.version = 0
        # The bytes of its last write.
        self.size = 0
        # Whether it must be written.
        self.changed = False
        self.waiting: list[OnStored] = []
        # Whether its deletion, the last step of the migration, was submitted.
        self.deleting = False
        # Marks on pages that were written by the migration: they count once that has ended.
        self.migrated_marks: set[str] = set()
        # Under this version of the token a creation of the record has an unknown outcome.
        self.unknown_creation = NO_TOKEN

    # -- state -----------------------------------------------------------------------

    @property
    def counts_alone(self) -> bool:
        """Whether the inventory is the single record, and no migration has begun."""
        return self.form is InventoryForm.SINGLE_RECORD

    @property
    def migrating(self) -> bool:
        """Whether pages are written that don't count yet."""
        return self.form is InventoryForm.MIGRATING

    def blocked(self) -> bool:
        """Whether only a new term can migrate the record.

        A creation with an unknown outcome may be applied once the record is deleted, and would
        bring back a former state. A new version of the fencing token makes it fail.
        """
        due = self.begun and self.counts_alone and self.all_upgraded()
        return due and not self.writer.in_flight and self.unknown_creation == self.token_version()

    def full(self) -> bool:
        """Whether the record has no space for more machines; there are always more pages."""
        return self.counts_alone and self.size > FULL_PART * self.record_bytes

    def on_event(self, version: int) -> None:
        """The watch brings the record at a version; 0: it does not exist."""
        if version:
            self.version = max(self.version, version)
        elif self.migrating and self.deleting:
            # Only this leader's own deletion can be it: any other writer's token is refused.
            self.version = 0

    # -- writing ---------------------------------------------------------------------

    def write(self, now: float) -> None:
        """Write the whole inventory."""
        self.changed = False
        waiting, self.waiting = self.waiting, []
        marked = set(self.contents.up)
        value = msgspec.to_builtins(self.contents.record_of(self.contents.items()))
        token, version = self.token_version(), self.version

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.UNKNOWN and version == 0:
                self.unknown_creation = token
            if outcome is TransactionOutcome.APPLIED:
                self.version = max(self.version, revision)
                self.on_marks_stored(done_at, marked)
                _notify(done_at, waiting, stored=True)
            else:
                self._on_write_failed(done_at, outcome, waiting)

        guards = {INVENTORY_KEY: version}
        self.size = self.writer.submit(now, guards, [PutKey(INVENTORY_KEY, value)], on_done)

    def _on_write_failed(
        self, now: float, outcome: TransactionOutcome, waiting: list[OnStored]
    ) -> None:
        # Not stored, or not known to be: write again at the version that the watch brings.
        self.changed = True
        self.writer.back_off(now)
        if outcome is TransactionOutcome.INVALID:
            self.waiting = [*waiting, *self.waiting]
            self.migrate_if_safe(now, refused=True)
            if not self.counts_alone:
                # Those who wait are notified once the pages count.
                self.writer.next_write_at = now
                return
            self.waiting = self.waiting[len(waiting) :]
        _notify(now, waiting, stored=False)

    # -- migration -------------------------------------------------------------------

    def migrate_if_safe(self, now: float, refused: bool = False) -> None:
        """Begin the migration if every member reads pages.

        A refusal of the record for its size is proof as well: the limits of `state.next` come only
        after the upgrade, so no process of an older version runs any more.
        """
        if not self.counts_alone or self.writer.in_flight or not self.begun:
            return
        if not self.all_upgraded() and not (refused and self.limits_announced):
            return
        if self.unknown_creation == self.token_version():
            return
        self.form = InventoryForm.PAGED if self.version == 0 else InventoryForm.MIGRATING
        contents, layout = self.contents, self.layout
        machines = contents.machines.items()
        for name, group in sorted(machines, key=lambda item: (item[1], item[0])):
            layout.place(name, group)
        for name, request in contents.pending_requests.items():
            layout.place(name, request.machine_group)
        # At least one page stands for the new form, even of an inventory without machines.
        first = next(iter(layout.pages.values()), None)
        if first is None:
            first = layout.choose(MachineGroup("", "", False), 0)
        first.waiting, self.waiting = [*first.waiting, *self.waiting], []
        self.changed = False
        for page in layout.pages.values():
            page.touch(now)

    def advance(self, now: float) -> None:
        """The next step of a migration whose pages are all stored."""
        if self.layout.leftover:
            self._delete_leftover_pages(now)
        else:
            self._delete_record(now)

    def finish_if_deleted(self, now: float) -> None:
        """The watch may be the first to show that the record was deleted."""
        if self.migrating and self.deleting and self.version == 0:
            self._finish(now)

    def _finish(self, now: float) -> None:
        """The record is deleted: the pages count, and those who waited for them go on."""
        self.form, self.version = InventoryForm.PAGED, 0
        waiting, self.waiting = self.waiting, []
        marked, self.migrated_marks = self.migrated_marks, set()
        self.on_marks_stored(now, marked)
        _notify(now, waiting, stored=True)

    def _delete_record(self, now: float) -> None:
        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.APPLIED:
                self._finish(done_at)
            else:
                # If it was applied after all, the watch will say so.
                self.writer.back_off(done_at)

        self.deleting = True
        guards = {INVENTORY_KEY: self.version}
        self.writer.submit(now, guards, [DeleteKey(INVENTORY_KEY)], on_done)

    def _delete_leftover_pages(self, now: float) -> None:
        """Pages of an interrupted migration that are not in use would stay for ever."""
        leftover = self.layout.leftover
        numbers = sorted(leftover)[: self.writer.max_writes]

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.APPLIED:
                for number in numbers:
                    leftover.pop(number, None)
            else:
                self.writer.back_off(done_at)

        guards = {page_key(number): leftover[number] for number in numbers}
        writes = [DeleteKey(page_key(number)) for number in numbers]
        self.writer.submit(now, guards, writes, on_done)
        self.writer.next_write_at = now + len(numbers) * self.writer.gap_s


def _notify(now: float, waiting: list[OnStored], *, stored: bool) -> None:
    for on_stored in waiting:
        on_stored(now, stored)

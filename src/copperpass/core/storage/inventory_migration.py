"""The inventory as a single record, the form of versions up to 0.2.0, and its migration to pages.

The single record (`c/fleet`) can't grow with the cluster if the store limits values to a small
size. Pages (`c/fleet/{n}`) can, but older versions ignore them. The single record is authoritative
as long as it exists, and the pages only when it doesn't. A leader migrates once every member is
known to read pages: it writes all pages, and then deletes the single record in one transaction,
which makes the pages authoritative. Every write is guarded by the fencing token, so late writes of
an earlier leader fail in both forms.
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

# The single record is full, and no more machines are requested, above this fraction of the largest
# allowed value.
FULL_FRACTION = 0.85
# Differs from every version of the fencing token.
NO_TOKEN_VERSION = -1


class InventoryForm(Enum):
    """The form in which the inventory is stored."""

    SINGLE_RECORD = "single record"
    # The pages are being written, and the single record is still authoritative.
    MIGRATING = "migrating"
    PAGED = "paged"


class OnMarksStored(Protocol):
    """A callback for machines whose marks as up are known to be stored."""

    def __call__(self, now: float, up_marks: set[str], /) -> None:
        """Handle the names of newly marked machines."""


class SingleRecord:
    """The single record, while it exists, and the steps of its migration to pages."""

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
        self.max_value_bytes, self.limits_announced = (
            context.max_value_bytes,
            context.limits_announced,
        )
        self.form = InventoryForm.SINGLE_RECORD
        # Whether the watch cache has caught up with the election, so that this leader may write.
        self.writes_enabled = False
        # The version of the record; 0 if it does not exist.
        self.version = 0
        # The size of the last transaction that wrote the record, in bytes.
        self.size_bytes = 0
        # Whether there are changes to be written.
        self.changed = False
        # Called when the outcome of the next write, or of the migration, is known.
        self.callbacks: list[OnStored] = []
        # Whether the deletion of the record, the last step of the migration, was submitted.
        self.deletion_submitted = False
        # Machines marked as up on pages that the migration has written. The marks count as stored
        # only once the pages are authoritative.
        self.migrated_marks: set[str] = set()
        # The version of the fencing token under which a creation of the record had an unknown
        # outcome.
        self.unknown_creation_token_version = NO_TOKEN_VERSION

    @property
    def before_migration(self) -> bool:
        """Whether the single record is the only form: its migration has not begun."""
        return self.form is InventoryForm.SINGLE_RECORD

    @property
    def migrating(self) -> bool:
        """Whether pages are being written that are not authoritative yet."""
        return self.form is InventoryForm.MIGRATING

    def is_migration_blocked(self) -> bool:
        """Return whether the record can be migrated only in a new term.

        A creation with an unknown outcome may still be applied after the record is deleted, and
        would restore an outdated inventory. A new version of the fencing token makes it fail.
        """
        migration_due = self.writes_enabled and self.before_migration and self.all_upgraded()
        return (
            migration_due
            and not self.writer.in_flight
            and self.unknown_creation_token_version == self.token_version()
        )

    def is_full(self) -> bool:
        """Return whether the record has no space for more machines; pages are never full."""
        return self.before_migration and self.size_bytes > FULL_FRACTION * self.max_value_bytes

    def on_event(self, version: int) -> None:
        """Handle a watch event: the record has this version; 0 if it does not exist."""
        if version:
            self.version = max(self.version, version)
        elif self.migrating and self.deletion_submitted:
            # Only this leader can have deleted it: the token of any other writer is refused.
            self.version = 0

    def write(self, now: float) -> None:
        """Write the whole inventory as the single record."""
        self.changed = False
        callbacks, self.callbacks = self.callbacks, []
        up_marks = set(self.contents.up)
        value = msgspec.to_builtins(self.contents.record_of(self.contents.items()))
        token_version, version = self.token_version(), self.version

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.UNKNOWN and version == 0:
                self.unknown_creation_token_version = token_version
            if outcome is TransactionOutcome.APPLIED:
                self.version = max(self.version, revision)
                self.on_marks_stored(done_at, up_marks)
                _notify(done_at, callbacks, stored=True)
            else:
                self._on_write_failed(done_at, outcome, callbacks)

        guards = {INVENTORY_KEY: version}
        self.size_bytes = self.writer.submit(now, guards, [PutKey(INVENTORY_KEY, value)], on_done)

    def _on_write_failed(
        self, now: float, outcome: TransactionOutcome, callbacks: list[OnStored]
    ) -> None:
        # The write failed or its outcome is unknown: write again at the version that the watch
        # delivers.
        self.changed = True
        self.writer.back_off(now)
        if outcome is TransactionOutcome.INVALID:
            self.callbacks = [*callbacks, *self.callbacks]
            self.migrate_if_safe(now, refused=True)
            if not self.before_migration:
                # The callbacks are called once the pages are authoritative.
                self.writer.next_write_at = now
                return
            self.callbacks = self.callbacks[len(callbacks) :]
        _notify(now, callbacks, stored=False)

    def migrate_if_safe(self, now: float, refused: bool = False) -> None:
        """Begin the migration if every member reads pages.

        If lower limits were announced, a refusal of the record for its size proves this as well:
        the limits of `state.next` take effect only after the upgrade, so no process of an older
        version is running any more.
        """
        if not self.before_migration or self.writer.in_flight or not self.writes_enabled:
            return
        if not self.all_upgraded() and not (refused and self.limits_announced):
            return
        if self.unknown_creation_token_version == self.token_version():
            return
        self.form = InventoryForm.PAGED if self.version == 0 else InventoryForm.MIGRATING
        contents, layout = self.contents, self.layout
        machines = contents.machines.items()
        for name, group in sorted(machines, key=lambda item: (item[1], item[0])):
            layout.place(name, group)
        for name, request in contents.pending_requests.items():
            layout.place(name, request.machine_group)
        # Even an empty inventory needs a page, by which readers see that it is stored in pages.
        first_page = next(iter(layout.pages.values()), None)
        if first_page is None:
            first_page = layout.choose_page(MachineGroup("", "", False), 0)
        first_page.callbacks, self.callbacks = [*first_page.callbacks, *self.callbacks], []
        self.changed = False
        for page in layout.pages.values():
            page.schedule_write(now)

    def advance(self, now: float) -> None:
        """Take the next step of a migration whose pages are all stored."""
        if self.layout.leftover_versions:
            self._delete_leftover_pages(now)
        else:
            self._delete_record(now)

    def finish_if_deleted(self, now: float) -> None:
        """End the migration if the watch has shown the deletion, even if its answer was lost."""
        if self.migrating and self.deletion_submitted and self.version == 0:
            self._finish(now)

    def _finish(self, now: float) -> None:
        """End the migration: the record is deleted, so the pages are authoritative."""
        self.form, self.version = InventoryForm.PAGED, 0
        callbacks, self.callbacks = self.callbacks, []
        up_marks, self.migrated_marks = self.migrated_marks, set()
        self.on_marks_stored(now, up_marks)
        _notify(now, callbacks, stored=True)

    def _delete_record(self, now: float) -> None:
        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.APPLIED:
                self._finish(done_at)
            else:
                # If the deletion was applied nevertheless, the watch will show it.
                self.writer.back_off(done_at)

        self.deletion_submitted = True
        guards = {INVENTORY_KEY: self.version}
        self.writer.submit(now, guards, [DeleteKey(INVENTORY_KEY)], on_done)

    def _delete_leftover_pages(self, now: float) -> None:
        """Delete unused pages of an interrupted migration, which would remain indefinitely."""
        leftover_versions = self.layout.leftover_versions
        numbers = sorted(leftover_versions)[: self.writer.max_writes]

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.APPLIED:
                for number in numbers:
                    leftover_versions.pop(number, None)
            else:
                self.writer.back_off(done_at)

        guards = {page_key(number): leftover_versions[number] for number in numbers}
        writes = [DeleteKey(page_key(number)) for number in numbers]
        self.writer.submit(now, guards, writes, on_done)
        self.writer.next_write_at = now + len(numbers) * self.writer.write_interval_s


def _notify(now: float, callbacks: list[OnStored], *, stored: bool) -> None:
    for on_stored in callbacks:
        on_stored(now, stored)

"""Pages of the machine inventory: their sizes, and the assignment of items to pages.

Items that change together should share a page, to save writes: machines that are requested together
boot together. So a new item goes preferably to a page that is due to be written anyway, then to one
that already has items of its group.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.storage.cached_inventory import CachedPage, page_key
from copperpass.core.storage.inventory_contents import InventoryContents

# Bytes of a group on a page besides its machine type, its zone and its items.
GROUP_OVERHEAD_BYTES = 72
EMPTY_PAGE_BYTES = len('{"places":[]}')
# Called with the current time, and with whether the awaited write has been stored.
OnStored = Callable[[float, bool], None]


def _group_bytes(group: MachineGroup) -> int:
    return GROUP_OVERHEAD_BYTES + len(group.type.encode()) + len(group.zone.encode())


class InventoryPage:
    """A page: items by name, each with its group.

    Invariant: `size_bytes` is an upper bound for the size of the page's record in our encoding.
    """

    def __init__(self, number: int, version: int) -> None:
        self.number, self.version = number, version
        self.items: dict[str, MachineGroup] = {}
        # Items that the stored page still holds although they are assigned to other pages. They
        # stay until the other pages are stored.
        self.migrating: dict[str, MachineGroup] = {}
        self.group_counts: dict[MachineGroup, int] = {}
        self.size_bytes = EMPTY_PAGE_BYTES
        # The time at which the page is due to be written; None if nothing has changed.
        self.due_at: float | None = None
        # Called when the outcome of the next write of the page is known.
        self.callbacks: list[OnStored] = []

    @property
    def key(self) -> str:
        """The key of the stored page."""
        return page_key(self.number)

    def added_bytes(self, group: MachineGroup, item_bytes: int) -> int:
        """Return by how many bytes an item of `item_bytes` would enlarge the page."""
        return item_bytes + (0 if group in self.group_counts else _group_bytes(group))

    def add(self, name: str, group: MachineGroup, item_bytes: int) -> None:
        """Add an item that takes `item_bytes` of the page."""
        self.size_bytes += self.added_bytes(group, item_bytes)
        self.items[name] = group
        self.group_counts[group] = self.group_counts.get(group, 0) + 1

    def remove(self, name: str, item_bytes: int) -> None:
        """Remove an item that was added with `item_bytes`."""
        group = self.items.pop(name)
        self.size_bytes -= item_bytes
        self.group_counts[group] -= 1
        if not self.group_counts[group]:
            del self.group_counts[group]
            self.size_bytes -= _group_bytes(group)

    def schedule_write(self, due_at: float) -> None:
        """Mark the page as changed and due at `due_at`, unless it is due earlier already."""
        self.due_at = due_at if self.due_at is None else min(self.due_at, due_at)


class PageLayout:
    """All pages, and the page of each item.

    Invariants: an item is assigned to one page; a page that items are migrating from is not written
    and gets no new items until the migrating ones are stored on their new pages.
    """

    def __init__(self, contents: InventoryContents, page_bytes: float) -> None:
        self.contents = contents
        # The size to which pages are filled; reduced when the store refuses a page for its size.
        self.page_bytes = page_bytes
        self.pages: dict[int, InventoryPage] = {}
        self.page_of: dict[str, InventoryPage] = {}
        # Versions, by page number, of stored pages that an interrupted migration from the single
        # record left behind; they are not authoritative.
        self.leftover_versions: dict[int, int] = {}

    def clear(self) -> None:
        """Remove all pages."""
        self.pages.clear()
        self.page_of.clear()
        self.leftover_versions.clear()

    def load(self, cached: Mapping[int, CachedPage]) -> None:
        """Load the stored pages, and split those that are too large."""
        for number, (record, version) in sorted(cached.items()):
            page = self.pages[number] = InventoryPage(number, version)
            items = self.contents.add_record(record) if record is not None else {}
            for name, group in items.items():
                if name in self.page_of:
                    # The item was migrating between two pages, and either may be the newer. The
                    # copy here is removed only after the other page is written with the contents
                    # of both.
                    page.migrating[name] = group
                    self.page_of[name].schedule_write(0.0)
                else:
                    self.put(page, name, group)
        for page in list(self.pages.values()):
            self.split(page)

    def on_event(self, number: int, version: int, exists: bool) -> None:
        """Handle a watch event: a page was written, or deleted if not `exists`."""
        page = self.pages.get(number)
        if page is not None:
            if version > page.version:
                page.version = version if exists else 0
        elif not exists:
            self.leftover_versions.pop(number, None)
        elif number in self.leftover_versions:
            self.leftover_versions[number] = max(self.leftover_versions[number], version)

    def place(self, name: str, group: MachineGroup) -> InventoryPage:
        """Choose a page for a new item, and add the item to it."""
        page = self.choose_page(group, self.contents.item_bytes(name))
        self.put(page, name, group)
        return page

    def put(self, page: InventoryPage, name: str, group: MachineGroup) -> None:
        """Add an item to a page."""
        page.add(name, group, self.contents.item_bytes(name))
        self.page_of[name] = page

    def has_space(self, page: InventoryPage, group: MachineGroup, item_bytes: int) -> bool:
        """Return whether an item of `item_bytes` fits on a page."""
        return page.size_bytes + page.added_bytes(group, item_bytes) <= self.page_bytes

    def choose_page(
        self, group: MachineGroup, item_bytes: int, exclude: InventoryPage | None = None
    ) -> InventoryPage:
        """Return a page with space for an item, preferably one that is due, or a new page."""
        candidates = [
            page
            for page in self.pages.values()
            if page is not exclude
            and not page.migrating
            and page.size_bytes + page.added_bytes(group, item_bytes) <= self.page_bytes
        ]
        if candidates:
            return max(
                candidates,
                key=lambda page: (
                    page.due_at is not None,
                    group in page.group_counts,
                    page.size_bytes,
                ),
            )
        number = next(n for n in range(len(self.pages) + 1) if n not in self.pages)
        page = self.pages[number] = InventoryPage(number, self.leftover_versions.pop(number, 0))
        return page

    def split(self, page: InventoryPage) -> None:
        """Migrate items from a page until it is within `page_bytes` or holds a single item.

        The page was filled under a higher limit of the value size. It keeps the migrating items
        until they are stored on other pages, and is written without them only afterwards.
        """
        for name, group in list(page.items.items()):
            if page.size_bytes <= self.page_bytes or len(page.items) == 1:
                return
            item_bytes = self.contents.item_bytes(name)
            page.remove(name, item_bytes)
            page.migrating[name] = group
            target = self.choose_page(group, item_bytes, page)
            self.put(target, name, group)
            target.schedule_write(0.0)

    def remove(self, now: float, name: str) -> InventoryPage | None:
        """Remove an item from its page and from pages that it migrates from; returns its page."""
        page = self.page_of.pop(name, None)
        if page is not None:
            page.remove(name, self.contents.item_bytes(name))
        self.end_migration(now, name)
        return page

    def end_migration(self, now: float, name: str) -> None:
        """Remove an item from pages that it migrates from."""
        for page in self.pages.values():
            if page.migrating.pop(name, None) is not None:
                page.schedule_write(now)

    def on_items_stored(self, now: float, names: set[str]) -> None:
        """Remove items from pages that they migrate from, after their new pages were stored."""
        for page in self.pages.values():
            stored = [name for name in page.migrating if name in names]
            for name in stored:
                del page.migrating[name]
                page.schedule_write(now)

    def all_stored(self) -> bool:
        """Return whether every change of a page has been written and no item is migrating."""
        return all(page.due_at is None and not page.migrating for page in self.pages.values())

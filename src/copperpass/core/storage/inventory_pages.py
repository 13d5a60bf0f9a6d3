"""Pages of the machine inventory: their sizes, and which item belongs to which page.

Items that change together share a page: machines that are requested together boot together. So a
new item goes to a page that is to be written anyway, then to one that has its group already.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.storage.cached_inventory import CachedPage, page_key
from copperpass.core.storage.inventory_contents import InventoryContents

# Bytes that a page holds of a group besides its names.
GROUP_BYTES = 72
EMPTY_PAGE_BYTES = len('{"places":[]}')
# Called with the time and whether what was waited for has been stored.
OnStored = Callable[[float, bool], None]


def _group_bytes(group: MachineGroup) -> int:
    return GROUP_BYTES + len(group.type.encode()) + len(group.zone.encode())


class InventoryPage:
    """One page: items by name, each with its group.

    Invariant: `size` is an upper bound, by our notation, of the bytes of its record.
    """

    def __init__(self, number: int, version: int) -> None:
        self.number, self.version = number, version
        self.items: dict[str, MachineGroup] = {}
        # Items that belong to other pages by now: stored here until they are stored there.
        self.migrating: dict[str, MachineGroup] = {}
        self.group_counts: dict[MachineGroup, int] = {}
        self.size = EMPTY_PAGE_BYTES
        # When it must be written at the latest; None: nothing has changed.
        self.due: float | None = None
        # Called once the next write of the page has an outcome.
        self.waiting: list[OnStored] = []

    @property
    def key(self) -> str:
        """Where it is stored."""
        return page_key(self.number)

    def cost(self, group: MachineGroup, item_bytes: int) -> int:
        """How much larger an item of that many bytes makes the page."""
        return item_bytes + (0 if group in self.group_counts else _group_bytes(group))

    def add(self, name: str, group: MachineGroup, item_bytes: int) -> None:
        """Add an item."""
        self.size += self.cost(group, item_bytes)
        self.items[name] = group
        self.group_counts[group] = self.group_counts.get(group, 0) + 1

    def remove(self, name: str, item_bytes: int) -> None:
        """Remove an item that was added with that many bytes."""
        group = self.items.pop(name)
        self.size -= item_bytes
        self.group_counts[group] -= 1
        if not self.group_counts[group]:
            del self.group_counts[group]
            self.size -= _group_bytes(group)

    def touch(self, due: float) -> None:
        """It has changed and must be written by then."""
        self.due = due if self.due is None else min(self.due, due)


class PageLayout:
    """All pages, and the page of each item.

    Invariants: an item belongs to one page; a page that has migrating items is not written, and
    takes no new ones, until those are stored on their own pages.
    """

    def __init__(self, contents: InventoryContents, page_bytes: float) -> None:
        self.contents = contents
        # The size to which pages are filled; reduced when the store refuses smaller values.
        self.page_bytes = page_bytes
        self.pages: dict[int, InventoryPage] = {}
        self.page_of: dict[str, InventoryPage] = {}
        # Pages of an interrupted migration, which don't count, with their versions.
        self.leftover: dict[int, int] = {}

    def clear(self) -> None:
        """Forget all pages."""
        self.pages.clear()
        self.page_of.clear()
        self.leftover.clear()

    def load(self, cached: Mapping[int, CachedPage]) -> None:
        """Take over the pages that are stored, and split those that are too large."""
        for number, (record, version) in sorted(cached.items()):
            page = self.pages[number] = InventoryPage(number, version)
            items = self.contents.add_record(record) if record is not None else {}
            for name, group in items.items():
                if name in self.page_of:
                    # It was migrating between pages: either may be the newer, so the copy here
                    # is removed only once the other page is written with what both say.
                    page.migrating[name] = group
                    self.page_of[name].touch(0.0)
                else:
                    self.put(page, name, group)
        for page in list(self.pages.values()):
            self.split(page)

    def on_event(self, number: int, version: int, exists: bool) -> None:
        """The watch brings a change of a page at a version, or its deletion."""
        page = self.pages.get(number)
        if page is not None:
            if version > page.version:
                page.version = version if exists else 0
        elif not exists:
            self.leftover.pop(number, None)
        elif number in self.leftover:
            self.leftover[number] = max(self.leftover[number], version)

    def place(self, name: str, group: MachineGroup) -> InventoryPage:
        """Choose the page of a new item, and add it."""
        page = self.choose(group, self.contents.item_bytes(name))
        self.put(page, name, group)
        return page

    def put(self, page: InventoryPage, name: str, group: MachineGroup) -> None:
        """Add an item to a page."""
        page.add(name, group, self.contents.item_bytes(name))
        self.page_of[name] = page

    def has_space(self, page: InventoryPage, group: MachineGroup, item_bytes: int) -> bool:
        """Whether an item of that many bytes fits into a page."""
        return page.size + page.cost(group, item_bytes) <= self.page_bytes

    def choose(
        self, group: MachineGroup, item_bytes: int, exclude: InventoryPage | None = None
    ) -> InventoryPage:
        """The page for a new item: preferably one that will be written anyway; or a new one."""
        feasible = [
            page
            for page in self.pages.values()
            if page is not exclude
            and not page.migrating
            and page.size + page.cost(group, item_bytes) <= self.page_bytes
        ]
        if feasible:
            return max(
                feasible,
                key=lambda page: (page.due is not None, group in page.group_counts, page.size),
            )
        number = next(n for n in range(len(self.pages) + 1) if n not in self.pages)
        page = self.pages[number] = InventoryPage(number, self.leftover.pop(number, 0))
        return page

    def split(self, page: InventoryPage) -> None:
        """Split a page that was stored when values could be larger.

        What migrates stays stored there until it is stored elsewhere; only then is the page
        written smaller.
        """
        for name, group in list(page.items.items()):
            if page.size <= self.page_bytes or len(page.items) == 1:
                return
            item_bytes = self.contents.item_bytes(name)
            page.remove(name, item_bytes)
            page.migrating[name] = group
            target = self.choose(group, item_bytes, page)
            self.put(target, name, group)
            target.touch(0.0)

    def remove(self, now: float, name: str) -> InventoryPage | None:
        """Remove an item from its page, which is returned, and wherever it migrates from."""
        page = self.page_of.pop(name, None)
        if page is not None:
            page.remove(name, self.contents.item_bytes(name))
        self.end_migration(now, name)
        return page

    def end_migration(self, now: float, name: str) -> None:
        """An item need no longer be stored on pages that it migrates from."""
        for page in self.pages.values():
            if page.migrating.pop(name, None) is not None:
                page.touch(now)

    def on_items_stored(self, now: float, names: set[str]) -> None:
        """Items are stored on their own pages: their former ones may be written without them."""
        for page in self.pages.values():
            stored = [name for name in page.migrating if name in names]
            for name in stored:
                del page.migrating[name]
                page.touch(now)

    def settled(self) -> bool:
        """Whether all pages are stored as they are, with no item migrating."""
        return all(page.due is None and not page.migrating for page in self.pages.values())

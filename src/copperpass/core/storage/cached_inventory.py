"""The stored records of the machine inventory, as last delivered by the watch."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from copperpass.core.kvstore.keys import INVENTORY_KEY, INVENTORY_PAGES_PREFIX
from copperpass.protocol.json_codec import decode
from copperpass.protocol.records import InventoryRecord


def page_key(number: int) -> str:
    """Return the key under which the inventory page `number` is stored."""
    return f"{INVENTORY_PAGES_PREFIX}{number}"


def page_number(key: str) -> int | None:
    """Return the page number in the key of an inventory page; None for any other key."""
    number = key[len(INVENTORY_PAGES_PREFIX) :]
    is_page = key.startswith(INVENTORY_PAGES_PREFIX) and number.isdecimal()
    return int(number) if is_page else None


class CachedPage(NamedTuple):
    """A stored page and the version of its key; `record` is None if it can't be decoded."""

    record: InventoryRecord | None
    version: int


@dataclass(slots=True)
class CachedInventory:
    """The stored inventory in both of its forms: the single record and the pages, by number.

    Either or both may exist. `record` and `version` belong to the single record: the version is 0
    if its key does not exist, and `record` is None then or if the value can't be decoded.
    """

    record: InventoryRecord | None = None
    version: int = 0
    pages: dict[int, CachedPage] = field(default_factory=dict)

    def on_watch_event(self, key: str, value: bytes | None, version: int) -> bool:
        """Apply a change of a key, or its deletion if `value` is None.

        Returns whether the key is one of the inventory.
        """
        number = page_number(key)
        if key != INVENTORY_KEY and number is None:
            return False
        record = decode(value, InventoryRecord) if value is not None else None
        if number is None:
            self.record, self.version = record, version if value is not None else 0
        elif value is None:
            self.pages.pop(number, None)
        else:
            self.pages[number] = CachedPage(record, version)
        return True

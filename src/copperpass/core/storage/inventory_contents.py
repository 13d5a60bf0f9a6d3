"""What the machine inventory says: machines, pending instance requests, marks; and its records."""

from __future__ import annotations

from typing import NamedTuple

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.protocol.records import InventoryRecord, MachineGroupRecord

# Bytes that a page holds of a machine or request besides its name, and of a request's count.
ITEM_BYTES, COUNT_BYTES = 4, 4
# The shortest name that is expected of a machine that a request may bring.
NAME_BYTES = 8


class PendingRequest(NamedTuple):
    """An instance request that was stored, and whose answer may not be."""

    machine_group: MachineGroup
    machine_count: int


class InventoryContents:
    """The inventory as this leader knows it; an item is a machine or a pending request, by name.

    Invariant: `stored_up` <= `up` <= the names of `machines`.
    """

    def __init__(self) -> None:
        self.machines: dict[str, MachineGroup] = {}
        self.pending_requests: dict[str, PendingRequest] = {}
        # Machines that have been up, and those of them whose mark is in the key-value store.
        self.up: set[str] = set()
        self.stored_up: set[str] = set()

    def clear(self) -> None:
        """Forget everything."""
        self.machines.clear()
        self.pending_requests.clear()
        self.up.clear()
        self.stored_up.clear()

    def add_record(self, record: InventoryRecord) -> dict[str, MachineGroup]:
        """Add what a stored record says; returns the group of each of its items."""
        items: dict[str, MachineGroup] = {}
        for group_record in record.groups:
            group = MachineGroup(group_record.type, group_record.zone, group_record.spot)
            machines = dict.fromkeys([*group_record.starting, *group_record.up], group)
            self.machines.update(machines)
            self.up.update(group_record.up)
            self.stored_up.update(group_record.up)
            requests = group_record.pending_requests
            self.pending_requests.update(
                {name: PendingRequest(group, count) for name, count in requests.items()}
            )
            items.update(machines)
            items.update(dict.fromkeys(requests, group))
        return items

    def items(self) -> dict[str, MachineGroup]:
        """The group of each machine and pending request."""
        requests = self.pending_requests
        return {
            **self.machines,
            **{name: request.machine_group for name, request in requests.items()},
        }

    def record_of(self, items: dict[str, MachineGroup]) -> InventoryRecord:
        """The record of some items; the same items always make the same bytes."""
        records = {group: MachineGroupRecord(*group) for group in set(items.values())}
        for name in sorted(items):
            record = records[items[name]]
            if name in self.pending_requests:
                record.pending_requests[name] = self.pending_requests[name].machine_count
            else:
                (record.up if name in self.up else record.starting).append(name)
        return InventoryRecord([records[group] for group in sorted(records)])

    def item_bytes(self, name: str) -> int:
        """How many bytes of a page an item may take; a request reserves those of its machines."""
        own_bytes = len(name.encode()) + ITEM_BYTES
        request = self.pending_requests.get(name)
        if request is None:
            return own_bytes
        return max(own_bytes + COUNT_BYTES, request.machine_count * (NAME_BYTES + ITEM_BYTES))

    def mark_stored(self, marked: set[str]) -> set[str]:
        """Marks as up that are certainly stored; returns those that were not known to be."""
        new = (marked & self.up) - self.stored_up
        self.stored_up |= new
        return new

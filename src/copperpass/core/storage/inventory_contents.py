"""The contents of the machine inventory: machines, those that were up, and instance requests."""

from __future__ import annotations

from typing import NamedTuple

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.protocol.records import InventoryRecord, MachineGroupRecord

# Bytes of an item on a page besides its name, and bytes of a request's machine count.
ITEM_OVERHEAD_BYTES, REQUEST_COUNT_BYTES = 4, 4
# The minimum length of a machine's name, assumed for machines that a pending request may bring.
MIN_NAME_BYTES = 8


class PendingRequest(NamedTuple):
    """A stored instance request; the machines of its answer may not be stored yet."""

    machine_group: MachineGroup
    machine_count: int


class InventoryContents:
    """The inventory as this leader knows it.

    An item is a machine or a pending request, identified by its name. Invariant: `stored_up` is a
    subset of `up`, and `up` a subset of the names in `machines`.
    """

    def __init__(self) -> None:
        self.machines: dict[str, MachineGroup] = {}
        self.pending_requests: dict[str, PendingRequest] = {}
        # Machines that have been up, and those of them that the key-value store has marked as up.
        self.up: set[str] = set()
        self.stored_up: set[str] = set()

    def clear(self) -> None:
        """Remove all machines, requests and marks."""
        self.machines.clear()
        self.pending_requests.clear()
        self.up.clear()
        self.stored_up.clear()

    def add_record(self, record: InventoryRecord) -> dict[str, MachineGroup]:
        """Add the items of a stored record; returns the group of each item."""
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
        """Return the group of each machine and pending request."""
        requests = self.pending_requests
        return {
            **self.machines,
            **{name: request.machine_group for name, request in requests.items()},
        }

    def record_of(self, items: dict[str, MachineGroup]) -> InventoryRecord:
        """Build the record of some items; the same items always have the same encoding."""
        records = {group: MachineGroupRecord(*group) for group in set(items.values())}
        for name in sorted(items):
            record = records[items[name]]
            if name in self.pending_requests:
                record.pending_requests[name] = self.pending_requests[name].machine_count
            else:
                (record.up if name in self.up else record.starting).append(name)
        return InventoryRecord([records[group] for group in sorted(records)])

    def item_bytes(self, name: str) -> int:
        """Return the bytes to reserve for an item; a request reserves space for its machines."""
        own_bytes = len(name.encode()) + ITEM_OVERHEAD_BYTES
        request = self.pending_requests.get(name)
        if request is None:
            return own_bytes
        return max(
            own_bytes + REQUEST_COUNT_BYTES,
            request.machine_count * (MIN_NAME_BYTES + ITEM_OVERHEAD_BYTES),
        )

    def mark_stored(self, up_marks: set[str]) -> set[str]:
        """Record that marks as up are stored; returns those that were not known to be stored."""
        new_marks = (up_marks & self.up) - self.stored_up
        self.stored_up |= new_marks
        return new_marks

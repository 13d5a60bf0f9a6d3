"""Batches: operations that are independent of each other, merged into one transaction."""

from __future__ import annotations

from copperpass.core.kvstore.operations import Operation
from copperpass.protocol.kvstore import Write
from copperpass.protocol.users import MAX_BODY_BYTES

# The store takes so many guards for each write that it allows.
GUARDS_PER_WRITE = 4
# The part of the largest body that a batch may fill.
BODY_PART = 0.9


class Batch:
    """Operations to be sent together.

    Invariant: they stay within the limits of one transaction, and none writes a key that another
    one writes or guards, so that each would have the same outcome by itself.
    """

    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self.guards: dict[str, int] = {}
        self.writes: list[Write] = []
        self._written_keys: set[str] = set()
        self._size = 0

    def admits(self, operation: Operation, max_writes: int) -> bool:
        """Whether an operation can be added; an empty batch takes any."""
        if not self.operations:
            return True
        if operation.refused_batch is not None or self.operations[0].refused_batch is not None:
            return False
        keys = {write.key for write in operation.writes}
        return (
            len(self.writes) + len(operation.writes) <= max_writes
            and len(self.guards) + len(operation.guards) <= GUARDS_PER_WRITE * max_writes
            and self._size + operation.size <= MAX_BODY_BYTES * BODY_PART
            and not keys & (self._written_keys | set(self.guards))
            and not self._written_keys & set(operation.guards)
            and all(
                self.guards.get(key, version) == version
                for key, version in operation.guards.items()
            )
        )

    def add(self, operation: Operation) -> None:
        """Add an operation that the batch admits."""
        self.operations.append(operation)
        self.guards.update(operation.guards)
        self.writes.extend(operation.writes)
        self._written_keys.update(write.key for write in operation.writes)
        self._size += operation.size

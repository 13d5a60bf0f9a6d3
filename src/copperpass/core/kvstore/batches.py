"""Batches: independent operations that are merged into one transaction."""

from __future__ import annotations

from copperpass.core.kvstore.operations import Operation
from copperpass.protocol.kvstore import Write
from copperpass.protocol.users import MAX_BODY_BYTES

# The store allows this many guards in a transaction per allowed write.
GUARDS_PER_WRITE = 4
# The fraction of `MAX_BODY_BYTES` that a batch may fill.
MAX_BODY_FRACTION = 0.9


class Batch:
    """Operations that are sent in one transaction.

    Invariant: the operations stay within the limits of one transaction, and none writes a key that
    another one writes or guards. So each has the outcome that it would have if sent alone.
    """

    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self.guards: dict[str, int] = {}
        self.writes: list[Write] = []
        self._written_keys: set[str] = set()
        self._body_bytes = 0

    def admits(self, operation: Operation, max_writes: int) -> bool:
        """Whether `add` may be called with an operation; an empty batch admits any."""
        if not self.operations:
            return True
        if operation.refused_batch is not None or self.operations[0].refused_batch is not None:
            return False
        keys = {write.key for write in operation.writes}
        return (
            len(self.writes) + len(operation.writes) <= max_writes
            and len(self.guards) + len(operation.guards) <= GUARDS_PER_WRITE * max_writes
            and self._body_bytes + operation.body_bytes <= MAX_BODY_BYTES * MAX_BODY_FRACTION
            and not keys & (self._written_keys | set(self.guards))
            and not self._written_keys & set(operation.guards)
            and all(
                self.guards.get(key, version) == version
                for key, version in operation.guards.items()
            )
        )

    def add(self, operation: Operation) -> None:
        """Add an operation for which `admits` has returned True."""
        self.operations.append(operation)
        self.guards.update(operation.guards)
        self.writes.extend(operation.writes)
        self._written_keys.update(write.key for write in operation.writes)
        self._body_bytes += operation.body_bytes

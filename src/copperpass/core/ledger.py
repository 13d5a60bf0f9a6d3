"""Guarded writes, gathered into few transactions within the state service's limits."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from copperpass import wire
from copperpass.core.ports import Call, Outbox, Outcome

APPLIED, CONFLICT, UNAVAILABLE, UNKNOWN, INVALID = (
    "applied", "conflict", "unavailable", "unknown", "invalid"
)
OpThen = Callable[[float, str, int], None]


@dataclass(slots=True)
class Op:
    """One all-or-nothing group of writes and the versions that it depends on."""

    guards: dict[str, int]
    writes: list[dict[str, Any]]
    then: OpThen
    deadline: float
    rank: int = 1
    size: int = 0


# Users and the election come first; then what frees room or ends jobs; then what can be gathered.
URGENT, PLAIN, GATHERED = range(3)
# The part of the burst that an operation of a rank must leave for those before it.
RESERVE = (0.0, 0.2, 0.45)


class Budget:
    """A token bucket over the steady clock."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, 0.0

    def take(self, now: float, amount: float, leave: float = 0.0) -> bool:
        """Take an amount if it is there and `leave` of the burst stays."""
        self.level = min(self.burst, self.level + max(0.0, now - self.at) * self.rate)
        self.at = now
        if self.level + 1e-9 < min(amount + leave * self.burst, self.burst):
            return False
        self.level -= amount
        return True


class Ledger:
    """Queues operations and merges those that wait into one transaction."""

    IN_FLIGHT = 3

    def __init__(self, out: Outbox, write_rps: float, txn_ops: int, timeout: float) -> None:
        self.out = out
        self.queues: tuple[deque[Op], ...] = (deque(), deque(), deque())
        self.in_flight = 0
        self.budget = Budget(write_rps * 0.9, max(write_rps * 0.9, 2.0))
        self.txn_ops = txn_ops
        self.timeout = timeout
        self.paused_until = 0.0

    def submit(self, now: float, op: Op) -> None:
        """Queue an operation; its `then` is always called once."""
        op.size = len(wire.transaction(op.guards, op.writes))
        self.queues[op.rank].append(op)
        self.pump(now)

    def pump(self, now: float) -> None:
        """Send what may be sent now."""
        for queue in self.queues:
            while queue and queue[0].deadline < now:
                # Guards the user's own deadline: what can't be stored in time is said at once.
                queue.popleft().then(now, UNAVAILABLE, 0)
        while self.in_flight < self.IN_FLIGHT and now >= self.paused_until:
            batch = self._batch(now)
            if not batch:
                return
            self._send(batch)

    def _batch(self, now: float) -> list[Op]:
        """The operations that go together, those of the first rank in front."""
        batch: list[Op] = []
        guards: dict[str, int] = {}
        written: set[str] = set()
        writes = size = 0
        for queue in self.queues:
            while queue:
                op = queue[0]
                targets = {str(w.get("put") or w.get("remove")) for w in op.writes}
                fits = (
                    writes + len(op.writes) <= self.txn_ops
                    and len(guards) + len(op.guards) <= 4 * self.txn_ops
                    and size + op.size <= wire.MAX_BODY * 0.9
                    and not targets & (written | set(guards))
                    and not written & set(op.guards)
                    and all(guards.get(k, v) == v for k, v in op.guards.items())
                )
                if batch and not fits:
                    return batch
                if not self.budget.take(now, len(op.writes), RESERVE[op.rank]):
                    return batch
                batch.append(queue.popleft())
                guards.update(op.guards)
                written |= targets
                writes += len(op.writes)
                size += op.size
        return batch

    def _again(self, ops: list[Op]) -> None:
        for op in reversed(ops):
            self.queues[op.rank].appendleft(op)

    def _send(self, batch: list[Op]) -> None:
        guards: dict[str, int] = {}
        writes: list[dict[str, Any]] = []
        for op in batch:
            guards.update(op.guards)
            writes.extend(op.writes)
        self.in_flight += 1
        self.out.calls.append(
            Call(
                "state", "POST", wire.PATH_TXN,
                lambda now, outcome: self._done(now, batch, outcome),
                wire.transaction(guards, writes), self.timeout,
            )
        )

    def _done(self, now: float, batch: list[Op], outcome: Outcome) -> None:
        self.in_flight -= 1
        if outcome.status == 200:
            applied = wire.decode(outcome.body, wire.Applied)
            for op in batch:
                op.then(now, APPLIED, applied.revision if applied else 0)
        elif outcome.status == 409:
            refused = wire.decode(outcome.body, wire.Refused)
            failed = set(refused.failed) if refused else set()
            again = [op for op in batch if failed and not failed & set(op.guards)]
            for op in batch:
                if op not in again:
                    op.then(now, CONFLICT, 0)
            self._again(again)
        elif outcome.status == 429:
            self.paused_until = now + 0.1
            self._again(batch)
        elif outcome.status == 503:
            for op in batch:
                op.then(now, UNAVAILABLE, 0)
        elif outcome.status == 0:
            for op in batch:
                op.then(now, UNKNOWN, 0)
        elif len(batch) > 1:
            # A bad operation must not take its neighbours down: send each by itself.
            for op in batch:
                self._send([op])
        else:
            batch[0].then(now, INVALID, 0)
        self.pump(now)

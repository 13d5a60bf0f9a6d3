"""Guarded writes, gathered into few transactions within the state service's limits."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

from copperpass.core.ports import NO_ANSWER, NOT_SENT, Call, CallOutcome, Outbox
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import (
    TRANSACTION_PATH,
    TransactionApplied,
    TransactionConflict,
    Write,
    transaction_body,
)
from copperpass.protocol.users import MAX_BODY_BYTES


class TransactionOutcome(Enum):
    """How an operation ended."""

    # Carried out, at the revision that comes with it.
    APPLIED = "applied"
    # A guard did not hold: nothing was written.
    CONFLICT = "conflict"
    # Certainly not carried out: not sent in time, or refused by a service that is down.
    UNAVAILABLE = "unavailable"
    # No answer: it may have been carried out, or be carried out yet.
    UNKNOWN = "unknown"
    # Refused by itself, for its form, its size or an expired lease: nothing was written.
    INVALID = "invalid"


class Priority(IntEnum):
    """The queue of an operation; each index of `BUDGET_RESERVE` and of the queues."""

    # Users and the election.
    URGENT = 0
    # What frees capacity or completes jobs.
    NORMAL = 1
    # What can wait and be batched.
    BATCHED = 2


# Called with the time, the outcome, and the revision if the operation was applied (else 0).
OnOperationDone = Callable[[float, TransactionOutcome, int], None]


@dataclass(slots=True)
class RefusedBatch:
    """A batch that was refused as a whole; its operations go one by one to learn why."""

    left: int
    writes: int
    bad: bool = False


@dataclass(slots=True)
class Operation:
    """One all-or-nothing group of writes and the versions that it depends on."""

    guards: dict[str, int]
    writes: Sequence[Write]
    on_done: OnOperationDone
    deadline: float
    priority: Priority = Priority.NORMAL
    size: int = 0
    # The refused batch that it was part of: it now goes by itself.
    split: RefusedBatch | None = None


# The part of the burst that an operation of each priority must leave for those before it.
BUDGET_RESERVE = (0.0, 0.2, 0.45)


# After a refusal for the rate: the part of the pace that is kept, the least part of the configured
# pace, and the time in which all of that would be regained.
SLOWER, SLOWEST, RECOVERY_S = 0.7, 0.05, 60.0
# The pause after a refusal for the rate; it doubles up to the second with each further one.
PAUSE_S, LONGEST_PAUSE_S = 0.1, 1.6
# The smallest limit of operations that the settings may name.
LEAST_OPS = 4
# Refused whatever the limits: a key was to hang on a lease that is over.
NO_LEASE = b"no such lease"


class TokenBucket:
    """A token bucket over the steady clock."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, 0.0
        self.full_rate, self.full_burst = rate, burst

    def refused(self, now: float) -> None:
        """The service allows less than was thought: go slower, and start from nothing."""
        self._pass(now)
        self._pace(max(SLOWEST * self.full_rate, SLOWER * self.rate))
        self.level = min(self.level, 0.0)

    def _pace(self, rate: float) -> None:
        self.rate = rate
        self.burst = self.full_burst * rate / self.full_rate

    def _pass(self, now: float) -> None:
        passed = max(0.0, now - self.at)
        self.at = max(self.at, now)
        self.level = min(self.burst, self.level + passed * self.rate)
        if self.rate < self.full_rate:
            faster = self.rate + passed * self.full_rate / RECOVERY_S
            self._pace(min(self.full_rate, faster))

    def take(self, now: float, amount: float, leave: float = 0.0) -> bool:
        """Take an amount if it is there and `leave` of the burst stays."""
        self._pass(now)
        if self.level + 1e-9 < min(amount + leave * self.burst, self.burst):
            return False
        self.level -= amount
        return True


class TransactionQueue:
    """Queues operations and merges those that wait into one transaction."""

    IN_FLIGHT = 3

    def __init__(self, out: Outbox, write_rps: float, txn_ops: int, timeout: float) -> None:
        self.out = out
        self.queues: tuple[deque[Operation], ...] = (deque(), deque(), deque())
        self.in_flight = 0
        self.budget = TokenBucket(write_rps * 0.9, max(write_rps * 0.9, 2.0))
        self.txn_ops = txn_ops
        self.timeout = timeout
        self.paused_until = 0.0
        self.pause = PAUSE_S

    def submit(self, now: float, op: Operation) -> None:
        """Queue an operation; its `on_done` is always called once."""
        op.size = len(transaction_body(op.guards, op.writes))
        self.queues[op.priority].append(op)
        self.pump(now)

    def pump(self, now: float) -> None:
        """Send what may be sent now."""
        for queue in self.queues:
            while queue and queue[0].deadline < now:
                # Guards the user's own deadline: what can't be stored in time is said at once.
                self._end(now, queue.popleft(), TransactionOutcome.UNAVAILABLE)
        while self.in_flight < self.IN_FLIGHT and now >= self.paused_until:
            batch = self._batch(now)
            if not batch:
                return
            self._send(batch)

    def _batch(self, now: float) -> list[Operation]:
        """The operations that go together, those of the first priority in front."""
        batch: list[Operation] = []
        guards: dict[str, int] = {}
        written: set[str] = set()
        writes = size = 0
        for queue in self.queues:
            while queue:
                op = queue[0]
                if batch and (op.split is not None or batch[0].split is not None):
                    return batch
                targets = {write.key for write in op.writes}
                fits = (
                    writes + len(op.writes) <= self.txn_ops
                    and len(guards) + len(op.guards) <= 4 * self.txn_ops
                    and size + op.size <= MAX_BODY_BYTES * 0.9
                    and not targets & (written | set(guards))
                    and not written & set(op.guards)
                    and all(guards.get(k, v) == v for k, v in op.guards.items())
                )
                if batch and not fits:
                    return batch
                if not self.budget.take(now, len(op.writes), BUDGET_RESERVE[op.priority]):
                    return batch
                batch.append(queue.popleft())
                guards.update(op.guards)
                written |= targets
                writes += len(op.writes)
                size += op.size
        return batch

    def _again(self, ops: list[Operation]) -> None:
        for op in reversed(ops):
            self.queues[op.priority].appendleft(op)

    def _send(self, batch: list[Operation]) -> None:
        guards: dict[str, int] = {}
        writes: list[Write] = []
        for op in batch:
            guards.update(op.guards)
            writes.extend(op.writes)
        self.in_flight += 1
        self.out.calls.append(
            Call(
                "state",
                "POST",
                TRANSACTION_PATH,
                lambda now, outcome: self._done(now, batch, outcome),
                transaction_body(guards, writes),
                self.timeout,
            )
        )

    def _done(self, now: float, batch: list[Operation], outcome: CallOutcome) -> None:
        self.in_flight -= 1
        status = outcome.status
        if status == 200:
            applied = decode(outcome.body, TransactionApplied)
            self.pause = PAUSE_S
            for op in batch:
                self._end(now, op, TransactionOutcome.APPLIED, applied.revision if applied else 0)
        elif status == 409:
            refused = decode(outcome.body, TransactionConflict)
            failed = set(refused.failed) if refused else set()
            again = [op for op in batch if failed and not failed & set(op.guards)]
            for op in batch:
                if op not in again:
                    self._end(now, op, TransactionOutcome.CONFLICT)
            self._again(again)
        elif status == 429:
            self._too_fast(now)
            self._again(batch)
        elif status in (503, NOT_SENT):
            for op in batch:
                self._end(now, op, TransactionOutcome.UNAVAILABLE)
        elif status == NO_ANSWER or status >= 500:
            for op in batch:
                self._end(now, op, TransactionOutcome.UNKNOWN)
        elif len(batch) > 1:
            # A bad operation must not take its neighbours down, and the limits may have dropped:
            # each goes by itself, in its turn and out of the budget like any other.
            writes = sum(len(op.writes) for op in batch)
            split = RefusedBatch(len(batch), writes, NO_LEASE in outcome.body)
            for op in batch:
                op.split = split
            self._again(batch)
        else:
            self._end(now, batch[0], TransactionOutcome.INVALID)
        self.pump(now)

    def _end(
        self, now: float, op: Operation, outcome: TransactionOutcome, revision: int = 0
    ) -> None:
        """An operation is over; with the last of a refused batch it shows what was wrong."""
        split, op.split = op.split, None
        if split is not None:
            split.left -= 1
            split.bad |= outcome not in (
                TransactionOutcome.APPLIED,
                TransactionOutcome.CONFLICT,
            )
            if not split.left and not split.bad:
                # Nothing was wrong with any of them, so there were too many.
                learnt = max(LEAST_OPS, split.writes // 2)
                self.txn_ops = min(self.txn_ops, learnt)
        op.on_done(now, outcome, revision)

    def _too_fast(self, now: float) -> None:
        if now < self.paused_until:
            # Sent before the last refusal came: it says nothing new.
            return
        self.budget.refused(now)
        self.paused_until = now + self.pause
        self.pause = min(2 * self.pause, LONGEST_PAUSE_S)

"""The queue of operations: sent in batches, within the rate and limits of the key-value store."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from copperpass.core.kvstore.batches import Batch
from copperpass.core.kvstore.operations import Operation, Priority, RefusedBatch, TransactionOutcome
from copperpass.core.kvstore.token_bucket import TokenBucket
from copperpass.core.ports import NO_ANSWER, NOT_SENT, Call, CallOutcome, ExternalService, Outbox
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import (
    TRANSACTION_PATH,
    TransactionApplied,
    TransactionConflict,
    transaction_body,
)

# The part of the burst that an operation of each priority must leave for those before it.
BUDGET_RESERVE = (0.0, 0.2, 0.45)
# The part of the configured rate of writes that is used, and the least burst.
RATE_PART, LEAST_BURST = 0.9, 2.0
# Seconds to pause after a refusal for the rate; doubled up to the second with each further one.
PAUSE_S, LONGEST_PAUSE_S = 0.1, 1.6
# The smallest limit of writes that the settings may name.
LEAST_MAX_WRITES = 4
# Refused whatever the limits: a key was to be attached to an expired lease.
NO_LEASE = b"no such lease"

HTTP_OK, HTTP_CONFLICT, HTTP_TOO_MANY_REQUESTS = 200, 409, 429
HTTP_SERVER_ERROR, HTTP_UNAVAILABLE = 500, 503


class TransactionQueue:
    """Queues operations and merges those that wait into one transaction.

    Invariants: the callback of each operation is called once; an operation is sent again only if
    it was certainly not carried out; at most `IN_FLIGHT` transactions have no answer.
    """

    IN_FLIGHT = 3

    def __init__(self, out: Outbox, write_rps: float, max_writes: int, timeout_s: float) -> None:
        self.out = out
        self.queues: tuple[deque[Operation], ...] = tuple(deque() for _ in Priority)
        self.in_flight = 0
        self.budget = TokenBucket(write_rps * RATE_PART, max(write_rps * RATE_PART, LEAST_BURST))
        # The most writes of a transaction; reduced when the store turns out to allow fewer.
        self.max_writes = max_writes
        self.timeout_s = timeout_s
        self.paused_until = 0.0
        self.pause = PAUSE_S

    def submit(self, now: float, operation: Operation) -> None:
        """Queue an operation; its `on_done` is always called once."""
        operation.size = len(transaction_body(operation.guards, operation.writes))
        self.queues[operation.priority].append(operation)
        self.pump(now)

    def pump(self, now: float) -> None:
        """Send what may be sent now."""
        for queue in self.queues:
            while queue and queue[0].deadline < now:
                # Guards the user's own deadline: what can't be stored in time is said at once.
                self._finish(now, queue.popleft(), TransactionOutcome.UNAVAILABLE)
        while self.in_flight < self.IN_FLIGHT and now >= self.paused_until:
            batch = self._next_batch(now)
            if not batch.operations:
                return
            self._send(batch)

    def _next_batch(self, now: float) -> Batch:
        """The operations that are sent together, in the order of their priorities."""
        batch = Batch()
        for queue in self.queues:
            while queue:
                operation = queue[0]
                if not batch.admits(operation, self.max_writes):
                    return batch
                reserve = BUDGET_RESERVE[operation.priority]
                if not self.budget.take(now, len(operation.writes), reserve):
                    return batch
                batch.add(queue.popleft())
        return batch

    def _requeue(self, operations: list[Operation]) -> None:
        """Put operations that were not carried out back to the front, in their order."""
        for operation in reversed(operations):
            self.queues[operation.priority].appendleft(operation)

    def _send(self, batch: Batch) -> None:
        operations = batch.operations
        self.in_flight += 1
        self.out.calls.append(
            Call(
                ExternalService.STATE,
                "POST",
                TRANSACTION_PATH,
                lambda now, answer: self._on_answer(now, operations, answer),
                transaction_body(batch.guards, batch.writes),
                self.timeout_s,
            )
        )

    # -- answers ---------------------------------------------------------------------

    def _on_answer(self, now: float, batch: list[Operation], answer: CallOutcome) -> None:
        self.in_flight -= 1
        status = answer.status
        if status == HTTP_OK:
            applied = decode(answer.body, TransactionApplied)
            self.pause = PAUSE_S
            revision = applied.revision if applied else 0
            self._finish_all(now, batch, TransactionOutcome.APPLIED, revision)
        elif status == HTTP_CONFLICT:
            self._on_conflict(now, batch, answer)
        elif status == HTTP_TOO_MANY_REQUESTS:
            self._on_rate_refused(now)
            self._requeue(batch)
        elif status in (HTTP_UNAVAILABLE, NOT_SENT):
            self._finish_all(now, batch, TransactionOutcome.UNAVAILABLE)
        elif status == NO_ANSWER or status >= HTTP_SERVER_ERROR:
            self._finish_all(now, batch, TransactionOutcome.UNKNOWN)
        elif len(batch) > 1:
            self._send_singly(batch, answer)
        else:
            self._finish(now, batch[0], TransactionOutcome.INVALID)
        self.pump(now)

    def _on_conflict(self, now: float, batch: list[Operation], answer: CallOutcome) -> None:
        """Only operations whose own guards failed are in conflict; the others are sent again."""
        conflict = decode(answer.body, TransactionConflict)
        failed = set(conflict.failed) if conflict else set()
        unaffected = [
            operation for operation in batch if failed and not failed & set(operation.guards)
        ]
        for operation in batch:
            if operation not in unaffected:
                self._finish(now, operation, TransactionOutcome.CONFLICT)
        self._requeue(unaffected)

    def _on_rate_refused(self, now: float) -> None:
        if now < self.paused_until:
            # Sent before the last refusal came: it says nothing new.
            return
        self.budget.slow_down(now)
        self.paused_until = now + self.pause
        self.pause = min(2 * self.pause, LONGEST_PAUSE_S)

    def _send_singly(self, batch: list[Operation], answer: CallOutcome) -> None:
        """A batch was refused as invalid.

        An invalid operation must not make the others fail, and the limits may have dropped: each
        is sent by itself, in its turn and out of the budget like any other.
        """
        writes = sum(len(operation.writes) for operation in batch)
        refused = RefusedBatch(len(batch), writes, NO_LEASE in answer.body)
        for operation in batch:
            operation.refused_batch = refused
        self._requeue(batch)

    def _finish_all(
        self,
        now: float,
        batch: Iterable[Operation],
        outcome: TransactionOutcome,
        revision: int = 0,
    ) -> None:
        for operation in batch:
            self._finish(now, operation, outcome, revision)

    def _finish(
        self, now: float, operation: Operation, outcome: TransactionOutcome, revision: int = 0
    ) -> None:
        """Report an outcome; the last one of a refused batch shows why that was refused."""
        refused, operation.refused_batch = operation.refused_batch, None
        if refused is not None:
            self._learn_limit(refused, outcome)
        operation.on_done(now, outcome, revision)

    def _learn_limit(self, refused: RefusedBatch, outcome: TransactionOutcome) -> None:
        refused.remaining -= 1
        refused.explained |= outcome not in (
            TransactionOutcome.APPLIED,
            TransactionOutcome.CONFLICT,
        )
        if not refused.remaining and not refused.explained:
            # None of them was invalid by itself, so there were too many writes.
            learned = max(LEAST_MAX_WRITES, refused.writes // 2)
            self.max_writes = min(self.max_writes, learned)

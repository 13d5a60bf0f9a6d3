"""A queue that sends operations in batches, within the rate and limits of the key-value store."""

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

# For each priority, the fraction of the burst that its operations must leave to higher priorities.
BUDGET_RESERVE = (0.0, 0.2, 0.45)
# The fraction of the configured write rate that is used, and the minimum burst in writes.
RATE_FRACTION, MIN_BURST_WRITES = 0.9, 2.0
# The pause in seconds after a refusal for the write rate; doubled with each further refusal up to
# the maximum.
INITIAL_PAUSE_S, MAX_PAUSE_S = 0.1, 1.6
# The smallest limit of writes in a transaction that the settings accept.
MIN_MAX_WRITES = 4
# In the body of a refusal: a key was to be attached to an expired lease. Such a transaction is
# refused whatever its size, so the refusal says nothing about the limits.
LEASE_NOT_FOUND_TEXT = b"no such lease"

HTTP_OK, HTTP_CONFLICT, HTTP_TOO_MANY_REQUESTS = 200, 409, 429
HTTP_SERVER_ERROR, HTTP_UNAVAILABLE = 500, 503


class TransactionQueue:
    """Queues operations and merges queued operations into transactions.

    Invariants: the callback of each operation is called once; an operation is sent again only if
    it was certainly not applied; at most `MAX_IN_FLIGHT` transactions wait for an answer.
    """

    MAX_IN_FLIGHT = 3

    def __init__(self, outbox: Outbox, write_rps: float, max_writes: int, timeout_s: float) -> None:
        self.outbox = outbox
        self.queues: tuple[deque[Operation], ...] = tuple(deque() for _ in Priority)
        self.in_flight = 0
        self.budget = TokenBucket(
            write_rps * RATE_FRACTION, max(write_rps * RATE_FRACTION, MIN_BURST_WRITES)
        )
        # The maximum number of writes in a transaction; reduced when the store turns out to allow
        # fewer.
        self.max_writes = max_writes
        self.timeout_s = timeout_s
        self.paused_until = 0.0
        self.pause_s = INITIAL_PAUSE_S

    def submit(self, now: float, operation: Operation) -> None:
        """Queue an operation and send what may be sent; `on_done` is always called once."""
        operation.body_bytes = len(transaction_body(operation.guards, operation.writes))
        self.queues[operation.priority].append(operation)
        self.send_due(now)

    def send_due(self, now: float) -> None:
        """Fail expired operations, then send what the limits allow; called on every tick."""
        for queue in self.queues:
            while queue and queue[0].deadline < now:
                # An operation that was not sent before its deadline fails at once, so that a
                # user's request is answered in time.
                self._finish(now, queue.popleft(), TransactionOutcome.UNAVAILABLE)
        while self.in_flight < self.MAX_IN_FLIGHT and now >= self.paused_until:
            batch = self._next_batch(now)
            if not batch.operations:
                return
            self._send(now, batch)

    def _next_batch(self, now: float) -> Batch:
        """Remove the next batch from the queues, by priority; empty if nothing may be sent now."""
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
        """Put operations that were not applied back to the front of their queues, in order."""
        for operation in reversed(operations):
            self.queues[operation.priority].appendleft(operation)

    def _send(self, now: float, batch: Batch) -> None:
        operations = batch.operations
        for operation in operations:
            operation.sent_at = now
        self.in_flight += 1
        self.outbox.calls.append(
            Call(
                ExternalService.STATE,
                "POST",
                TRANSACTION_PATH,
                lambda now, answer: self._on_answer(now, operations, answer),
                transaction_body(batch.guards, batch.writes),
                self.timeout_s,
            )
        )

    def _on_answer(self, now: float, batch: list[Operation], answer: CallOutcome) -> None:
        self.in_flight -= 1
        status = answer.status
        if status == HTTP_OK:
            applied = decode(answer.body, TransactionApplied)
            self.pause_s = INITIAL_PAUSE_S
            revision = applied.revision if applied else 0
            self._finish_all(now, batch, TransactionOutcome.APPLIED, revision)
        elif status == HTTP_CONFLICT:
            self._on_conflict(now, batch, answer)
        elif status == HTTP_TOO_MANY_REQUESTS:
            self._on_rate_limited(now)
            self._requeue(batch)
        elif status in (HTTP_UNAVAILABLE, NOT_SENT):
            self._finish_all(now, batch, TransactionOutcome.UNAVAILABLE)
        elif status == NO_ANSWER or status >= HTTP_SERVER_ERROR:
            self._finish_all(now, batch, TransactionOutcome.UNKNOWN)
        elif len(batch) > 1:
            self._send_one_by_one(batch, answer)
        else:
            self._finish(now, batch[0], TransactionOutcome.INVALID)
        self.send_due(now)

    def _on_conflict(self, now: float, batch: list[Operation], answer: CallOutcome) -> None:
        """End the operations whose own guards failed; the others are sent again.

        If the answer names no failed guards, all operations end in conflict.
        """
        conflict = decode(answer.body, TransactionConflict)
        failed = set(conflict.failed) if conflict else set()
        unaffected = [
            operation for operation in batch if failed and not failed & set(operation.guards)
        ]
        for operation in batch:
            if operation not in unaffected:
                self._finish(now, operation, TransactionOutcome.CONFLICT)
        self._requeue(unaffected)

    def _on_rate_limited(self, now: float) -> None:
        if now < self.paused_until:
            # This transaction was sent before the last refusal arrived: do not back off again.
            return
        self.budget.reduce_rate(now)
        self.paused_until = now + self.pause_s
        self.pause_s = min(2 * self.pause_s, MAX_PAUSE_S)

    def _send_one_by_one(self, batch: list[Operation], answer: CallOutcome) -> None:
        """Send the operations of a batch that was refused as invalid again, one by one.

        One invalid operation must not make the others fail, and the limits may have been lowered.
        The operations are queued and use the budget like any other.
        """
        writes = sum(len(operation.writes) for operation in batch)
        refused = RefusedBatch(len(batch), writes, LEASE_NOT_FOUND_TEXT in answer.body)
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
        """Report an outcome; the last one of a refused batch may lower `max_writes`."""
        refused, operation.refused_batch = operation.refused_batch, None
        if refused is not None:
            self._update_max_writes(refused, outcome)
        operation.on_done(now, outcome, revision)

    def _update_max_writes(self, refused: RefusedBatch, outcome: TransactionOutcome) -> None:
        refused.remaining -= 1
        refused.cause_found |= outcome not in (
            TransactionOutcome.APPLIED,
            TransactionOutcome.CONFLICT,
        )
        if not refused.remaining and not refused.cause_found:
            # No operation was invalid when sent alone, so the batch had too many writes.
            new_limit = max(MIN_MAX_WRITES, refused.writes // 2)
            self.max_writes = min(self.max_writes, new_limit)

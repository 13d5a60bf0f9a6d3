"""Relaying of workers' heartbeats to the member that owns their machine.

A worker whose heartbeat arrives here for the first time may be cut off from its owner (a network
partition between two zones can outlast a lease). The heartbeat is relayed over the link between
controllers, and the owner's answer, which renews the worker's lease, is returned to the worker. The
worker's next heartbeat is redirected to the owner. If the worker comes back soon after that, it
can't reach the owner, and its heartbeats are relayed for `RELAY_DURATION_LEASES`.

Frames may be late: the owner may answer a heartbeat that an earlier process of this member relayed.
So an answer names its heartbeat, and only the request with exactly that heartbeat gets it. A number
that only this process knows would not do: the earlier process used such numbers too.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from copperpass.core.ports import Outbox, Reply
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.frames.messages import (
    FIRST_IDENTIFIED_NUMBER,
    MAX_RELAY_NUMBER,
    IdentifiedAnswer,
    RelayedAnswer,
    RelayedHeartbeat,
)
from copperpass.protocol.json_codec import error_body
from copperpass.protocol.workers import HeartbeatId

# How long the heartbeats of a worker that can't reach its owner are relayed, in worker leases.
RELAY_DURATION_LEASES = 3
# How long a worker is remembered after its last heartbeat, in worker leases. The size of the fleet
# bounds the number of remembered workers, so there is no other limit on it.
RETENTION_LEASES = RELAY_DURATION_LEASES + 1


@dataclass(slots=True)
class RelayedWorker:
    """A worker that sends its heartbeats here although another member owns its machine."""

    last_heartbeat_at: float
    redirected: bool = False
    relay_until: float = 0.0


@dataclass(frozen=True, slots=True)
class PendingRelay:
    """A relayed heartbeat without an answer so far: the worker's request and its deadline."""

    heartbeat: HeartbeatId
    request: object
    deadline: float


class HeartbeatRelay:
    """Relays heartbeats to owners and returns their answers.

    `pending` is ordered by deadline, `workers` by the time of the last heartbeat. Times are in
    seconds. `first_number` is random: owners of earlier versions return only the number, so answers
    to an earlier process should seldom have a number that this process uses.
    """

    def __init__(self, outbox: Outbox, lease_s: float, timeout_s: float, first_number: int) -> None:
        self.outbox, self.lease_s, self.timeout_s = outbox, lease_s, timeout_s
        self.workers: OrderedDict[str, RelayedWorker] = OrderedDict()
        self.pending: OrderedDict[int, PendingRelay] = OrderedDict()
        self.last_relay_number = FIRST_IDENTIFIED_NUMBER | (first_number & MAX_RELAY_NUMBER)

    def should_relay(self, now: float, machine: str) -> bool:
        """Record a machine's heartbeat; return whether to relay it rather than redirect it."""
        worker = self.workers.get(machine)
        if worker is None or now - worker.last_heartbeat_at > self.lease_s:
            self.workers[machine] = RelayedWorker(now)
            self.workers.move_to_end(machine)
            return True
        worker.last_heartbeat_at = now
        self.workers.move_to_end(machine)
        if worker.redirected:
            worker.redirected = False
            worker.relay_until = now + RELAY_DURATION_LEASES * self.lease_s
        if now < worker.relay_until:
            return True
        worker.redirected = True
        return False

    def relay_heartbeat(
        self, now: float, request: object, heartbeat: HeartbeatId, body: bytes, owner: str
    ) -> None:
        """Relay a heartbeat to the owner; the request is answered by `on_answer` or `tick`."""
        number = self._next_number()
        self.pending[number] = PendingRelay(heartbeat, request, now + self.timeout_s)
        self.outbox.send(owner, RelayedHeartbeat(number, body))

    def _next_number(self) -> int:
        if self.last_relay_number == MAX_RELAY_NUMBER:
            self.last_relay_number = FIRST_IDENTIFIED_NUMBER
        else:
            self.last_relay_number += 1
        return self.last_relay_number

    def on_answer(self, sender: str, frame: IdentifiedAnswer) -> None:
        """Return the owner's answer to the worker; drop it if no request waits for exactly it."""
        pending = self.pending.get(frame.number)
        if pending is None or pending.heartbeat != frame.heartbeat:
            self._log_dropped(sender, frame.number)
            return
        self._reply(frame.number, frame.status, frame.body)

    def on_unidentified_answer(self, sender: str, frame: RelayedAnswer) -> None:
        """Return the answer of an owner of a version up to 0.5.0, which names no heartbeat."""
        if frame.number not in self.pending:
            self._log_dropped(sender, frame.number)
            return
        self._reply(frame.number, frame.status, frame.body)

    def _reply(self, number: int, status: int, body: bytes) -> None:
        pending = self.pending.pop(number)
        self.outbox.replies.append(Reply(pending.request, status, body))

    def _log_dropped(self, sender: str, number: int) -> None:
        self.outbox.log(LogLevel.DEBUG, LogEvent.RELAYED_ANSWER_DROPPED, peer=sender, number=number)

    def tick(self, now: float) -> None:
        """Answer requests whose deadline has passed; forget workers without recent heartbeats."""
        self._remove_inactive_workers(now)
        while self.pending:
            number, pending = next(iter(self.pending.items()))
            if now < pending.deadline:
                break
            self._reply(number, 503, error_body("not reached"))

    def _remove_inactive_workers(self, now: float) -> None:
        """Forget workers whose last heartbeat is older than `RETENTION_LEASES`."""
        while self.workers:
            worker = next(iter(self.workers.values()))
            if now - worker.last_heartbeat_at <= RETENTION_LEASES * self.lease_s:
                break
            self.workers.popitem(last=False)

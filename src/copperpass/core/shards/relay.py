"""Relaying of workers' heartbeats to the member that owns their machine.

A worker whose heartbeat arrives here for the first time may be cut off from its owner (a network
partition between two zones can outlast a lease). The heartbeat is relayed over the link between
controllers, and the owner's answer, which renews the worker's lease, is returned to the worker. The
worker's next heartbeat is redirected to the owner. If the worker comes back soon after that, it
can't reach the owner, and its heartbeats are relayed for `RELAY_DURATION_LEASES`.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from copperpass.core.ports import Outbox, Reply
from copperpass.protocol.frames.messages import RelayedAnswer, RelayedHeartbeat
from copperpass.protocol.json_codec import error_body

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

    request: object
    deadline: float


class HeartbeatRelay:
    """Relays heartbeats to owners and returns their answers.

    `pending` is ordered by deadline, `workers` by the time of the last heartbeat. Times are in
    seconds.
    """

    def __init__(self, outbox: Outbox, lease_s: float, timeout_s: float) -> None:
        self.outbox, self.lease_s, self.timeout_s = outbox, lease_s, timeout_s
        self.workers: OrderedDict[str, RelayedWorker] = OrderedDict()
        self.pending: OrderedDict[int, PendingRelay] = OrderedDict()
        self.last_relay_number = 0

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

    def relay_heartbeat(self, now: float, request: object, body: bytes, owner: str) -> None:
        """Relay a heartbeat to the owner; the request is answered by `on_answer` or `tick`."""
        self.last_relay_number = (self.last_relay_number + 1) & 0xFFFFFFFF
        self.pending[self.last_relay_number] = PendingRelay(request, now + self.timeout_s)
        self.outbox.send(owner, RelayedHeartbeat(self.last_relay_number, body))

    def on_answer(self, frame: RelayedAnswer) -> None:
        """Return the owner's answer to the worker; drop it if it comes after the deadline."""
        pending = self.pending.pop(frame.number, None)
        if pending is not None:
            self.outbox.replies.append(Reply(pending.request, frame.status, frame.body))

    def tick(self, now: float) -> None:
        """Answer requests whose deadline has passed; forget workers without recent heartbeats."""
        self._remove_inactive_workers(now)
        while self.pending:
            number, pending = next(iter(self.pending.items()))
            if now < pending.deadline:
                break
            del self.pending[number]
            self.outbox.replies.append(Reply(pending.request, 503, error_body("not reached")))

    def _remove_inactive_workers(self, now: float) -> None:
        """Forget workers whose last heartbeat is older than `RETENTION_LEASES`."""
        while self.workers:
            worker = next(iter(self.workers.values()))
            if now - worker.last_heartbeat_at <= RETENTION_LEASES * self.lease_s:
                break
            self.workers.popitem(last=False)

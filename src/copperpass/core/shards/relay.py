"""Relaying of workers' heartbeats to the member that owns their machine.

A worker that comes for the first time may have lost its way to the owner (a network partition
between two zones can outlast a lease): its heartbeat is relayed over the link between controllers
and the owner's answer returned, which renews its lease. Its next heartbeat is redirected. If it
comes back soon after that, it can't reach the owner, and its heartbeats are relayed from then on.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from copperpass.core.ports import Outbox, Reply
from copperpass.protocol.frames.messages import RelayedAnswer, RelayedHeartbeat
from copperpass.protocol.json_codec import error_body

# For so many leases the heartbeats of a worker that can't reach its owner are relayed.
RELAY_LEASES = 3
# A worker that hasn't come for longer than that is forgotten: bounded by the fleet, not by a count.
FORGET_LEASES = RELAY_LEASES + 1


@dataclass(slots=True)
class RelayedWorker:
    """A worker whose heartbeats arrive here although another member owns its machine."""

    last_heartbeat_at: float
    redirected: bool = False
    relay_until: float = 0.0


@dataclass(frozen=True, slots=True)
class PendingRelay:
    """A relayed heartbeat whose answer hasn't come: the worker's request, and how long it waits."""

    request: object
    deadline: float


class HeartbeatRelay:
    """Relays heartbeats to owners and returns their answers.

    `pending` is in the order of the deadlines, `workers` in that of the last heartbeats. Times are
    in seconds.
    """

    def __init__(self, out: Outbox, lease_s: float, timeout_s: float) -> None:
        self.out, self.lease_s, self.timeout_s = out, lease_s, timeout_s
        self.workers: OrderedDict[str, RelayedWorker] = OrderedDict()
        self.pending: OrderedDict[int, PendingRelay] = OrderedDict()
        self.last_number = 0

    def should_relay(self, now: float, machine: str) -> bool:
        """Whether a machine's heartbeat is to be relayed rather than redirected."""
        worker = self.workers.get(machine)
        if worker is None or now - worker.last_heartbeat_at > self.lease_s:
            self.workers[machine] = RelayedWorker(now)
            self.workers.move_to_end(machine)
            return True
        worker.last_heartbeat_at = now
        self.workers.move_to_end(machine)
        if worker.redirected:
            worker.redirected = False
            worker.relay_until = now + RELAY_LEASES * self.lease_s
        if now < worker.relay_until:
            return True
        worker.redirected = True
        return False

    def relay_heartbeat(self, now: float, request: object, body: bytes, owner: str) -> None:
        """Relay a heartbeat to the owner; the request is answered later."""
        self.last_number = (self.last_number + 1) & 0xFFFFFFFF
        self.pending[self.last_number] = PendingRelay(request, now + self.timeout_s)
        self.out.send(owner, RelayedHeartbeat(self.last_number, body))

    def on_answer(self, frame: RelayedAnswer) -> None:
        """Return the owner's answer; one that comes after the deadline is dropped."""
        pending = self.pending.pop(frame.number, None)
        if pending is not None:
            self.out.replies.append(Reply(pending.request, frame.status, frame.body))

    def tick(self, now: float) -> None:
        """Answer the requests whose deadline has passed; forget workers that stay away."""
        self._forget_workers(now)
        while self.pending:
            number, pending = next(iter(self.pending.items()))
            if now < pending.deadline:
                break
            del self.pending[number]
            self.out.replies.append(Reply(pending.request, 503, error_body("not reached")))

    def _forget_workers(self, now: float) -> None:
        """Forget the workers that haven't come for longer than their state matters."""
        while self.workers:
            worker = next(iter(self.workers.values()))
            if now - worker.last_heartbeat_at <= FORGET_LEASES * self.lease_s:
                break
            self.workers.popitem(last=False)

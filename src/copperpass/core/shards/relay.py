"""Workers whose reports reach a controller that doesn't command them.

A worker that comes for the first time may have lost its way to its commander (a cut between two
zones holds for longer than a lease): its report is handed on over the link between controllers
and the commander's answer handed back, which renews its lease. Its next report is referred. If it
comes back soon after that, it can't get there, and its reports are handed on from then on.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from copperpass.core.ports import Outbox, Reply
from copperpass.protocol.frames.messages import RelayedAnswer, RelayedHeartbeat
from copperpass.protocol.json_codec import error_body

# Workers that can't reach their owner have their reports relayed for so many leases.
STUCK_LEASES = 3
# A worker that hasn't come for longer than that is forgotten: bounded by the fleet, not by a count.
FORGOTTEN_LEASES = STUCK_LEASES + 1


@dataclass(slots=True)
class RelayedWorker:
    """A worker that reports here although another node commands it."""

    last_heartbeat_at: float
    referred: bool = False
    relay_until: float = 0.0


class HeartbeatRelay:
    """Hands reports on, and answers them with what comes back."""

    def __init__(self, out: Outbox, lease_s: float, wait_s: float) -> None:
        self.out, self.lease_s, self.timeout_s = out, lease_s, wait_s
        self.workers: OrderedDict[str, RelayedWorker] = OrderedDict()
        self.pending: OrderedDict[int, tuple[float, object]] = OrderedDict()
        self.last_number = 0

    def should_relay(self, now: float, machine: str) -> bool:
        """Whether a machine's report is to be handed on rather than referred."""
        worker = self.workers.get(machine)
        if worker is None or now - worker.last_heartbeat_at > self.lease_s:
            self.workers[machine] = RelayedWorker(now)
            self.workers.move_to_end(machine)
            return True
        worker.last_heartbeat_at = now
        self.workers.move_to_end(machine)
        if worker.referred:
            worker.referred = False
            worker.relay_until = now + STUCK_LEASES * self.lease_s
        if now < worker.relay_until:
            return True
        worker.referred = True
        return False

    def relay_heartbeat(self, now: float, request: object, body: bytes, member: str) -> None:
        """Send a report on."""
        self.last_number = (self.last_number + 1) & 0xFFFFFFFF
        self.pending[self.last_number] = (now + self.timeout_s, request)
        self.out.send(member, RelayedHeartbeat(self.last_number, body))

    def on_answer(self, frame: RelayedAnswer) -> None:
        """Pass an answer back; one that comes too late finds nobody waiting."""
        held = self.pending.pop(frame.number, None)
        if held is not None:
            self.out.replies.append(Reply(held[1], frame.status, frame.body))

    def tick(self, now: float) -> None:
        """Send on their way those who wait for too long; forget workers that are long gone."""
        self._forget(now)
        while self.pending:
            number, (until, request) = next(iter(self.pending.items()))
            if now < until:
                break
            del self.pending[number]
            self.out.replies.append(Reply(request, 503, error_body("not reached")))

    def _forget(self, now: float) -> None:
        """Forget the workers that haven't come for longer than anything of them counts."""
        while self.workers:
            worker = next(iter(self.workers.values()))
            if now - worker.last_heartbeat_at <= FORGOTTEN_LEASES * self.lease_s:
                break
            self.workers.popitem(last=False)

"""Heartbeats between members: who is connected, and how recent their watch caches are."""

from __future__ import annotations

from collections.abc import Sequence

from copperpass.core.election.timings import ElectionTimings
from copperpass.core.ports import Outbox
from copperpass.protocol.frames.messages import NEVER_ANSWERED, MemberHeartbeat


class PeerHeartbeats:
    """Sends this member's heartbeats, and keeps when each peer was last heard and what it knew."""

    def __init__(
        self, peers: Sequence[str], timings: ElectionTimings, out: Outbox, now: float
    ) -> None:
        self.peers, self.timings, self.out = peers, timings, out
        self._last_frame_at: dict[str, float] = {}
        self._consistent_at: dict[str, float] = {}
        self._next_at = now

    def on_frame(self, now: float, sender: str) -> None:
        """Any frame is a sign of life."""
        self._last_frame_at[sender] = now

    def on_heartbeat(self, now: float, sender: str, heartbeat: MemberHeartbeat) -> None:
        """A peer says how old its watch cache is."""
        if heartbeat.state_age_ms != NEVER_ANSWERED:
            self._consistent_at[sender] = now - heartbeat.state_age_ms / 1000

    def is_connected(self, now: float, member: str) -> bool:
        """Whether a peer's heartbeats, four in a vote's length, come in."""
        last_frame_at = self._last_frame_at.get(member, float("-inf"))
        return now - last_frame_at < self.timings.vote_s

    def any_alive(self, now: float) -> bool:
        """Whether any peer was heard within the leader key's time to live."""
        ttl = self.timings.leader_ttl_s
        return any(now - last_frame_at < ttl for last_frame_at in self._last_frame_at.values())

    def is_behind(self, consistent_at: float) -> bool:
        """Whether another member's watch cache is much more recent than one of that time."""
        latest = max(self._consistent_at.values(), default=float("-inf"))
        return latest - consistent_at > self.timings.leader_ttl_s

    def send_if_due(self, now: float, token: int, consistent_at: float) -> bool:
        """Send a heartbeat to every peer when it is time; returns whether it was.

        It carries the watch cache's time, not that of the last answered request: an answer to a
        write says nothing of which changes this member knows.
        """
        if now < self._next_at:
            return False
        self._next_at = now + self.timings.vote_s / 4
        heartbeat = MemberHeartbeat(token, _age_ms(now, consistent_at))
        for peer in self.peers:
            self.out.send(peer, heartbeat)
        return True


def _age_ms(now: float, consistent_at: float) -> int:
    if consistent_at <= 0:
        return NEVER_ANSWERED
    return min(NEVER_ANSWERED - 1, int((now - consistent_at) * 1000))

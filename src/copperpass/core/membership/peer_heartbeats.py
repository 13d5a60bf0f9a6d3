"""Heartbeats between members: which peers are connected, and how recent their caches are."""

from __future__ import annotations

from collections.abc import Sequence

from copperpass.core.election.timings import ElectionTimings
from copperpass.core.ports import Outbox
from copperpass.protocol.frames.messages import (
    NEVER_CONSISTENT,
    OWN_FEATURES,
    FrameFeature,
    MemberHeartbeat,
)


class PeerHeartbeats:
    """Sends heartbeats; tracks when each peer last sent a frame and the age of its watch cache."""

    def __init__(
        self, peers: Sequence[str], timings: ElectionTimings, outbox: Outbox, now: float
    ) -> None:
        self.peers, self.timings, self.outbox = peers, timings, outbox
        self._last_frame_at: dict[str, float] = {}
        self._peer_consistent_at: dict[str, float] = {}
        self._features: dict[str, FrameFeature] = {}
        self._next_send_at = now

    def on_frame(self, now: float, sender: str) -> None:
        """Record that a peer is alive; called for frames of any kind."""
        self._last_frame_at[sender] = now

    def on_heartbeat(self, now: float, sender: str, heartbeat: MemberHeartbeat) -> None:
        """Record up to which time, on this member's clock, a peer's watch cache is consistent.

        Records as well which frames the peer knows: it may have gone back to an earlier version.
        """
        self._features[sender] = heartbeat.features
        if heartbeat.cache_age_ms != NEVER_CONSISTENT:
            self._peer_consistent_at[sender] = now - heartbeat.cache_age_ms / 1000

    def is_connected(self, now: float, member: str) -> bool:
        """Whether a frame of a peer arrived within `vote_s`, which is four heartbeat intervals."""
        last_frame_at = self._last_frame_at.get(member, float("-inf"))
        return now - last_frame_at < self.timings.vote_s

    def knows_start_permits(self, now: float, member: str) -> bool:
        """Whether a connected peer knows `StartPermit` and the frames that go with it."""
        return self._knows(now, member, FrameFeature.START_PERMITS)

    def knows_final_states(self, now: float, member: str) -> bool:
        """Whether a connected peer knows `FinalStateNotice` and its acknowledgement."""
        return self._knows(now, member, FrameFeature.FINAL_STATES)

    def _knows(self, now: float, member: str, feature: FrameFeature) -> bool:
        """Whether a connected peer knows the frames of a feature.

        Versions up to 0.3.0 close the connection on a frame that they don't know.
        """
        features = self._features.get(member, FrameFeature.NONE)
        return self.is_connected(now, member) and feature in features

    def any_peer_alive(self, now: float) -> bool:
        """Whether a frame of any peer arrived within the TTL of the leader key."""
        ttl_s = self.timings.leader_ttl_s
        return any(now - last_frame_at < ttl_s for last_frame_at in self._last_frame_at.values())

    def is_behind(self, consistent_at: float) -> bool:
        """Whether a peer's cache is more recent than `consistent_at` by over a leader key's TTL."""
        latest = max(self._peer_consistent_at.values(), default=float("-inf"))
        return latest - consistent_at > self.timings.leader_ttl_s

    def send_if_due(self, now: float, token: int, consistent_at: float) -> bool:
        """Send a heartbeat to every peer if one is due; returns whether it was.

        The heartbeat carries the age of the watch cache, not of the last answered request: an
        answer to a write does not show which changes this member has received.
        """
        if now < self._next_send_at:
            return False
        self._next_send_at = now + self.timings.vote_s / 4
        heartbeat = MemberHeartbeat(token, _age_ms(now, consistent_at), OWN_FEATURES)
        for peer in self.peers:
            self.outbox.send(peer, heartbeat)
        return True


def _age_ms(now: float, consistent_at: float) -> int:
    """The age of the watch cache in ms, or `NEVER_CONSISTENT` if it was never consistent."""
    if consistent_at <= 0:
        return NEVER_CONSISTENT
    return min(NEVER_CONSISTENT - 1, int((now - consistent_at) * 1000))

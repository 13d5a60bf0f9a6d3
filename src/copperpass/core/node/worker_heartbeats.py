"""Routing of workers' heartbeats: answered here, relayed to the machine's owner or redirected."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.membership.peer_heartbeats import PeerHeartbeats
from copperpass.core.node.leadership import Leadership
from copperpass.core.ports import Outbox, Reply
from copperpass.core.shards.grant_client import GrantClient
from copperpass.core.shards.relay import HeartbeatRelay
from copperpass.protocol.frames.messages import (
    FIRST_IDENTIFIED_NUMBER,
    IdentifiedAnswer,
    RelayedAnswer,
    RelayedHeartbeat,
)
from copperpass.protocol.json_codec import decode, encode, error_body
from copperpass.protocol.workers import WorkerHeartbeat, redirect_body


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerHeartbeatRouter:
    """Answers heartbeats of own machines; relays others to their owner or redirects the worker."""

    member: str
    outbox: Outbox
    election: LeaderElection
    leadership: Leadership
    grant_client: GrantClient
    peer_heartbeats: PeerHeartbeats
    relay: HeartbeatRelay

    def on_request(self, now: float, request: object, body: bytes) -> None:
        """Answer, relay or redirect a heartbeat that a worker has sent to this member over HTTP."""
        heartbeat = decode(body, WorkerHeartbeat)
        if heartbeat is None:
            self.outbox.replies.append(Reply(request, 400, error_body("malformed report")))
            return
        owner = self.grant_client.owner_of(heartbeat.machine)
        if owner is None:
            owner = self._find_owner(now, heartbeat)
            is_own = owner == self.member and self.leadership.cluster_manager is not None
        else:
            is_own = owner == self.member
        if is_own:
            self.outbox.replies.append(Reply(request, *self._answer(now, heartbeat, False)))
        else:
            self._relay_or_redirect(now, request, heartbeat, body, owner)

    def on_relayed(self, now: float, sender: str, frame: RelayedHeartbeat) -> None:
        """Answer a heartbeat that another member has relayed; a malformed one gets no answer."""
        heartbeat = decode(frame.body, WorkerHeartbeat)
        if heartbeat is None:
            return
        status, body = self._answer(now, heartbeat, True)
        if frame.number >= FIRST_IDENTIFIED_NUMBER:
            answer = IdentifiedAnswer(frame.number, heartbeat.id, status, body)
            self.outbox.send(sender, answer)
        else:
            self.outbox.send(sender, RelayedAnswer(frame.number, status, body))

    def _relay_or_redirect(
        self,
        now: float,
        request: object,
        heartbeat: WorkerHeartbeat,
        body: bytes,
        owner: str | None,
    ) -> None:
        """Relay a heartbeat to the machine's owner, or redirect its worker to another member."""
        connected = owner is not None and self.peer_heartbeats.is_connected(now, owner)
        if owner is not None and connected and self.relay.should_relay(now, heartbeat.machine):
            self.relay.relay_heartbeat(now, request, heartbeat.id, body, owner)
            return
        if owner is not None and not connected:
            # The worker probably can't reach the owner either, but another member may.
            owner = next(
                (
                    peer
                    for peer in self.election.peers
                    if peer != owner and self.peer_heartbeats.is_connected(now, peer)
                ),
                None,
            )
        self.outbox.replies.append(Reply(request, 421, redirect_body(owner)))

    def _find_owner(self, now: float, heartbeat: WorkerHeartbeat) -> str | None:
        """The member that should answer a machine without a known owner; None if undecided.

        The leader assigns the machine to a shard; other members name the leader.
        """
        cluster_manager = self.leadership.cluster_manager
        if cluster_manager is not None:
            if not cluster_manager.ready or not self.election.has_authority(now):
                return None
            cluster_manager.on_unowned_heartbeat(now, heartbeat)
            self.grant_client.refresh(now)
            return self.grant_client.owner_of(heartbeat.machine)
        leader = self.election.leader_name()
        return leader if leader != self.member else None

    def _answer(self, now: float, heartbeat: WorkerHeartbeat, relayed: bool) -> tuple[int, bytes]:
        """Answer a heartbeat as the machine's owner; return the HTTP status and the body."""
        route = self.grant_client.routing_table.routes.get(heartbeat.machine)
        scheduler = self.grant_client.schedulers.get(route.shard) if route is not None else None
        if scheduler is None or not self.grant_client.has_authority(now):
            if self.leadership.cluster_manager is not None and route is None and relayed:
                self._find_owner(now, heartbeat)
            return 421, redirect_body(None)
        answer = scheduler.worker_heartbeat(now, heartbeat, relayed)
        if answer is None:
            return 503, error_body("not commanded here")
        return 200, encode(answer)

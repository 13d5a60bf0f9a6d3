"""Dispatches frames from other members to the node's components by frame type."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from copperpass.core.api.final_states import FinalStates
from copperpass.core.autoscaling.cluster_manager import ClusterManager
from copperpass.core.cancellations.confirmations import CancellationConfirmations
from copperpass.core.cancellations.start_permits import StartPermits
from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.membership.peer_heartbeats import PeerHeartbeats
from copperpass.core.membership.running_counts import RunningCountExchange
from copperpass.core.node.cancellations import CancelledJobs
from copperpass.core.node.leadership import Leadership
from copperpass.core.node.worker_heartbeats import WorkerHeartbeatRouter
from copperpass.core.ports import Outbox
from copperpass.core.shards.grant_client import GrantClient
from copperpass.core.shards.relay import HeartbeatRelay
from copperpass.protocol.frames.messages import (
    CancellationAcknowledged,
    CapacityRequests,
    FinalStateAcknowledged,
    FinalStateNotice,
    Frame,
    Grant,
    GrantRequest,
    IdentifiedAnswer,
    JobCancelled,
    LeaseExtensionRequest,
    LeaseExtensionVote,
    MachineStatusUpdates,
    MemberHeartbeat,
    RelayedAnswer,
    RelayedHeartbeat,
    RouteUpdates,
    RunningCounts,
    StartPermit,
    StartPermitRequest,
    ZoneAffinities,
)

# Called with the time, the sender and a frame of the type that the handler is registered for.
Handler = Callable[[float, str, Any], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class FrameTargets:
    """The components that handle frames."""

    outbox: Outbox
    election: LeaderElection
    leadership: Leadership
    grant_client: GrantClient
    peer_heartbeats: PeerHeartbeats
    running_counts: RunningCountExchange
    cancelled_jobs: CancelledJobs
    confirmations: CancellationConfirmations
    start_permits: StartPermits
    final_states: FinalStates
    relay: HeartbeatRelay
    worker_heartbeats: WorkerHeartbeatRouter


class FrameRouter:
    """Dispatches each frame; ignores types without a handler, which a later version may send."""

    def __init__(self, targets: FrameTargets) -> None:
        self.targets = targets
        self._handlers: dict[type[Frame], Handler] = {
            MemberHeartbeat: targets.peer_heartbeats.on_heartbeat,
            RunningCounts: self._on_running_counts,
            JobCancelled: targets.cancelled_jobs.on_notice,
            CancellationAcknowledged: targets.confirmations.on_acknowledged,
            StartPermitRequest: targets.confirmations.on_permit_request,
            StartPermit: self._on_start_permit,
            FinalStateNotice: targets.final_states.on_notice,
            FinalStateAcknowledged: targets.final_states.on_acknowledged,
            RelayedHeartbeat: targets.worker_heartbeats.on_relayed,
            RelayedAnswer: self._on_relayed_answer,
            IdentifiedAnswer: self._on_identified_answer,
            LeaseExtensionRequest: targets.election.on_extension_request,
            LeaseExtensionVote: targets.election.on_extension_vote,
            Grant: targets.grant_client.on_grant,
            RouteUpdates: targets.grant_client.on_routes,
            GrantRequest: self._on_grant_request,
            MachineStatusUpdates: self._on_machine_statuses,
            CapacityRequests: self._on_capacity_requests,
            ZoneAffinities: self._on_zone_affinities,
        }

    def on_frame(self, now: float, sender: str, frame: Frame) -> None:
        """Handle a frame; a frame of any type also proves that its sender is connected."""
        self.targets.peer_heartbeats.on_frame(now, sender)
        handler = self._handlers.get(type(frame))
        if handler is not None:
            handler(now, sender, frame)

    def _on_running_counts(self, now: float, sender: str, frame: RunningCounts) -> None:
        self.targets.running_counts.on_frame(sender, frame)

    def _on_start_permit(self, now: float, sender: str, frame: StartPermit) -> None:
        self.targets.start_permits.on_permit(sender, frame)

    def _on_relayed_answer(self, now: float, sender: str, frame: RelayedAnswer) -> None:
        self.targets.relay.on_unidentified_answer(sender, frame)

    def _on_identified_answer(self, now: float, sender: str, frame: IdentifiedAnswer) -> None:
        self.targets.relay.on_answer(sender, frame)

    # -- frames to the leader -------------------------------------------------------------

    def _manager_of_term(self, epoch: int) -> ClusterManager | None:
        """The cluster manager if it belongs to the term `epoch` of a frame; None otherwise."""
        cluster_manager = self.targets.leadership.cluster_manager
        if cluster_manager is None or cluster_manager.epoch != epoch:
            return None
        return cluster_manager

    def _on_grant_request(self, now: float, sender: str, frame: GrantRequest) -> None:
        cluster_manager = self.targets.leadership.cluster_manager
        grant = cluster_manager.on_grant_request(now, sender, frame) if cluster_manager else None
        if grant is not None:
            self.targets.outbox.send(sender, grant)

    def _on_machine_statuses(self, now: float, sender: str, frame: MachineStatusUpdates) -> None:
        cluster_manager = self._manager_of_term(frame.epoch)
        member = cluster_manager.members.get(sender) if cluster_manager is not None else None
        if cluster_manager is None or member is None:
            return
        # Each process of a member numbers its updates from the start.
        is_current = member.incarnation == frame.incarnation
        if is_current and member.replication_receiver.accept(
            frame.after_sequence, frame.last_sequence
        ):
            cluster_manager.on_machine_statuses(now, sender, frame.statuses)

    def _on_capacity_requests(self, now: float, sender: str, frame: CapacityRequests) -> None:
        cluster_manager = self._manager_of_term(frame.epoch)
        if cluster_manager is not None:
            cluster_manager.on_capacity_requests(now, frame)

    def _on_zone_affinities(self, now: float, sender: str, frame: ZoneAffinities) -> None:
        cluster_manager = self._manager_of_term(frame.epoch)
        if cluster_manager is not None:
            cluster_manager.on_zone_affinities(frame)

"""A member's side of the grants: follows the leader's term and owns shards by its grants."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.autoscaling.cluster_manager import ClusterManager
from copperpass.core.scheduling.context import Images
from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.core.shards.grant_requests import GrantRequests
from copperpass.core.shards.owned_shards import OwnedShards
from copperpass.core.shards.owner_reports import OwnerReports
from copperpass.core.shards.replication import ReplicationReceiver, ReplicationSender
from copperpass.core.shards.routing_table import RoutingTable
from copperpass.core.shards.term import FollowedTerm, GrantClientContext
from copperpass.protocol.frames.messages import Grant, GrantRequest, MachineRoute, RouteUpdates

# Statuses of machines are reported so many times as often as grants are requested.
REPORTS_PER_REQUEST = 4
ALL_ENTRIES = 1 << 30


class GrantClient:
    """Follows one leader's term at a time; routes, assignments and schedulers end with it.

    Where the member itself leads, it reads the cluster manager's log and assignments directly and
    is entitled to its shards for as long as it is to lead.
    """

    def __init__(self, context: GrantClientContext) -> None:
        self.context = context
        self.incarnation = context.incarnation
        # Off while others have a fresher watch cache than this member: its grants run out then.
        self.requests_enabled = True
        self.table = RoutingTable()
        self.shards = OwnedShards(context.member, context.make_scheduler, self.table)
        self.images: Images = {}
        self.token_version = 0
        self._begin(FollowedTerm(0, ""))

    def _begin(self, term: FollowedTerm) -> None:
        """Follow another term: all that belongs to the one before ends."""
        self.term = term
        self.table.begin_term()
        self.shards.begin_term()
        self.requests = GrantRequests(self.context.grant_s)
        self.reports = OwnerReports(
            self.context, term, self.requests.interval_s / REPORTS_PER_REQUEST
        )
        self.replication_receiver = ReplicationReceiver()
        manager = term.cluster_manager
        self.local_sender = ReplicationSender(manager.replication_log) if manager else None
        self.on_demand_excess = True

    @property
    def epoch(self) -> int:
        """The fencing token of the followed term."""
        return self.term.epoch

    @property
    def leader(self) -> str:
        """The member that leads the followed term; empty while none is followed."""
        return self.term.leader

    @property
    def schedulers(self) -> dict[int, ShardScheduler]:
        """The schedulers of the shards that this member owns."""
        return self.shards.schedulers

    # -- the followed term ----------------------------------------------------------------

    def follow(self, leader: str, epoch: int) -> None:
        """Another member leads."""
        if (leader, epoch) != (self.leader, self.epoch) and epoch >= self.epoch:
            self._begin(FollowedTerm(epoch, leader))

    def lead(self, cluster_manager: ClusterManager) -> None:
        """The member leads by itself."""
        self._begin(FollowedTerm(cluster_manager.epoch, self.context.member, cluster_manager))

    def unfollow(self) -> None:
        """No term is followed: every ownership ends."""
        self._begin(FollowedTerm(self.epoch, ""))

    def has_authority(self, now: float) -> bool:
        """Whether this member owns its shards at this moment."""
        manager = self.term.cluster_manager
        if manager is not None:
            return manager.election.has_authority(now)
        return now < min(self.requests.valid_until, self.context.watch_cache_valid_until())

    def owner_of(self, machine: str) -> str | None:
        """The member that owns a machine's shard; None where that is not known."""
        return self.table.owner_of(machine)

    # -- time -----------------------------------------------------------------------------

    def tick(self, now: float, watch_revision: int) -> None:
        """Renew the grants, run the schedulers, report to the leader."""
        if not self.leader:
            return
        if self.term.cluster_manager is not None:
            self.refresh(now)
        elif now >= self.requests.next_request_at and self.requests_enabled:
            self._request_grant(now)
        self.shards.tick(
            now, watch_revision, self.replication_receiver.applied_sequence, self.on_demand_excess
        )
        if self.reports.statuses_due(now, self.schedulers.values()) and self.has_authority(now):
            self.reports.report_statuses(now, self.schedulers.values())
            if self.term.cluster_manager is not None:
                self.reports.acknowledge_all()
                self.refresh(now)
        if self.reports.capacity_due(now, self.schedulers.values()) and self.has_authority(now):
            self.reports.request_capacity(
                now, self.schedulers, self.replication_receiver.applied_sequence
            )

    def _request_grant(self, now: float) -> None:
        request = GrantRequest(
            self.epoch,
            self.incarnation,
            self.requests.next_number(now),
            self.replication_receiver.applied_sequence,
        )
        self.context.out.send(self.leader, request)

    def refresh(self, now: float) -> None:
        """Where this member leads: apply the cluster manager's routes and assignments at once."""
        manager = self.term.cluster_manager
        if manager is None or self.local_sender is None:
            return
        batch = self.local_sender.next_batch(ALL_ENTRIES)
        self.replication_receiver.applied_sequence = batch.last_sequence
        self.on_demand_excess = manager.on_demand_excess
        self.token_version = manager.token_version()
        self._apply_routes(now, batch.entries)
        self.shards.apply_assignments(now, manager.assignments())

    # -- frames from the leader -----------------------------------------------------------

    def on_grant(self, now: float, sender: str, grant: Grant) -> None:
        """The leader has answered a request."""
        if (
            sender != self.leader
            or grant.epoch != self.epoch
            or grant.incarnation != self.incarnation
            or not self.requests.accept(grant)
        ):
            return
        self.token_version = grant.token_version
        self.on_demand_excess = grant.on_demand_excess
        self.reports.on_acknowledged(grant.acknowledged_sequence)
        self.shards.apply_assignments(now, grant.assignments)

    def on_routes(self, now: float, sender: str, updates: RouteUpdates) -> None:
        """The leader has replicated routes."""
        if (
            sender == self.leader
            and updates.epoch == self.epoch
            and updates.incarnation == self.incarnation
            and self.replication_receiver.accept(updates.after_sequence, updates.last_sequence)
        ):
            self._apply_routes(now, updates.routes)

    def _apply_routes(self, now: float, routes: Iterable[MachineRoute]) -> None:
        for route in routes:
            self.table.apply_route(route)
            if route.deleted:
                self.reports.forget(route.name)
            self.shards.on_route(now, route)

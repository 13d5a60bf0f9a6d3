"""A member's side of shard grants: follows the leader's term and owns shards by its grants."""

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

# Reports of machine statuses in the interval between two grant requests.
STATUS_REPORTS_PER_GRANT_REQUEST = 4
# Batch limit where the leader reads its own log: higher than any number of entries.
UNLIMITED_ENTRIES = 1 << 30


class GrantClient:
    """Follows one leader's term at a time; routes, assignments and schedulers end with the term.

    A member that is the leader itself reads the cluster manager's replication log and assignments
    directly, and owns its shards for as long as it has the authority to lead.
    """

    def __init__(self, context: GrantClientContext) -> None:
        self.context = context
        self.incarnation = context.incarnation
        # False while the watch cache is behind those of other members: the grants then expire.
        self.requests_enabled = True
        self.routing_table = RoutingTable()
        self.owned_shards = OwnedShards(context.member, context.make_scheduler, self.routing_table)
        self.images: Images = {}
        self.token_version = 0
        self._begin(FollowedTerm(0, ""))

    def _begin(self, term: FollowedTerm) -> None:
        """Follow another term and discard the state of the previous one."""
        self.term = term
        self.routing_table.begin_term()
        self.owned_shards.begin_term()
        self.requests = GrantRequests(self.context.grant_s)
        self.reports = OwnerReports(
            self.context, term, self.requests.interval_s / STATUS_REPORTS_PER_GRANT_REQUEST
        )
        self.replication_receiver = ReplicationReceiver()
        manager = term.cluster_manager
        self.local_sender = ReplicationSender(manager.replication_log) if manager else None
        self.on_demand_excess = True

    @property
    def epoch(self) -> int:
        """The epoch of the followed term, which is its leader's fencing token; 0 before the first.

        It is kept when this member stops following the term.
        """
        return self.term.epoch

    @property
    def leader(self) -> str:
        """The member that leads the followed term; empty while no term is followed."""
        return self.term.leader

    @property
    def schedulers(self) -> dict[int, ShardScheduler]:
        """The schedulers of the shards that this member owns."""
        return self.owned_shards.schedulers

    def follow(self, leader: str, epoch: int) -> None:
        """Follow another member's term; ignore a term with a lower epoch than the current one."""
        if (leader, epoch) != (self.leader, self.epoch) and epoch >= self.epoch:
            self._begin(FollowedTerm(epoch, leader))

    def lead(self, cluster_manager: ClusterManager) -> None:
        """Follow the term that this member leads itself."""
        self._begin(FollowedTerm(cluster_manager.epoch, self.context.member, cluster_manager))

    def unfollow(self) -> None:
        """Stop following a term; this member then owns no shard."""
        self._begin(FollowedTerm(self.epoch, ""))

    def has_authority(self, now: float) -> bool:
        """Whether this member still owns its shards at `now`."""
        manager = self.term.cluster_manager
        if manager is not None:
            return manager.election.has_authority(now)
        return now < min(self.requests.valid_until, self.context.watch_cache_valid_until())

    def owner_of(self, machine: str) -> str | None:
        """The member that owns a machine's shard; None if unknown."""
        return self.routing_table.owner_of(machine)

    def tick(self, now: float, watch_revision: int) -> None:
        """Renew the grants, run the schedulers and report to the leader, each when due."""
        if not self.leader:
            return
        if self.term.cluster_manager is not None:
            self.refresh(now)
        elif now >= self.requests.next_request_at and self.requests_enabled:
            self._request_grant(now)
        self.owned_shards.tick(
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
        self.context.outbox.send(self.leader, request)

    def refresh(self, now: float) -> None:
        """Apply the cluster manager's routes and assignments at once if this member leads."""
        manager = self.term.cluster_manager
        if manager is None or self.local_sender is None:
            return
        batch = self.local_sender.next_batch(UNLIMITED_ENTRIES)
        self.replication_receiver.applied_sequence = batch.last_sequence
        self.on_demand_excess = manager.on_demand_excess
        self.token_version = manager.token_version()
        self._apply_routes(now, batch.entries)
        self.owned_shards.apply_assignments(now, manager.assignments())

    def on_grant(self, now: float, sender: str, grant: Grant) -> None:
        """Apply a grant of the followed leader if it answers an open request of this process."""
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
        self.owned_shards.apply_assignments(now, grant.assignments)

    def on_routes(self, now: float, sender: str, updates: RouteUpdates) -> None:
        """Apply a batch of routes from the followed leader, unless it is stale or leaves a gap."""
        if (
            sender == self.leader
            and updates.epoch == self.epoch
            and updates.incarnation == self.incarnation
            and self.replication_receiver.accept(updates.after_sequence, updates.last_sequence)
        ):
            self._apply_routes(now, updates.routes)

    def _apply_routes(self, now: float, routes: Iterable[MachineRoute]) -> None:
        for route in routes:
            self.routing_table.apply_route(route)
            if route.deleted:
                self.reports.remove_machine(route.name)
            self.owned_shards.on_route(now, route)

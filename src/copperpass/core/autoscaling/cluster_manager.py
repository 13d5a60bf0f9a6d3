"""Runs the leader's control loop: ownership of shards and machines, scale-out and scale-in."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.autoscaling.cloud_listing import CloudListing
from copperpass.core.autoscaling.instance_requests import InstanceRequests
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.machine_tracking import MachineTracker
from copperpass.core.autoscaling.planner import Planner
from copperpass.core.autoscaling.state import UNKNOWN_REVISION, ClusterManagerContext, ClusterState
from copperpass.core.kvstore.keys import INVENTORY_KEY
from copperpass.core.shards.grants import ShardGrants
from copperpass.core.storage.cached_inventory import CachedInventory, page_number
from copperpass.log_events import LogEvent, LogLevel, StepDownReason
from copperpass.protocol.frames.messages import (
    CapacityRequests,
    Grant,
    GrantRequest,
    MachineStatus,
    ShardAssignment,
    ZoneAffinities,
)
from copperpass.protocol.workers import WorkerHeartbeat

__all__ = ["UNKNOWN_REVISION", "ClusterManager", "ClusterManagerContext"]


class ClusterManager:
    """Manages the cluster for one term of the leader.

    Every term gets a new manager, except that a term which continues the previous one keeps its
    manager if there is a single shard. Before `begin` the manager assigns no shards, provisions no
    machines and only reads the inventory. From `begin` on it is the only writer of the inventory.
    """

    def __init__(self, context: ClusterManagerContext, now: float) -> None:
        self.outbox, self.election = context.outbox, context.election
        self.state = state = ClusterState(context, now)
        self.epoch, self.elected_at = state.epoch, state.elected_at
        self.replication_log, self.machines = state.replication_log, state.machines
        self.shards, self.members = state.shards, state.members
        self.records = MachineRecords(context, state)
        self.instance_requests = InstanceRequests(context, state, self.records)
        self.cloud_listing = CloudListing(context, state, self.records, self.instance_requests)
        self.machine_tracker = MachineTracker(context, state, self.records, self.instance_requests)
        self.grants = ShardGrants(context, state, self.records)
        self.planner = Planner(context, state, self.records, self.instance_requests)
        self.inventory = state.inventory
        self.on_inventory_event(context.cached_inventory)
        self.inventory.on_marks_stored = self.records.mark_recorded
        self.paged = self.inventory.paged

    @property
    def ready(self) -> bool:
        """Whether `begin` has been called, that is, whether the manager may act."""
        return self.state.ready

    @property
    def on_demand_excess(self) -> bool:
        """Whether there is more on-demand capacity than has to be kept."""
        return self.state.on_demand_excess

    @property
    def boot_s(self) -> float:
        """The longest usual boot time of a machine type, in seconds."""
        return self.state.boot_s

    @boot_s.setter
    def boot_s(self, seconds: float) -> None:
        self.state.boot_s = seconds

    def token_version(self) -> int:
        """Return the version of the fencing token key, which guards this term's writes."""
        return self.state.token_version()

    def assignments(self) -> tuple[ShardAssignment, ...]:
        """Return the current assignment of each shard that has an owner."""
        return self.state.assignments()

    def begin(self, now: float) -> None:
        """Start acting: restore machines and resume stored instance requests.

        Called once the watch cache has caught up with the election.
        """
        self.state.ready = True
        self.records.restore(now)
        self.instance_requests.resume(now)
        self.inventory.begin(now)

    def on_inventory_event(
        self, cached: CachedInventory, key: str = INVENTORY_KEY, version: int = 0
    ) -> None:
        """Apply a watch event for an inventory record or page.

        Before `begin`, the event may come from a late write of an earlier leader. After `begin`,
        only this leader can have made the write.
        """
        number = page_number(key)
        if not self.state.ready:
            self.inventory.load(cached.record, cached.version, cached.pages)
        elif number is None:
            self.inventory.on_record_event(cached.version)
        else:
            self.inventory.on_page_event(number, version, number in cached.pages)

    def defer_until_previous_grants_end(self, previous: ClusterManager) -> None:
        """Defer assignments while a grant from this leader's previous term may still be valid."""
        self.grants.defer_until_previous_grants_end(previous.members)

    def on_grant_request(self, now: float, sender: str, request: GrantRequest) -> Grant | None:
        """Extend a member's grants; returns None if the request must not be answered."""
        return self.grants.on_grant_request(now, sender, request)

    def on_machine_statuses(
        self, now: float, sender: str, statuses: Iterable[MachineStatus]
    ) -> None:
        """Apply the machine statuses that an owner has replicated."""
        self.machine_tracker.on_machine_statuses(now, sender, statuses)

    def on_zone_affinities(self, frame: ZoneAffinities) -> None:
        """Store which jobs of a shard are tied to a zone; earlier versions do not report this."""
        shard = self.shards.get(frame.shard)
        if shard is not None:
            shard.zone_affinities = dict(frame.zones)

    def on_capacity_requests(self, now: float, frame: CapacityRequests) -> None:
        """Handle an owner's report of tasks that its machines cannot start in time."""
        self.planner.on_capacity_requests(now, frame)

    def on_unowned_heartbeat(self, now: float, heartbeat: WorkerHeartbeat) -> None:
        """Assign a machine that has no owner to a shard, on its heartbeat."""
        self.machine_tracker.on_unowned_heartbeat(now, heartbeat)

    def tick(self, now: float) -> None:
        """Run every component that is due; step down if this term cannot continue.

        It cannot continue without handovers left, nor with an inventory write of unknown outcome.
        """
        if not self.state.ready or not self.election.has_authority(now):
            return
        if self.records.handovers_exhausted():
            # Only a new term, with a higher epoch, has base tokens for more handovers.
            self.election.step_down(now, StepDownReason.HANDOVERS_EXHAUSTED)
            return
        if self.inventory.is_migration_blocked():
            self.election.step_down(now, StepDownReason.INVENTORY_WRITE_UNRESOLVED)
            return
        self.grants.expire(now)
        self.grants.rebalance(now)
        self.grants.assign_free_shards(now)
        self.inventory.tick(now)
        self._log_migration_once()
        self.cloud_listing.tick(now)
        if self.planner.schedule_next_if_due(now):
            self.planner.plan(now)
            self.machine_tracker.sweep(now)

    def _log_migration_once(self) -> None:
        """Log once that the inventory has been migrated from a single record to pages."""
        if self.inventory.paged and not self.paged:
            # From now on, members of versions that read only the single record cannot lead.
            self.paged = True
            self.outbox.log(
                LogLevel.INFO, LogEvent.INVENTORY_MIGRATED, pages=len(self.inventory.pages)
            )

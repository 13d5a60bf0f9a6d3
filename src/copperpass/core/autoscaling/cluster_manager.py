"""The leader's control loop: ownership of shards and machines, scale out and scale in."""

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
    """Manages the cluster for one term; a new one is made for each term that isn't a continuation.

    Until `begin` it assigns no shard, provisions nothing and only reads the inventory; from then on
    it is the inventory's only writer.
    """

    def __init__(self, context: ClusterManagerContext, now: float) -> None:
        self.out, self.election = context.out, context.election
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

    # -- state for other parts ---------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Whether the term has begun."""
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
        """The version of the fencing token that guards this term's writes."""
        return self.state.token_version()

    def assignments(self) -> tuple[ShardAssignment, ...]:
        """Which member owns which shard."""
        return self.state.assignments()

    # -- start of a term ---------------------------------------------------------------------

    def begin(self, now: float) -> None:
        """The watch cache has caught up with the election: restore machines and requests."""
        self.state.ready = True
        self.records.restore(now)
        self.instance_requests.resume(now)
        self.inventory.begin(now)

    def on_inventory_event(
        self, cached: CachedInventory, key: str = INVENTORY_KEY, version: int = 0
    ) -> None:
        """An inventory record has changed, by the watch.

        Until this term begins it may be a late write of an earlier leader's; afterwards only this
        leader can have made it.
        """
        number = page_number(key)
        if not self.state.ready:
            self.inventory.load(cached.record, cached.version, cached.pages)
        elif number is None:
            self.inventory.on_record_event(cached.version)
        else:
            self.inventory.on_page_event(number, version, number in cached.pages)

    def defer_until_previous_grants_end(self, previous: ClusterManager) -> None:
        """Assign no shard while a grant of this leader's own earlier term may be valid."""
        self.grants.defer_until_previous_grants_end(previous.members)

    # -- frames and heartbeats ---------------------------------------------------------------

    def on_grant_request(self, now: float, sender: str, request: GrantRequest) -> Grant | None:
        """A member asks to have its grants extended; None where it must not be answered."""
        return self.grants.on_grant_request(now, sender, request)

    def on_machine_statuses(
        self, now: float, sender: str, statuses: Iterable[MachineStatus]
    ) -> None:
        """An owner has replicated statuses of its machines."""
        self.machine_tracker.on_machine_statuses(now, sender, statuses)

    def on_zone_affinities(self, frame: ZoneAffinities) -> None:
        """An owner reports which jobs are tied to a zone; earlier versions don't."""
        shard = self.shards.get(frame.shard)
        if shard is not None:
            shard.zone_affinities = dict(frame.zones)

    def on_capacity_requests(self, now: float, frame: CapacityRequests) -> None:
        """An owner reports tasks that its machines have no capacity for in time."""
        self.planner.on_capacity_requests(now, frame)

    def on_unowned_heartbeat(self, now: float, heartbeat: WorkerHeartbeat) -> None:
        """A machine without an owner has sent a heartbeat: assign it to a shard."""
        self.machine_tracker.on_unowned_heartbeat(now, heartbeat)

    # -- time --------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Run every part that is due; steps down where this term can't go on."""
        if not self.state.ready or not self.election.has_authority(now):
            return
        if self.records.handovers_exhausted():
            # Only a new term has tokens for more handovers.
            self.election.step_down(now, StepDownReason.HANDOVERS_EXHAUSTED)
            return
        if self.inventory.blocked():
            self.election.step_down(now, StepDownReason.INVENTORY_WRITE_UNRESOLVED)
            return
        self.grants.expire(now)
        self.grants.rebalance(now)
        self.grants.assign_free_shards(now)
        self.inventory.tick(now)
        self._log_paged_once()
        self.cloud_listing.tick(now)
        if self.planner.due(now):
            self.planner.plan(now)
            self.machine_tracker.sweep(now)

    def _log_paged_once(self) -> None:
        """Log the inventory's migration from one record to pages, once."""
        if self.inventory.paged and not self.paged:
            # From here on a version that reads the single record alone can't lead any more.
            self.paged = True
            self.out.log(
                LogLevel.INFO, LogEvent.INVENTORY_MIGRATED, pages=len(self.inventory.pages)
            )

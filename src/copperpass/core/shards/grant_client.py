"""A member's side of the grants: what the leader has told it, and the shards it owns meanwhile."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from copperpass.core.autoscaling.cluster_manager import UNKNOWN_REVISION, ClusterManager
from copperpass.core.election.timings import CLOCK_DRIFT, GRANT_TTL_RATIO
from copperpass.core.ports import Outbox
from copperpass.core.scheduling.context import Images
from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.core.shards.replication import (
    ReplicationLog,
    ReplicationReceiver,
    ReplicationSender,
)
from copperpass.protocol.frames.format import MAX_REQUESTS_PER_FRAME
from copperpass.protocol.frames.messages import (
    CapacityRequests,
    Grant,
    GrantRequest,
    MachineRoute,
    MachineStatus,
    MachineStatusUpdates,
    PendingTasks,
    RouteUpdates,
    ShardAssignment,
    ZoneAffinities,
)

# Entries to a frame: some 70 bytes each.
BATCH = 200
PULLS_PER_GRANT = 6
MakeScheduler = Callable[[ShardAssignment], ShardScheduler]


class GrantClient:
    """Follows one leader's term; shards and the directory of machines end with it."""

    def __init__(
        self,
        member: str,
        incarnation: int,
        ttl: float,
        plan_s: float,
        out: Outbox,
        make: MakeScheduler,
        watch_cache_valid_until: Callable[[], float] = lambda: float("inf"),
        is_upgraded: Callable[[str], bool] = lambda member: False,
    ) -> None:
        self.member, self.incarnation, self.out, self.make_scheduler = (
            member,
            incarnation,
            out,
            make,
        )
        self.watch_cache_valid_until, self.is_upgraded = watch_cache_valid_until, is_upgraded
        # Whether to ask for grants at all; not while others see more than this member.
        self.requests_enabled = True
        self.request_interval_s = GRANT_TTL_RATIO * ttl / PULLS_PER_GRANT
        self.capacity_interval_s = plan_s
        self.epoch = 0
        self.leader = ""
        self.cluster_manager: ClusterManager | None = None
        self.local_sender: ReplicationSender[MachineRoute] | None = None
        self.schedulers: dict[int, ShardScheduler] = {}
        self.assignments: dict[int, ShardAssignment] = {}
        self.routing_table: dict[str, MachineRoute] = {}
        # What the terms before knew; kept until a later term has said better.
        self.previous_routes: dict[str, MachineRoute] = {}
        self.previous_owners: dict[int, str] = {}
        self.images: Images = {}
        self.token_version = 0
        self._begin(0, "")

    def _begin(self, epoch: int, leader: str) -> None:
        self.previous_routes.update(self.routing_table)
        self.previous_routes = {n: e for n, e in self.previous_routes.items() if not e.deleted}
        self.previous_owners.update({n: s.member for n, s in self.assignments.items()})
        self.epoch, self.leader = epoch, leader
        self.cluster_manager = self.local_sender = None
        for owner in self.schedulers.values():
            owner.over = True
        self.schedulers, self.assignments, self.routing_table = {}, {}, {}
        self.replication_receiver = ReplicationReceiver()
        self.replication_log: ReplicationLog[MachineStatus] = ReplicationLog()
        self.replication_sender = ReplicationSender(self.replication_log)
        self.valid_until = float("-inf")
        self.last_request_number = self.last_granted_number = 0
        self.request_times: OrderedDict[int, float] = OrderedDict()
        self.on_demand_excess = True
        self.next_request_at = self.next_status_at = self.next_capacity_request_at = float("-inf")

    # -- whom to follow ---------------------------------------------------------------

    def follow(self, leader: str, epoch: int) -> None:
        """Another member leads."""
        if (leader, epoch) != (self.leader, self.epoch) and epoch >= self.epoch:
            self._begin(epoch, leader)

    def lead(self, cluster_manager: ClusterManager) -> None:
        """The member leads by itself."""
        self._begin(cluster_manager.epoch, self.member)
        self.cluster_manager, self.local_sender = (
            cluster_manager,
            ReplicationSender(cluster_manager.replication_log),
        )

    def unfollow(self) -> None:
        """Nobody is followed: all shards end."""
        self._begin(self.epoch, "")

    def has_authority(self, now: float) -> bool:
        """Whether this member's shards are its own at this moment."""
        if self.cluster_manager is not None:
            return self.cluster_manager.election.has_authority(now)
        return now < min(self.valid_until, self.watch_cache_valid_until())

    # -- time ---------------------------------------------------------------------------

    def tick(self, now: float, view_revision: int) -> None:
        """Renew grants, report statuses and run the schedulers."""
        if not self.leader:
            return
        cluster_manager = self.cluster_manager
        if cluster_manager is not None:
            self._apply_own_log(now, cluster_manager)
        elif now >= self.next_request_at and self.requests_enabled:
            self.next_request_at = now + self.request_interval_s
            self.last_request_number = (self.last_request_number + 1) & 0xFFFFFFFF
            self.request_times[self.last_request_number] = now
            while len(self.request_times) > 4 * PULLS_PER_GRANT:
                self.request_times.popitem(last=False)
            self.out.send(
                self.leader,
                GrantRequest(
                    self.epoch,
                    self.incarnation,
                    self.last_request_number,
                    self.replication_receiver.applied_sequence,
                ),
            )
        for number, owner in self.schedulers.items():
            share = self.assignments[number]
            known = (
                share.required_revision != UNKNOWN_REVISION
                and view_revision >= share.required_revision
            )
            if (
                not owner.ready
                and known
                and self.replication_receiver.applied_sequence >= share.required_sequence
            ):
                owner.begin(now)
            owner.on_demand_excess = self.on_demand_excess
            owner.tick(now)
        if (now >= self.next_status_at or any(o.returning for o in self.schedulers.values())) and (
            self.has_authority(now)
        ):
            self.next_status_at = now + self.request_interval_s / 4
            self._report_statuses(now)
        urgent = any(owner.needs_machines for owner in self.schedulers.values())
        if (now >= self.next_capacity_request_at or urgent) and self.has_authority(now):
            self.next_capacity_request_at = now + self.capacity_interval_s
            for number, owner in self.schedulers.items():
                owner.needs_machines = False
                if owner.ready:
                    wants = tuple(owner.capacity_requests(now)[:MAX_REQUESTS_PER_FRAME])
                    self._report_zone_affinities(number, owner, wants)
                    self._send(
                        now,
                        CapacityRequests(
                            self.epoch, number, self.replication_receiver.applied_sequence, wants
                        ),
                    )

    def refresh(self, now: float) -> None:
        """A leader's own table has changed and is needed at once."""
        if self.cluster_manager is not None:
            self._apply_own_log(now, self.cluster_manager)

    def _apply_own_log(self, now: float, cluster_manager: ClusterManager) -> None:
        assert self.local_sender is not None
        _, upto, entries = self.local_sender.next_batch(1 << 30)
        self.replication_receiver.applied_sequence = upto
        self.on_demand_excess = cluster_manager.on_demand_excess
        self.token_version = cluster_manager.token_version()
        self._apply_routes(now, entries)
        self._apply_assignments(now, cluster_manager.assignments())

    def _report_zone_affinities(
        self, number: int, owner: ShardScheduler, wants: tuple[PendingTasks, ...]
    ) -> None:
        """Say in which zones the jobs that want machines must have them."""
        frame = ZoneAffinities(
            self.epoch,
            number,
            tuple(
                (job, owner.zone_affinities[job])
                for job, _, _ in wants
                if job in owner.zone_affinities
            ),
        )
        if self.cluster_manager is not None:
            self.cluster_manager.on_zone_affinities(frame)
        elif self.is_upgraded(self.leader):
            self.out.send(self.leader, frame)

    def _send(self, now: float, frame: CapacityRequests | MachineStatusUpdates) -> None:
        if self.cluster_manager is None:
            self.out.send(self.leader, frame)
        elif isinstance(frame, CapacityRequests):
            self.cluster_manager.on_capacity_requests(now, frame)
        else:
            self.cluster_manager.on_machine_statuses(now, self.member, frame.statuses)

    def _report_statuses(self, now: float) -> None:
        for owner in self.schedulers.values():
            owner.returning = False
            for status in owner.statuses(now):
                self.replication_log.put(status)
        while self.replication_sender.sent_sequence < self.replication_log.last_sequence:
            before, upto, statuses = self.replication_sender.next_batch(BATCH)
            self._send(
                now,
                MachineStatusUpdates(self.epoch, self.incarnation, before, upto, tuple(statuses)),
            )
        if self.cluster_manager is not None:
            self.replication_sender.on_acknowledged(self.replication_sender.sent_sequence)
            self._apply_own_log(now, self.cluster_manager)

    # -- what the leader tells ------------------------------------------------------------

    def on_grant(self, now: float, sender: str, grant: Grant) -> None:
        """The leader has answered a pull."""
        asked = self.request_times.get(grant.number)
        mine = grant.epoch == self.epoch and grant.incarnation == self.incarnation
        if (
            sender != self.leader
            or not mine
            or asked is None
            or grant.number <= self.last_granted_number
        ):
            # Also one that a newer has overtaken: its shares may be another's by now.
            return
        self.last_granted_number = grant.number
        # Counted from the asking, by a clock that may run slow against the leader's.
        self.valid_until = max(
            self.valid_until, asked + grant.length_ms / 1000 * (1 - 2 * CLOCK_DRIFT)
        )
        self.token_version, self.on_demand_excess = grant.token_version, grant.on_demand_excess
        self.replication_sender.on_acknowledged(grant.acknowledged_sequence)
        self._apply_assignments(now, grant.assignments)

    def on_routes(self, now: float, sender: str, part: RouteUpdates) -> None:
        """Part of the leader's table."""
        mine = sender == self.leader and part.epoch == self.epoch
        if (
            mine
            and part.incarnation == self.incarnation
            and self.replication_receiver.accept(part.after_sequence, part.last_sequence)
        ):
            self._apply_routes(now, part.routes)

    def _apply_routes(self, now: float, entries: Iterable[MachineRoute]) -> None:
        for entry in entries:
            if entry.deleted:
                self.routing_table.pop(entry.name, None)
                self.previous_routes.pop(entry.name, None)
                self.replication_log.entries.pop(entry.name, None)
            else:
                self.routing_table[entry.name] = entry
            for owner in self.schedulers.values():
                owner.on_route(now, entry)

    def _apply_assignments(self, now: float, shares: Iterable[ShardAssignment]) -> None:
        self.assignments = {share.shard: share for share in shares}
        for number, owner in list(self.schedulers.items()):
            share = self.assignments.get(number)
            if share is None or share.member != self.member or share.generation != owner.generation:
                owner.over = True
                del self.schedulers[number]
        for number, share in self.assignments.items():
            if share.member != self.member:
                continue
            owned = self.schedulers.get(number)
            if owned is None:
                owned = self.schedulers[number] = self.make_scheduler(share)
                for entry in self.routing_table.values():
                    owned.on_route(now, entry)
            owned.required_revision = share.required_revision

    def owner_of(self, machine: str) -> str | None:
        """The member that commands a machine, as far as this one knows."""
        entry = self.routing_table.get(machine)
        share = self.assignments.get(entry.shard) if entry is not None else None
        return share.member if share is not None else None

"""A member's side of the grants: what the leader has told it, and the shards it owns meanwhile."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from copperpass.core.autoscaling.cluster_manager import UNKNOWN_REVISION, ClusterManager
from copperpass.core.election.timings import CLOCK_DRIFT, GRANT_TTL_RATIO
from copperpass.core.ports import Outbox
from copperpass.core.scheduling.context import Images
from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.core.shards.routing import ReplicationLog, ReplicationReceiver, ReplicationSender
from copperpass.protocol.frames.codec import MAX_REQUESTS_PER_FRAME
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
        self.member, self.incarnation, self.out, self.make = member, incarnation, out, make
        self.watch_cache_valid_until, self.is_upgraded = watch_cache_valid_until, is_upgraded
        # Whether to ask for grants at all; not while others see more than this member.
        self.asking = True
        self.pull_s = GRANT_TTL_RATIO * ttl / PULLS_PER_GRANT
        self.plan_s = plan_s
        self.epoch = 0
        self.leader = ""
        self.cluster_manager: ClusterManager | None = None
        self.local: ReplicationSender[MachineRoute] | None = None
        self.schedulers: dict[int, ShardScheduler] = {}
        self.shares: dict[int, ShardAssignment] = {}
        self.directory: dict[str, MachineRoute] = {}
        # What the terms before knew; kept until a later term has said better.
        self.hints: dict[str, MachineRoute] = {}
        self.owned_before: dict[int, str] = {}
        self.images: Images = {}
        self.token_version = 0
        self._begin(0, "")

    def _begin(self, epoch: int, leader: str) -> None:
        self.hints.update(self.directory)
        self.hints = {n: e for n, e in self.hints.items() if not e.deleted}
        self.owned_before.update({n: s.member for n, s in self.shares.items()})
        self.epoch, self.leader = epoch, leader
        self.cluster_manager = self.local = None
        for owner in self.schedulers.values():
            owner.over = True
        self.schedulers, self.shares, self.directory = {}, {}, {}
        self.inbox = ReplicationReceiver()
        self.table: ReplicationLog[MachineStatus] = ReplicationLog()
        self.feed = ReplicationSender(self.table)
        self.until = float("-inf")
        self.number = self.latest = 0
        self.asked: OrderedDict[int, float] = OrderedDict()
        self.on_demand_excess = True
        self.next_pull = self.next_status = self.next_wants = float("-inf")

    # -- whom to follow ---------------------------------------------------------------

    def follow(self, leader: str, epoch: int) -> None:
        """Another member leads."""
        if (leader, epoch) != (self.leader, self.epoch) and epoch >= self.epoch:
            self._begin(epoch, leader)

    def lead(self, cluster_manager: ClusterManager) -> None:
        """The member leads by itself."""
        self._begin(cluster_manager.epoch, self.member)
        self.cluster_manager, self.local = cluster_manager, ReplicationSender(cluster_manager.table)

    def leave(self) -> None:
        """Nobody is followed: all shards end."""
        self._begin(self.epoch, "")

    def has_authority(self, now: float) -> bool:
        """Whether this member's shards are its own at this moment."""
        if self.cluster_manager is not None:
            return self.cluster_manager.election.has_authority(now)
        return now < min(self.until, self.watch_cache_valid_until())

    # -- time ---------------------------------------------------------------------------

    def tick(self, now: float, view_revision: int) -> None:
        """Renew grants, report statuses and run the schedulers."""
        if not self.leader:
            return
        cluster_manager = self.cluster_manager
        if cluster_manager is not None:
            self._local(now, cluster_manager)
        elif now >= self.next_pull and self.asking:
            self.next_pull = now + self.pull_s
            self.number = (self.number + 1) & 0xFFFFFFFF
            self.asked[self.number] = now
            while len(self.asked) > 4 * PULLS_PER_GRANT:
                self.asked.popitem(last=False)
            self.out.send(
                self.leader,
                GrantRequest(self.epoch, self.incarnation, self.number, self.inbox.applied),
            )
        for number, owner in self.schedulers.items():
            share = self.shares[number]
            known = (
                share.required_revision != UNKNOWN_REVISION
                and view_revision >= share.required_revision
            )
            if not owner.ready and known and self.inbox.applied >= share.required_sequence:
                owner.begin(now)
            owner.on_demand_excess = self.on_demand_excess
            owner.tick(now)
        if (now >= self.next_status or any(o.returning for o in self.schedulers.values())) and (
            self.has_authority(now)
        ):
            self.next_status = now + self.pull_s / 4
            self._tell(now)
        urgent = any(owner.needs_machines for owner in self.schedulers.values())
        if (now >= self.next_wants or urgent) and self.has_authority(now):
            self.next_wants = now + self.plan_s
            for number, owner in self.schedulers.items():
                owner.needs_machines = False
                if owner.ready:
                    wants = tuple(owner.wants(now)[:MAX_REQUESTS_PER_FRAME])
                    self._tell_ties(number, owner, wants)
                    self._send(now, CapacityRequests(self.epoch, number, self.inbox.applied, wants))

    def refresh(self, now: float) -> None:
        """A leader's own table has changed and is needed at once."""
        if self.cluster_manager is not None:
            self._local(now, self.cluster_manager)

    def _local(self, now: float, cluster_manager: ClusterManager) -> None:
        assert self.local is not None
        _, upto, entries = self.local.next(1 << 30)
        self.inbox.applied = upto
        self.on_demand_excess = cluster_manager.on_demand_excess
        self.token_version = cluster_manager.token_version()
        self._learn(now, entries)
        self._share(now, cluster_manager.shares())

    def _tell_ties(
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
            self.cluster_manager.tied(frame)
        elif self.is_upgraded(self.leader):
            self.out.send(self.leader, frame)

    def _send(self, now: float, frame: CapacityRequests | MachineStatusUpdates) -> None:
        if self.cluster_manager is None:
            self.out.send(self.leader, frame)
        elif isinstance(frame, CapacityRequests):
            self.cluster_manager.asked(now, frame)
        else:
            self.cluster_manager.told(now, self.member, frame.statuses)

    def _tell(self, now: float) -> None:
        for owner in self.schedulers.values():
            owner.returning = False
            for status in owner.statuses(now):
                self.table.put(status)
        while self.feed.sent < self.table.sequence:
            before, upto, statuses = self.feed.next(BATCH)
            self._send(
                now,
                MachineStatusUpdates(self.epoch, self.incarnation, before, upto, tuple(statuses)),
            )
        if self.cluster_manager is not None:
            self.feed.acknowledged(self.feed.sent)
            self._local(now, self.cluster_manager)

    # -- what the leader tells ------------------------------------------------------------

    def granted(self, now: float, sender: str, grant: Grant) -> None:
        """The leader has answered a pull."""
        asked = self.asked.get(grant.number)
        mine = grant.epoch == self.epoch and grant.incarnation == self.incarnation
        if sender != self.leader or not mine or asked is None or grant.number <= self.latest:
            # Also one that a newer has overtaken: its shares may be another's by now.
            return
        self.latest = grant.number
        # Counted from the asking, by a clock that may run slow against the leader's.
        self.until = max(self.until, asked + grant.length_ms / 1000 * (1 - 2 * CLOCK_DRIFT))
        self.token_version, self.on_demand_excess = grant.token_version, grant.on_demand_excess
        self.feed.acknowledged(grant.acknowledged_sequence)
        self._share(now, grant.assignments)

    def entries(self, now: float, sender: str, part: RouteUpdates) -> None:
        """Part of the leader's table."""
        mine = sender == self.leader and part.epoch == self.epoch
        if (
            mine
            and part.incarnation == self.incarnation
            and self.inbox.takes(part.after_sequence, part.last_sequence)
        ):
            self._learn(now, part.routes)

    def _learn(self, now: float, entries: Iterable[MachineRoute]) -> None:
        for entry in entries:
            if entry.deleted:
                self.directory.pop(entry.name, None)
                self.hints.pop(entry.name, None)
                self.table.entries.pop(entry.name, None)
            else:
                self.directory[entry.name] = entry
            for owner in self.schedulers.values():
                owner.learn(now, entry)

    def _share(self, now: float, shares: Iterable[ShardAssignment]) -> None:
        self.shares = {share.shard: share for share in shares}
        for number, owner in list(self.schedulers.items()):
            share = self.shares.get(number)
            if share is None or share.member != self.member or share.generation != owner.serial:
                owner.over = True
                del self.schedulers[number]
        for number, share in self.shares.items():
            if share.member != self.member:
                continue
            owned = self.schedulers.get(number)
            if owned is None:
                owned = self.schedulers[number] = self.make(share)
                for entry in self.directory.values():
                    owned.learn(now, entry)
            owned.revision = share.required_revision

    def owner_of(self, machine: str) -> str | None:
        """The member that commands a machine, as far as this one knows."""
        entry = self.directory.get(machine)
        share = self.shares.get(entry.shard) if entry is not None else None
        return share.member if share is not None else None

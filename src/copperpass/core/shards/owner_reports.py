"""What an owner reports to the leader in one term: statuses of machines, missing capacity."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.core.shards.replication import ReplicationLog, ReplicationSender
from copperpass.core.shards.term import FollowedTerm, GrantClientContext
from copperpass.protocol.frames.format import MAX_REQUESTS_PER_FRAME
from copperpass.protocol.frames.messages import (
    CapacityRequests,
    MachineStatus,
    MachineStatusUpdates,
    PendingTasks,
    ZoneAffinities,
)

# Entries of a log in one frame: some 70 bytes each.
BATCH = 200


class OwnerReports:
    """Replicates the statuses of this member's machines and sends its capacity requests."""

    def __init__(self, context: GrantClientContext, term: FollowedTerm, interval_s: float) -> None:
        self.context, self.term, self.interval_s = context, term, interval_s
        self.replication_log: ReplicationLog[MachineStatus] = ReplicationLog()
        self.replication_sender = ReplicationSender(self.replication_log)
        self.next_status_at = float("-inf")
        self.next_capacity_request_at = float("-inf")

    def statuses_due(self, now: float, schedulers: Iterable[ShardScheduler]) -> bool:
        """Whether to report statuses: at an interval, and at once when machines are released."""
        return now >= self.next_status_at or any(
            scheduler.has_new_releases for scheduler in schedulers
        )

    def capacity_due(self, now: float, schedulers: Iterable[ShardScheduler]) -> bool:
        """Whether to request capacity: at an interval, and at once when tasks lack machines."""
        urgent = any(scheduler.needs_machines for scheduler in schedulers)
        return now >= self.next_capacity_request_at or urgent

    def report_statuses(self, now: float, schedulers: Iterable[ShardScheduler]) -> None:
        """Send the statuses that have changed."""
        self.next_status_at = now + self.interval_s
        for scheduler in schedulers:
            scheduler.has_new_releases = False
            for status in scheduler.statuses(now):
                self.replication_log.put(status)
        while self.replication_sender.has_unsent:
            batch = self.replication_sender.next_batch(BATCH)
            frame = MachineStatusUpdates(
                self.term.epoch,
                self.context.incarnation,
                batch.after_sequence,
                batch.last_sequence,
                tuple(batch.entries),
            )
            self.term.send_statuses(now, self.context, frame)

    def on_acknowledged(self, sequence: int) -> None:
        """The leader has every status up to a sequence number."""
        self.replication_sender.on_acknowledged(sequence)

    def acknowledge_all(self) -> None:
        """The member leads by itself: what is sent has arrived."""
        self.replication_sender.on_acknowledged(self.replication_sender.sent_sequence)

    def forget(self, machine: str) -> None:
        """A machine is deleted: its status is never sent again."""
        self.replication_log.entries.pop(machine, None)

    def request_capacity(
        self, now: float, schedulers: Mapping[int, ShardScheduler], acknowledged_sequence: int
    ) -> None:
        """Send what each shard's pending tasks lack, and in which zones."""
        self.next_capacity_request_at = now + self.context.capacity_interval_s
        for shard, scheduler in schedulers.items():
            scheduler.needs_machines = False
            if not scheduler.ready:
                continue
            requests = tuple(scheduler.capacity_requests(now)[:MAX_REQUESTS_PER_FRAME])
            self._send_zone_affinities(shard, scheduler, requests)
            frame = CapacityRequests(self.term.epoch, shard, acknowledged_sequence, requests)
            self.term.send_capacity_requests(now, self.context, frame)

    def _send_zone_affinities(
        self, shard: int, scheduler: ShardScheduler, requests: tuple[PendingTasks, ...]
    ) -> None:
        """Send in which zones the jobs of the requests must have their machines."""
        zones = scheduler.zone_affinities
        frame = ZoneAffinities(
            self.term.epoch,
            shard,
            tuple(
                (request.job, zones[request.job]) for request in requests if request.job in zones
            ),
        )
        self.term.send_zone_affinities(self.context, frame)

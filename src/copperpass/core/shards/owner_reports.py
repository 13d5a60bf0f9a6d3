"""Reports of a shard owner to the leader in one term: machine statuses, capacity requests."""

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

# Entries of a replication log in one frame; an entry takes about 70 bytes.
MAX_ENTRIES_PER_FRAME = 200


class OwnerReports:
    """Replicates the statuses of this member's machines and sends its capacity requests.

    `status_interval_s`: the time between reports of statuses, in seconds.
    """

    def __init__(
        self, context: GrantClientContext, term: FollowedTerm, status_interval_s: float
    ) -> None:
        self.context, self.term, self.status_interval_s = context, term, status_interval_s
        self.replication_log: ReplicationLog[MachineStatus] = ReplicationLog()
        self.replication_sender = ReplicationSender(self.replication_log)
        self.next_status_at = float("-inf")
        self.next_capacity_request_at = float("-inf")

    def statuses_due(self, now: float, schedulers: Iterable[ShardScheduler]) -> bool:
        """Whether statuses are due: at each interval, and at once when machines are released."""
        return now >= self.next_status_at or any(
            scheduler.has_new_releases for scheduler in schedulers
        )

    def capacity_due(self, now: float, schedulers: Iterable[ShardScheduler]) -> bool:
        """Whether capacity requests are due: at each interval, at once when tasks lack machines."""
        urgent = any(scheduler.needs_machines for scheduler in schedulers)
        return now >= self.next_capacity_request_at or urgent

    def report_statuses(self, now: float, schedulers: Iterable[ShardScheduler]) -> None:
        """Send the machine statuses that have changed."""
        self.next_status_at = now + self.status_interval_s
        for scheduler in schedulers:
            scheduler.has_new_releases = False
            for status in scheduler.statuses(now):
                self.replication_log.put(status)
        while self.replication_sender.has_unsent:
            batch = self.replication_sender.next_batch(MAX_ENTRIES_PER_FRAME)
            frame = MachineStatusUpdates(
                self.term.epoch,
                self.context.incarnation,
                batch.after_sequence,
                batch.last_sequence,
                tuple(batch.entries),
            )
            self.term.send_statuses(now, self.context, frame)

    def on_acknowledged(self, sequence: int) -> None:
        """Record that the leader has every status up to a sequence number."""
        self.replication_sender.on_acknowledged(sequence)

    def acknowledge_all(self) -> None:
        """Count everything sent as received: this member is the leader itself."""
        self.replication_sender.on_acknowledged(self.replication_sender.sent_sequence)

    def remove_machine(self, machine: str) -> None:
        """Drop a deleted machine: its status is not sent again."""
        self.replication_log.entries.pop(machine, None)

    def request_capacity(
        self, now: float, schedulers: Mapping[int, ShardScheduler], acknowledged_sequence: int
    ) -> None:
        """Send each shard's pending tasks that lack capacity, with their zone affinities."""
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
        """Send the zones to which the requests' jobs are tied by their other tasks."""
        zones = scheduler.zone_affinities
        frame = ZoneAffinities(
            self.term.epoch,
            shard,
            tuple(
                (request.job, zones[request.job]) for request in requests if request.job in zones
            ),
        )
        self.term.send_zone_affinities(self.context, frame)

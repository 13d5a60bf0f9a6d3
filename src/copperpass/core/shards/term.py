"""What the parts of a grant client share: what a node gives it, and the term it follows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from copperpass.core.autoscaling.cluster_manager import ClusterManager
from copperpass.core.ports import Outbox
from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.protocol.frames.messages import (
    CapacityRequests,
    MachineStatusUpdates,
    ShardAssignment,
    ZoneAffinities,
)

MakeScheduler = Callable[[ShardAssignment], ShardScheduler]


def _always() -> float:
    return float("inf")


def _never_upgraded(member: str) -> bool:
    return False


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantClientContext:
    """What a node gives to its grant client; the same for the life of the process."""

    member: str
    # Tells this run of the member from its earlier ones.
    incarnation: int
    # Lengths in seconds: of a grant, and between reports of the capacity that is missing.
    grant_s: float
    capacity_interval_s: float
    out: Outbox
    make_scheduler: MakeScheduler
    # Until when this member's watch cache counts as current enough to own shards.
    watch_cache_valid_until: Callable[[], float] = _always
    # Whether a member is certainly of this version or a later one.
    is_upgraded: Callable[[str], bool] = _never_upgraded


@dataclass(frozen=True, slots=True)
class FollowedTerm:
    """The leader's term that a member follows, and the way to its leader.

    `leader` is empty while none is followed; `cluster_manager` is there if this member leads.
    """

    epoch: int
    leader: str
    cluster_manager: ClusterManager | None = None

    def send_statuses(
        self, now: float, context: GrantClientContext, frame: MachineStatusUpdates
    ) -> None:
        """Report statuses of machines to the leader."""
        if self.cluster_manager is None:
            context.out.send(self.leader, frame)
        else:
            self.cluster_manager.on_machine_statuses(now, context.member, frame.statuses)

    def send_capacity_requests(
        self, now: float, context: GrantClientContext, frame: CapacityRequests
    ) -> None:
        """Report to the leader which tasks lack capacity."""
        if self.cluster_manager is None:
            context.out.send(self.leader, frame)
        else:
            self.cluster_manager.on_capacity_requests(now, frame)

    def send_zone_affinities(self, context: GrantClientContext, frame: ZoneAffinities) -> None:
        """Report zone affinities; leaders of earlier versions don't know the frame."""
        if self.cluster_manager is not None:
            self.cluster_manager.on_zone_affinities(frame)
        elif context.is_upgraded(self.leader):
            context.out.send(self.leader, frame)

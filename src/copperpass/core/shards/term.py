"""State that the components of a grant client share: the node's context and the followed term."""

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

SchedulerFactory = Callable[[ShardAssignment], ShardScheduler]


def _never_expires() -> float:
    return float("inf")


def _never_upgraded(member: str) -> bool:
    return False


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantClientContext:
    """Settings and collaborators of a grant client; constant for the life of the process."""

    member: str
    # Distinguishes this process of the member from its earlier ones.
    incarnation: int
    # In seconds: the length of a grant, and the time between capacity requests.
    grant_s: float
    capacity_interval_s: float
    outbox: Outbox
    make_scheduler: SchedulerFactory
    # The time until which this member's watch cache is current enough to own shards, in seconds.
    watch_cache_valid_until: Callable[[], float] = _never_expires
    # Whether a member certainly runs this version or a later one.
    is_upgraded: Callable[[str], bool] = _never_upgraded


@dataclass(frozen=True, slots=True)
class FollowedTerm:
    """The leader's term that a member follows; sends the member's reports to its leader.

    `epoch` is the leader's fencing token at the start of the term. `leader` is empty while no term
    is followed. `cluster_manager` is set if this member is the leader: reports are then handed over
    directly, without frames.
    """

    epoch: int
    leader: str
    cluster_manager: ClusterManager | None = None

    def send_statuses(
        self, now: float, context: GrantClientContext, frame: MachineStatusUpdates
    ) -> None:
        """Report machine statuses to the leader."""
        if self.cluster_manager is None:
            context.outbox.send(self.leader, frame)
        else:
            self.cluster_manager.on_machine_statuses(now, context.member, frame.statuses)

    def send_capacity_requests(
        self, now: float, context: GrantClientContext, frame: CapacityRequests
    ) -> None:
        """Report the tasks that lack capacity to the leader."""
        if self.cluster_manager is None:
            context.outbox.send(self.leader, frame)
        else:
            self.cluster_manager.on_capacity_requests(now, frame)

    def send_zone_affinities(self, context: GrantClientContext, frame: ZoneAffinities) -> None:
        """Report zone affinities, unless the leader may run a version without this frame."""
        if self.cluster_manager is not None:
            self.cluster_manager.on_zone_affinities(frame)
        elif context.is_upgraded(self.leader):
            context.outbox.send(self.leader, frame)

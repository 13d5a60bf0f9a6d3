"""Collaborators, identity and timings shared by the components of a shard's scheduler."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from copperpass.core.autoscaling.machine_groups import longest_boot
from copperpass.core.election.timings import (
    GRANT_TTL_RATIO,
    election_timings,
    worker_lease_expiry_s,
)
from copperpass.core.jobs.job_table import JobTable
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Outbox
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.workers import HEARTBEAT_ANSWER_S, NEXT_CONTROLLER_S
from copperpass.settings import Cluster
from copperpass.tuning import Tuning

# Sizes in GB of the images cached on each machine, by machine and image, least recently used first.
# Kept when a shard assignment ends.
Images = dict[str, "OrderedDict[str, float]"]


def _never_consistent() -> float:
    return float("-inf")


def _always(now: float) -> bool:
    return True


@dataclass(frozen=True, slots=True)
class SchedulerContext:
    """Collaborators and identity of the scheduler of one shard assignment."""

    cluster: Cluster
    outbox: Outbox
    transactions: TransactionQueue
    jobs: JobTable
    types: dict[str, MachineType]
    # Versions of the stored completion pages, by key; the node keeps them up to date.
    completion_versions: dict[str, int]
    # The number of this scheduler's shard, and that of each team's shard.
    shard: int
    shard_by_team: dict[str, int]
    # The leader's fencing token at the start of the term that assigned the shard, and the number of
    # the assignment in that term.
    epoch: int
    generation: int
    # Returns the version of the leader's fencing token key, which guards this scheduler's writes.
    token_version: Callable[[], int]
    # Whether this member owns the shard at a given time.
    has_authority: Callable[[float], bool]
    tuning: Tuning = field(default_factory=Tuning)
    images: Images = field(default_factory=dict)
    # The watch cache contains every change that was confirmed before the returned time.
    consistent_at: Callable[[], float] = _never_consistent
    # Whether this member certainly knows of every confirmed cancellation at a given time.
    may_start: Callable[[float], bool] = _always

    def schedules_team(self, team: str) -> bool:
        """Whether a team belongs to this shard; an unknown team counts as one that does."""
        return self.shard_by_team.get(team, self.shard) == self.shard


@dataclass(slots=True)
class Timing:
    """Durations in seconds, derived from the settings; all but `boot_s` are constant."""

    heartbeat_interval_s: float
    # A worker that has received no answer for this long has certainly ended its tasks.
    lease_s: float
    # How long an owner from the previous term may still answer workers.
    ownership_overlap_s: float
    # A machine without a heartbeat for this long gets no new tasks.
    heartbeat_timeout_s: float
    # Upper bound on the time that a worker takes to find another controller when its own is
    # unreachable. Deleting its machine sooner would lose its tasks.
    unreachable_timeout_s: float
    # Longest boot time of any machine type; the node updates it when the machine types change.
    boot_s: float
    gang_stop_deadline_s: float
    gang_wait_s: float

    @classmethod
    def from_context(cls, context: SchedulerContext) -> Timing:
        """Derive the durations from the cluster settings, the tuning and the machine types."""
        cluster, workers = context.cluster, context.cluster.workers
        heartbeat_interval_s = workers.heartbeat_interval_s
        heartbeat_timeout_s = context.tuning.silence_reports * heartbeat_interval_s
        # A leader of an older version that resigns, or is re-elected at once, deletes its key
        # before its grants have expired. An owner of that term that has not received the deletion
        # event yet may answer workers for the duration of a grant.
        has_several_shards = len(set(context.shard_by_team.values())) > 1
        failover_s = 1.25 * heartbeat_interval_s + HEARTBEAT_ANSWER_S + 3 * NEXT_CONTROLLER_S
        return cls(
            heartbeat_interval_s=heartbeat_interval_s,
            lease_s=worker_lease_expiry_s(cluster),
            ownership_overlap_s=GRANT_TTL_RATIO * election_timings(cluster).leader_ttl_s
            if has_several_shards
            else 0.0,
            heartbeat_timeout_s=heartbeat_timeout_s,
            unreachable_timeout_s=max(1.5 * heartbeat_timeout_s, failover_s),
            boot_s=longest_boot(context.types),
            gang_stop_deadline_s=workers.gang_stop_deadline_s,
            gang_wait_s=workers.gang_wait_s or 2 * workers.lease_s,
        )

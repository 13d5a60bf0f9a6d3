"""Collaborators, identity and timings that the parts of a shard's scheduler share."""

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

# The images that each machine has, with their sizes in GB; kept beyond a shard assignment.
Images = dict[str, "OrderedDict[str, float]"]


def _never() -> float:
    return float("-inf")


@dataclass(frozen=True, slots=True)
class SchedulerContext:
    """The collaborators and identity of the scheduler of one shard assignment."""

    cluster: Cluster
    out: Outbox
    transactions: TransactionQueue
    jobs: JobTable
    types: dict[str, MachineType]
    versions: dict[str, int]
    # The shard that is scheduled, and the shard of each team.
    shard: int
    shards: dict[str, int]
    epoch: int
    generation: int
    token_version: Callable[[], int]
    # Whether this member still owns the shard at a moment.
    has_authority: Callable[[float], bool]
    tuning: Tuning = field(default_factory=Tuning)
    images: Images = field(default_factory=dict)
    # The watch cache has every change that was confirmed before this moment.
    consistent_at: Callable[[], float] = _never

    def schedules_team(self, team: str) -> bool:
        """Whether a team belongs to this shard; unknown teams count as belonging to it."""
        return self.shards.get(team, self.shard) == self.shard


@dataclass(slots=True)
class Timing:
    """Times in seconds that follow from the settings; all but `boot_s` are constant."""

    heartbeat_interval_s: float
    # A worker that has had no answer for this long has certainly ended its tasks.
    lease_s: float
    # For this long an owner of the term before may still answer workers.
    overlap_s: float
    # A machine without a heartbeat for this long gets no new tasks.
    heartbeat_timeout_s: float
    # A worker whose controller is unreachable has found another one after this long at most: to
    # delete its machine sooner would lose its tasks.
    unreachable_timeout_s: float
    # The longest boot of any machine type; the node updates it with the machine types.
    boot_s: float
    gang_stop_deadline_s: float
    gang_wait_s: float

    @classmethod
    def of(cls, context: SchedulerContext) -> Timing:
        """The times for one scheduler."""
        cluster, workers = context.cluster, context.cluster.workers
        heartbeat_interval_s = workers.heartbeat_interval_s
        heartbeat_timeout_s = context.tuning.silence_reports * heartbeat_interval_s
        # A leader of an older version that resigns, or is re-elected at once, deletes its key
        # before its grants have expired: an owner of that term that has no event of it yet may
        # answer workers for the duration of a grant.
        partitioned = len(set(context.shards.values())) > 1
        rerouted_s = 1.25 * heartbeat_interval_s + HEARTBEAT_ANSWER_S + 3 * NEXT_CONTROLLER_S
        return cls(
            heartbeat_interval_s=heartbeat_interval_s,
            lease_s=worker_lease_expiry_s(cluster),
            overlap_s=GRANT_TTL_RATIO * election_timings(cluster).leader_ttl_s
            if partitioned
            else 0.0,
            heartbeat_timeout_s=heartbeat_timeout_s,
            unreachable_timeout_s=max(1.5 * heartbeat_timeout_s, rerouted_s),
            boot_s=longest_boot(context.types),
            gang_stop_deadline_s=workers.gang_stop_deadline_s,
            gang_wait_s=workers.gang_wait_s or 2 * workers.lease_s,
        )

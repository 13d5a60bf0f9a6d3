"""What the parts of a shard's scheduler share and never change: collaborators, identity, times."""

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

# The images that each machine has, with their sizes; kept beyond a single ownership.
Images = dict[str, "OrderedDict[str, float]"]


def _never() -> float:
    return float("-inf")


@dataclass(frozen=True, slots=True)
class SchedulerContext:
    """What a scheduler is given for one ownership of a shard."""

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
    # Whether the shard is still owned at a moment.
    has_authority: Callable[[float], bool]
    tuning: Tuning = field(default_factory=Tuning)
    images: Images = field(default_factory=dict)
    # What was confirmed before this moment is in the view.
    consistent_at: Callable[[], float] = _never

    def schedules_team(self, team: str) -> bool:
        """Whether a team is of this shard; teams that are not known count as its own."""
        return self.shards.get(team, self.shard) == self.shard


@dataclass(slots=True)
class Timing:
    """Times in seconds that follow from the settings; all but `boot_s` stay as they are."""

    report_s: float
    # After this long without an answer a worker has certainly ended its tasks.
    lease_s: float
    # For how long an owner of the term before may still answer workers.
    overlap_s: float
    # A machine that hasn't been heard for this long gets no new tasks.
    heartbeat_timeout_s: float
    # A worker that loses its way is back, over another node, after this long at most: to delete
    # its machine sooner would cost its tasks.
    unreachable_timeout_s: float
    # The longest boot of any machine type; set again by the node when types have come.
    boot_s: float
    gang_notice_s: float
    gang_wait_s: float

    @classmethod
    def of(cls, context: SchedulerContext) -> Timing:
        """The times for one scheduler."""
        cluster, workers = context.cluster, context.cluster.workers
        report_s = workers.report_s
        heartbeat_timeout_s = context.tuning.silence_reports * report_s
        # A leader of an older version that gives up, or comes back within a moment, ends its key
        # before its grants: an owner of that term that hasn't seen it may answer workers for as
        # long as a grant.
        partitioned = len(set(context.shards.values())) > 1
        rerouted_s = 1.25 * report_s + HEARTBEAT_ANSWER_S + 3 * NEXT_CONTROLLER_S
        return cls(
            report_s=report_s,
            lease_s=worker_lease_expiry_s(cluster),
            overlap_s=GRANT_TTL_RATIO * election_timings(cluster).leader_ttl_s
            if partitioned
            else 0.0,
            heartbeat_timeout_s=heartbeat_timeout_s,
            unreachable_timeout_s=max(1.5 * heartbeat_timeout_s, rerouted_s),
            boot_s=longest_boot(context.types),
            gang_notice_s=workers.gang_notice_s,
            gang_wait_s=workers.gang_wait_s or 2 * workers.lease_s,
        )

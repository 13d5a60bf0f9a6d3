"""What the parts of the leader's control loop share during one term."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from copperpass.core.autoscaling.backoff import CapacityBackoff
from copperpass.core.autoscaling.machine_groups import MachineGroup, longest_boot
from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.election.timings import GRANT_TTL_RATIO, worker_lease_expiry_s
from copperpass.core.jobs.job_table import Job, JobTable
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Outbox
from copperpass.core.shards.replication import (
    ReplicationLog,
    ReplicationReceiver,
    ReplicationSender,
)
from copperpass.core.storage.cached_inventory import CachedInventory
from copperpass.core.storage.inventory_writer import InventoryContext
from copperpass.core.storage.machine_inventory import MachineInventory
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.frames.messages import MachineRoute, MachineStatus, ShardAssignment
from copperpass.settings import Cluster
from copperpass.tuning import Tuning

# The revision of a shard whose new owner has to wait until one has been read.
# The inventory takes at most one write in so many that the key-value store allows.
INVENTORY_WRITE_PERIODS = 4
UNKNOWN_REVISION = (1 << 62) - 1


@dataclass(slots=True)
class ManagedMachine:
    """A rented machine, as the leader sees it."""

    route: MachineRoute
    type: MachineType
    created_at: float
    status: MachineStatus
    registered_at: float = 0.0
    idle_since: float = 0.0
    used_cpus: float = 0.0
    in_cloud_listing: bool = False
    deleting: bool = False
    deletion_sent_at: float = float("-inf")
    # The shard that it is asked back for; None: to be returned.
    reclaim_for_shard: int | None = None
    reclaim_deadline: float = 0.0

    @property
    def machine_group(self) -> MachineGroup:
        """What it was rented as."""
        return MachineGroup(self.route.type, self.route.zone, self.route.spot)

    @property
    def releasable(self) -> bool:
        """Whether it could be used elsewhere or returned now."""
        return (
            self.status.idle
            and self.status.reconciled
            and not self.deleting
            and not self.status.deletion_requested
            and not self.route.failed
        )


class CapacityRequest(NamedTuple):
    """Tasks of a job that an owner's machines have no room for in time."""

    job: Job
    tasks: int
    # Seconds until the tasks should start.
    horizon: float


class InstanceRequest(NamedTuple):
    """Machines asked of the cloud, without an answer so far."""

    machine_group: MachineGroup
    machines: int
    shard: int


@dataclass(slots=True)
class Shard:
    """Teams that share an owner and its machines."""

    number: int
    teams: list[str]
    owner: str = ""
    generation: int = 0
    required_revision: int = UNKNOWN_REVISION
    # How far the table had come when the shard was given.
    required_sequence: int = 0
    reading_revision: bool = False
    assignable_at: float = 0.0
    capacity_requests: list[CapacityRequest] = field(default_factory=list)
    capacity_requests_at: float = float("-inf")
    # The zones that jobs in it are tied to, as the owner says.
    zone_affinities: dict[str, str] = field(default_factory=dict)

    @property
    def assignment(self) -> ShardAssignment:
        """The current assignment; only of meaning while there is an owner."""
        return ShardAssignment(
            self.number,
            self.owner,
            self.generation,
            self.required_revision,
            self.required_sequence,
        )


@dataclass(slots=True)
class MemberState:
    """A member that may own shards."""

    incarnation: int = 0
    # When this run of the member first asked.
    joined_at: float = float("inf")
    last_request_at: float = float("-inf")
    grants_expire_at: float = float("-inf")
    replication_sender: ReplicationSender[MachineRoute] | None = None
    replication_receiver: ReplicationReceiver = field(default_factory=ReplicationReceiver)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClusterManagerContext:
    """What a node gives to the manager of a term that it leads.

    The job table, the types and the stored fleet are the node's own and change while the term
    lasts; `hints` and `owners` are what the term before knew: whose each machine was, and who
    owned which shard.
    """

    cluster: Cluster
    tuning: Tuning
    out: Outbox
    transactions: TransactionQueue
    election: LeaderElection
    jobs: JobTable
    types: dict[str, MachineType]
    cached_inventory: CachedInventory
    # The shard of each team.
    shards: dict[str, int]
    previous_routes: dict[str, MachineRoute]
    previous_owners: dict[int, str]
    incarnation: int
    # Whether a member's heartbeats come in at a moment.
    heartbeats_arrive: Callable[[float, str], bool]
    # Whether all members are certainly of this version or a later one.
    all_upgraded: Callable[[], bool] = lambda: False


class ClusterState:
    """Machines, shards, grantees and bookings of one term.

    Every machine stands in `machines` and in `table`, whose entries go to the members; one that the
    cloud has confirmed as deleted stands in `gone` until no late message can speak of it.
    """

    def __init__(self, context: ClusterManagerContext, now: float) -> None:
        self.cluster, self.types, self.election = context.cluster, context.types, context.election
        self.member = context.election.member
        self.epoch = context.election.token
        self.elected_at = now
        self.ready = False
        self.grant_s = GRANT_TTL_RATIO * context.election.leader_ttl_s
        self.heartbeat_interval_s = context.cluster.workers.report_s
        self.lease_s = worker_lease_expiry_s(context.cluster)
        self.boot_s = longest_boot(context.types)
        self.replication_log: ReplicationLog[MachineRoute] = ReplicationLog()
        self.machines: dict[str, ManagedMachine] = {}
        # When each deleted machine was confirmed as gone.
        self.deleted_at: dict[str, float] = {}
        # The table's number when a machine was last added to each shard.
        self.last_added_sequence: dict[int, int] = {}
        self.members: dict[str, MemberState] = {}
        self.members[self.member] = MemberState(context.incarnation, now, now, float("inf"))
        self.shard_of = context.shards
        self.shards: dict[int, Shard] = {}
        for team, number in context.shards.items():
            self.shards.setdefault(number, Shard(number, [])).teams.append(team)
        self.pending_requests: dict[str, InstanceRequest] = {}
        self.backoff = CapacityBackoff()
        # Whether there is more room than has to be kept: work that can wait gets cheap room only.
        self.on_demand_excess = True
        state = context.cluster.state
        self.inventory = MachineInventory(
            InventoryContext(
                transactions=context.transactions,
                token_version=self.token_version,
                record_bytes=state.value_kb * 1024,
                least_value_bytes=state.least_value_bytes,
                max_writes=state.least_txn_ops,
                write_gap_s=INVENTORY_WRITE_PERIODS / state.least_write_rps,
                deadline_s=context.cluster.workers.lease_s,
                all_upgraded=context.all_upgraded,
                limits_announced=state.next is not None,
            )
        )

    def token_version(self) -> int:
        """The version of the token counter that guards this term's writes."""
        return self.election.election_revision

    def serving(self) -> list[ManagedMachine]:
        """The machines that are neither going nor broken."""
        return [
            machine
            for machine in self.machines.values()
            if not machine.deleting
            and not machine.status.deletion_requested
            and not machine.route.failed
        ]

    def assignments(self) -> tuple[ShardAssignment, ...]:
        """Which member owns which shard; shards without an owner are left out."""
        return tuple(shard.assignment for shard in self.shards.values() if shard.owner)

    def owner_of(self, machine: ManagedMachine) -> str:
        """The member that owns a machine's shard; empty where nobody does."""
        shard = self.shards.get(machine.route.shard)
        return shard.owner if shard is not None else ""

    def neediest_shard(self) -> int:
        """The shard whose tasks have the least room for their number."""

        def pressure(shard: Shard) -> tuple[float, int]:
            want = sum(request.tasks * request.job.spec.cpus for request in shard.capacity_requests)
            return (-want, shard.number)

        return min(self.shards.values(), key=pressure).number

"""The state that the components of the leader's control loop share during one term."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from copperpass.core.autoscaling.backoff import CapacityBackoff
from copperpass.core.autoscaling.machine_groups import MachineGroup, longest_boot
from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.election.timings import GRANT_TTL_RATIO, worker_lease_expiry_s
from copperpass.core.jobs.job import Job
from copperpass.core.jobs.job_table import JobTable
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

# The minimum gap between inventory writes, in write periods (1 / write rate) of the key-value
# store: the inventory takes at most one of this many permitted writes.
INVENTORY_WRITE_GAP_PERIODS = 4
# The required revision of a shard until it is read from the store; the new owner waits for that.
UNKNOWN_REVISION = (1 << 62) - 1


@dataclass(slots=True)
class ManagedMachine:
    """A provisioned machine, as known to the leader; times are in seconds."""

    route: MachineRoute
    type: MachineType
    created_at: float
    status: MachineStatus
    registered_at: float = 0.0
    idle_since: float = 0.0
    used_cpus: float = 0.0
    deleting: bool = False
    deletion_sent_at: float = float("-inf")
    # The shard for which the owner is asked to release the machine; None: for deletion.
    reclaim_for_shard: int | None = None
    reclaim_deadline: float = 0.0

    @property
    def machine_group(self) -> MachineGroup:
        """The group that the machine was provisioned from."""
        return MachineGroup(self.route.type, self.route.zone, self.route.spot)

    @property
    def reclaimable(self) -> bool:
        """Whether the machine is idle and could be reassigned or deleted now."""
        return (
            self.status.idle
            and self.status.reconciled
            and not self.deleting
            and not self.status.deletion_requested
            and not self.route.failed
        )


class CapacityRequest(NamedTuple):
    """Tasks of a job that the machines of its shard cannot start in time."""

    job: Job
    tasks: int
    # Seconds until the tasks should start.
    horizon_s: float
    # The job has waited so long that capacity kept for other work doesn't bind it any more.
    starving: bool = False


class InstanceRequest(NamedTuple):
    """A request for machines that the cloud has not answered yet."""

    machine_group: MachineGroup
    machines: int
    shard: int


@dataclass(slots=True)
class Shard:
    """Teams that share an owner and its machines.

    `generation` distinguishes successive assignments. The owner starts no tasks before its watch
    cache has reached `required_revision` and its routes `required_sequence`. A shard without an
    owner is not assigned before `assignable_at`.
    """

    number: int
    teams: list[str]
    owner: str = ""
    generation: int = 0
    required_revision: int = UNKNOWN_REVISION
    required_sequence: int = 0
    reading_revision: bool = False
    assignable_at: float = 0.0
    capacity_requests: list[CapacityRequest] = field(default_factory=list)
    capacity_requests_at: float = float("-inf")
    # By job id, the only zone that the job's other tasks allow, as reported by the owner.
    zone_affinities: dict[str, str] = field(default_factory=dict)

    @property
    def assignment(self) -> ShardAssignment:
        """The current assignment; meaningful only while the shard has an owner."""
        return ShardAssignment(
            self.number,
            self.owner,
            self.generation,
            self.required_revision,
            self.required_sequence,
        )


@dataclass(slots=True)
class MemberState:
    """A member that may own shards: its grants, and the replication to and from it.

    `grants_expire_at` is the expiry on the leader's side, never earlier than on the member's side.
    """

    incarnation: int = 0
    # When this incarnation first requested a grant.
    joined_at: float = float("inf")
    last_request_at: float = float("-inf")
    grants_expire_at: float = float("-inf")
    replication_sender: ReplicationSender[MachineRoute] | None = None
    replication_receiver: ReplicationReceiver = field(default_factory=ReplicationReceiver)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClusterManagerContext:
    """What a node passes to the cluster manager of a term that it leads.

    The job table, the types and the cached inventory belong to the node and change during the term.
    `previous_routes` and `previous_owners` are known to the node from earlier terms.
    """

    cluster: Cluster
    tuning: Tuning
    outbox: Outbox
    transactions: TransactionQueue
    election: LeaderElection
    jobs: JobTable
    types: dict[str, MachineType]
    cached_inventory: CachedInventory
    # The number of each team's shard.
    shard_by_team: dict[str, int]
    previous_routes: dict[str, MachineRoute]
    previous_owners: dict[int, str]
    incarnation: int
    # Whether frames from a peer are arriving; called with the time in seconds and the peer's name.
    is_connected: Callable[[float, str], bool]
    # Whether all members are certainly of this version or a later one.
    all_upgraded: Callable[[], bool] = lambda: False


class ClusterState:
    """Machines, shards, members and pending instance requests of one term.

    Every machine is in `machines`, and its route in `replication_log`, which is replicated to the
    members. A machine that the cloud has confirmed as deleted is in `deleted_at` until no delayed
    message can name it.
    """

    def __init__(self, context: ClusterManagerContext, now: float) -> None:
        self.cluster, self.types, self.election = context.cluster, context.types, context.election
        self.member = context.election.member
        # The leader's fencing token at the start of this term, which identifies the term. A term
        # that continues under a higher token keeps its epoch.
        self.epoch = context.election.token
        self.elected_at = now
        self.ready = False
        self.grant_s = GRANT_TTL_RATIO * context.election.leader_ttl_s
        self.heartbeat_interval_s = context.cluster.workers.heartbeat_interval_s
        self.lease_s = worker_lease_expiry_s(context.cluster)
        self.boot_s = longest_boot(context.types)
        self.replication_log: ReplicationLog[MachineRoute] = ReplicationLog()
        self.machines: dict[str, ManagedMachine] = {}
        # The time at which the deletion of each machine was confirmed, in seconds.
        self.deleted_at: dict[str, float] = {}
        # By shard, the sequence number of the replication log at which it last got a machine.
        self.last_added_sequence: dict[int, int] = {}
        self.members: dict[str, MemberState] = {}
        self.members[self.member] = MemberState(context.incarnation, now, now, float("inf"))
        # The number of each team's shard.
        self.shard_by_team = context.shard_by_team
        # The state of each shard, by number.
        self.shards: dict[int, Shard] = {}
        for team, number in context.shard_by_team.items():
            self.shards.setdefault(number, Shard(number, [])).teams.append(team)
        self.pending_requests: dict[str, InstanceRequest] = {}
        self.backoff = CapacityBackoff()
        # Whether there is more on-demand capacity than has to be kept. If so, work that can wait
        # gets only spot capacity.
        self.on_demand_excess = True
        state = context.cluster.state
        self.inventory = MachineInventory(
            InventoryContext(
                transactions=context.transactions,
                token_version=self.token_version,
                max_value_bytes=state.value_kb * 1024,
                least_value_bytes=state.least_value_bytes,
                max_writes=state.least_txn_ops,
                write_interval_s=INVENTORY_WRITE_GAP_PERIODS / state.least_write_rps,
                deadline_s=context.cluster.workers.lease_s,
                all_upgraded=context.all_upgraded,
                limits_announced=state.next is not None,
            )
        )

    def token_version(self) -> int:
        """Return the version of the fencing token key, which guards this term's writes."""
        return self.election.election_revision

    def active_machines(self) -> list[ManagedMachine]:
        """Return the machines that are neither being deleted nor failed."""
        return [
            machine
            for machine in self.machines.values()
            if not machine.deleting
            and not machine.status.deletion_requested
            and not machine.route.failed
        ]

    def assignments(self) -> tuple[ShardAssignment, ...]:
        """Return the current assignment of each shard that has an owner."""
        return tuple(shard.assignment for shard in self.shards.values() if shard.owner)

    def owner_of(self, machine: ManagedMachine) -> str:
        """Return the member that owns a machine's shard; an empty string if there is none."""
        shard = self.shards.get(machine.route.shard)
        return shard.owner if shard is not None else ""

    def shard_with_highest_demand(self) -> int:
        """Return the shard that requests the most CPUs; on ties, the one with the lowest number."""

        def sort_key(shard: Shard) -> tuple[float, int]:
            requested_cpus = sum(
                request.tasks * request.job.spec.cpus for request in shard.capacity_requests
            )
            return (-requested_cpus, shard.number)

        return min(self.shards.values(), key=sort_key).number

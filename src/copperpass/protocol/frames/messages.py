"""The messages that controllers exchange, as plain values."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

# A shard's number has one byte in frames; the highest stands for none.
NO_SHARD = 255
MAX_SHARDS = NO_SHARD
# In `MemberHeartbeat.state_age_ms`: the key-value store has never answered.
NEVER_ANSWERED = 0xFFFFFFFF


class Occupancy(IntEnum):
    """Which shards' tasks may run on a machine, beside those that its owner knows."""

    EMPTY = 0
    ANY_SHARD = 1
    OWN_SHARD = 2


@dataclass(frozen=True, slots=True)
class MachineContact:
    """Where a machine's agent answers, and the last sequence number it has accepted."""

    address: str
    agent_epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class MachineRoute:
    """A machine in the leader's replication log: its shard, and the base token of its owner.

    `recorded`: the inventory has stored that it has been up. `reclaim_requested`: its owner is to
    release it if it is idle, with `drain` in any case, to be used elsewhere or deleted.
    `proven_empty`: released empty a moment ago under the same leader, so that the contact is
    certain and nothing runs there.
    """

    name: str
    type: str
    zone: str
    spot: bool
    shard: int
    base_token: int
    occupancy: int = Occupancy.EMPTY
    recorded: bool = False
    reclaim_requested: bool = False
    drain: bool = False
    failed: bool = False
    deleted: bool = False
    contact: MachineContact | None = None
    proven_empty: bool = False


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """A machine in its owner's replication log: what its heartbeats have shown.

    `registered`: it has sent one. `reconciled`: the owner knows all that runs there. `released`:
    the owner commands it no more; `shard` then says whose tasks are on it, if another shard's.
    `deletion_requested`: the owner wants it deleted.
    """

    name: str
    base_token: int
    registered: bool = False
    reconciled: bool = False
    idle: bool = False
    released: bool = False
    shard: int = NO_SHARD
    deletion_requested: bool = False
    used_cpus: float = 0.0
    contact: MachineContact | None = None


class PendingTasks(NamedTuple):
    """Tasks of a job that the machines of their shard have no capacity for in time."""

    job: str
    tasks: int
    # Seconds until they should start.
    horizon: float


@dataclass(frozen=True, slots=True)
class Hello:
    """Who opened the connection."""

    member: str


@dataclass(frozen=True, slots=True)
class MemberHeartbeat:
    """The highest fencing token seen, and the age of the key-value store's last answer."""

    token: int
    state_age_ms: int


@dataclass(frozen=True, slots=True)
class LeaseExtensionRequest:
    """A leader asks a member to vote for the extension of its lease."""

    token: int
    number: int


@dataclass(frozen=True, slots=True)
class LeaseExtensionVote:
    """The answer to `LeaseExtensionRequest`."""

    token: int
    number: int
    granted: bool


@dataclass(frozen=True, slots=True)
class RunningCounts:
    """Running tasks by job, for display on members that don't own them."""

    running: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RelayedHeartbeat:
    """A worker's heartbeat, relayed to the member that owns its machine."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """The owner's answer to a relayed heartbeat, to be returned to the worker."""

    number: int
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A member asks its leader to extend its grants; acknowledges the routes it has applied."""

    epoch: int
    incarnation: int
    number: int
    acknowledged_sequence: int


@dataclass(frozen=True, slots=True)
class ShardAssignment:
    """Which member owns a shard; the generation tells one assignment from the next.

    The owner starts nothing before its watch cache has reached `required_revision` and its routes
    `required_sequence`.
    """

    shard: int
    member: str
    generation: int
    required_revision: int
    required_sequence: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to `GrantRequest`: the assignments, valid for a length counted from the request.

    Acknowledges the statuses that the leader has applied.
    """

    epoch: int
    incarnation: int
    number: int
    length_ms: int
    token_version: int
    on_demand_excess: bool
    acknowledged_sequence: int
    assignments: tuple[ShardAssignment, ...] = ()


@dataclass(frozen=True, slots=True)
class RouteUpdates:
    """Consecutive entries of the leader's replication log."""

    epoch: int
    incarnation: int
    after_sequence: int
    last_sequence: int
    routes: tuple[MachineRoute, ...]


@dataclass(frozen=True, slots=True)
class MachineStatusUpdates:
    """Consecutive entries of an owner's replication log."""

    epoch: int
    incarnation: int
    after_sequence: int
    last_sequence: int
    statuses: tuple[MachineStatus, ...]


@dataclass(frozen=True, slots=True)
class CapacityRequests:
    """Tasks that a shard's machines have no capacity for in time, the most urgent first.

    `acknowledged_sequence`: the routes that the owner knew of; the leader skips older requests.
    """

    epoch: int
    shard: int
    acknowledged_sequence: int
    requests: tuple[PendingTasks, ...]


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancellation is stored; the receiver's watch cache may be late to show it."""

    job: str


@dataclass(frozen=True, slots=True)
class ZoneAffinities:
    """The jobs of `CapacityRequests` whose other tasks tie them to a zone, with the zone."""

    epoch: int
    shard: int
    zones: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class UnknownFrame:
    """A frame of a later version that this one can't read: to be skipped."""

    kind: int
    reason: str


Frame = (
    Hello
    | MemberHeartbeat
    | LeaseExtensionRequest
    | LeaseExtensionVote
    | RunningCounts
    | RelayedHeartbeat
    | RelayedAnswer
    | GrantRequest
    | Grant
    | RouteUpdates
    | MachineStatusUpdates
    | CapacityRequests
    | JobCancelled
    | ZoneAffinities
)

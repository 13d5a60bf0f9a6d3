"""The messages that controllers exchange, as plain values."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

# A shard's number has one byte in frames; the highest stands for none.
NO_SHARD = 255
MAX_SHARDS = NO_SHARD
# In `MemberHeartbeat.state_age_ms`: the state service has never answered.
NEVER_ANSWERED = 0xFFFFFFFF


class Occupancy(IntEnum):
    """Whose tasks a machine may hold that its owner has not seen."""

    EMPTY = 0
    ANY_SHARD = 1
    OWN_SHARD = 2


@dataclass(frozen=True, slots=True)
class MachineContact:
    """Where a machine was heard last."""

    address: str
    agent_epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class MachineRoute:
    """A machine in the leader's table: whose it is, and under which token."""

    name: str
    type: str
    zone: str
    spot: bool
    shard: int
    base_token: int
    occupancy: int = Occupancy.EMPTY
    recorded: bool = False
    # Its owner shall give it back if it is idle (`drain`: in any case), to be used elsewhere.
    reclaim_requested: bool = False
    drain: bool = False
    failed: bool = False
    deleted: bool = False
    contact: MachineContact | None = None
    # Given back empty a moment ago under the same leader: the contact is certain, nothing is there.
    proven_empty: bool = False


@dataclass(frozen=True, slots=True)
class MachineStatus:
    """A machine in an owner's table: what its reports have shown."""

    name: str
    base_token: int
    registered: bool = False
    reconciled: bool = False
    idle: bool = False
    # Given back: its owner commands it no more. `shard`: whose tasks are on it, if not the owner's.
    released: bool = False
    shard: int = NO_SHARD
    # Its owner wants it deleted.
    deletion_requested: bool = False
    used_cpus: float = 0.0
    contact: MachineContact | None = None


class PendingTasks(NamedTuple):
    """Tasks of a job that an owner's machines have no room for in time."""

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
    """A sign of life: the highest token seen, and the age of the last answer of the state."""

    token: int
    state_age_ms: int


@dataclass(frozen=True, slots=True)
class LeaseExtensionRequest:
    """A leader asks for a promise."""

    token: int
    number: int


@dataclass(frozen=True, slots=True)
class LeaseExtensionVote:
    """The answer to PromiseRequest."""

    token: int
    number: int
    granted: bool


@dataclass(frozen=True, slots=True)
class RunningCounts:
    """Running tasks by job, for display on nodes that don't lead."""

    running: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RelayedHeartbeat:
    """A worker's report, handed on to the member that commands its machine."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """What the worker whose report was handed on is to be answered."""

    number: int
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A member asks its leader to extend its grants."""

    epoch: int
    incarnation: int
    number: int
    acknowledged_sequence: int


@dataclass(frozen=True, slots=True)
class ShardAssignment:
    """Who owns a shard of teams; the serial tells one ownership from the next."""

    shard: int
    member: str
    generation: int
    required_revision: int
    # The number of the leader's table that the owner must have reached before it starts anything.
    required_sequence: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to GrantRequest: for how long, from the asking, the shares hold."""

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
    """Part of the leader's table of machines."""

    epoch: int
    incarnation: int
    after_sequence: int
    last_sequence: int
    routes: tuple[MachineRoute, ...]


@dataclass(frozen=True, slots=True)
class MachineStatusUpdates:
    """Part of an owner's table of machines."""

    epoch: int
    incarnation: int
    after_sequence: int
    last_sequence: int
    statuses: tuple[MachineStatus, ...]


@dataclass(frozen=True, slots=True)
class CapacityRequests:
    """Tasks of a shard that its machines have no room for in time."""

    epoch: int
    shard: int
    acknowledged_sequence: int
    requests: tuple[PendingTasks, ...]


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancellation is stored: the receiver's view may be late to see it."""

    job: str


@dataclass(frozen=True, slots=True)
class ZoneAffinities:
    """Of the tasks that MachineRequests names: the jobs whose other tasks tie them to a zone."""

    epoch: int
    shard: int
    zones: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class UnknownFrame:
    """What a member of a later version has sent and this one can't read: to be skipped."""

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

"""The messages between controllers, as plain values.

`epoch` is the fencing token of the leader's term, `incarnation` a random number that identifies a
member's process. `number` matches an answer to its request.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, IntFlag
from typing import NamedTuple

from copperpass.protocol.workers import HeartbeatId

# Frames carry a shard's number in one byte; the highest value stands for no shard.
NO_SHARD = 255
MAX_SHARDS = NO_SHARD
# Relay numbers from here on are those of members that know `IdentifiedAnswer`; versions up to 0.5.0
# count from 1. A frame carries the number in four bytes.
FIRST_IDENTIFIED_NUMBER = 1 << 31
MAX_RELAY_NUMBER = (1 << 32) - 1
# In `MemberHeartbeat.cache_age_ms`: the watch cache has never been consistent.
NEVER_CONSISTENT = 0xFFFFFFFF


class FrameFeature(IntFlag):
    """Frames that not all versions know; a member's heartbeats say which ones it knows.

    The values are bits in the token of `MemberHeartbeat` on the wire.
    """

    NONE = 0
    # `StartPermit` and the frames that go with it.
    START_PERMITS = 1 << 63
    # `FinalStateNotice` and `FinalStateAcknowledged`.
    FINAL_STATES = 1 << 62


# The features of this version.
OWN_FEATURES = FrameFeature.START_PERMITS | FrameFeature.FINAL_STATES


class Occupancy(IntEnum):
    """Which shards' tasks may run on a machine beside those that its owner knows of."""

    EMPTY = 0
    ANY_SHARD = 1
    OWN_SHARD = 2


@dataclass(frozen=True, slots=True)
class MachineContact:
    """The address and epoch of a machine's agent, and its last accepted sequence number."""

    address: str
    agent_epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class MachineRoute:
    """A machine in the leader's replication log: its shard, and the base token of its owner.

    `recorded`: the inventory has stored that the machine has been up.
    `reclaim_requested`: the owner should release the machine if it is idle, so that it can serve
    another shard or be deleted; with `drain`, even if tasks run on it.
    `proven_empty`: the last owner has just released the machine empty under the same leader, so
    nothing runs on it and `contact` is valid.
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
    """A machine in its owner's replication log, as known from the machine's heartbeats.

    `registered`: the machine has sent a heartbeat.
    `reconciled`: the owner knows all tasks on the machine.
    `released`: the owner no longer commands the machine. If tasks of another shard run on it,
    `shard` is that shard.
    `deletion_requested`: the owner wants the machine to be deleted.
    `beyond_guarantee`: the machine's tasks, together with those of the other machines of which this
    is said, are beyond their team's guarantee, so the machine may be drained for another shard's.
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
    beyond_guarantee: bool = False


class PendingTasks(NamedTuple):
    """Tasks of a job for which the machines of its shard will not have capacity in time."""

    job: str
    tasks: int
    # Seconds until the tasks should start; negative if the job has had no placement for so long
    # that capacity which is kept for other work doesn't bind it any more.
    horizon_s: float


@dataclass(frozen=True, slots=True)
class Hello:
    """The name of the member that opened the connection."""

    member: str


@dataclass(frozen=True, slots=True)
class MemberHeartbeat:
    """The highest fencing token that a member has seen, and the age of its watch cache.

    `features`: which of the frames that not all versions know the sender knows.
    """

    token: int
    cache_age_ms: int
    features: FrameFeature = FrameFeature.NONE


@dataclass(frozen=True, slots=True)
class LeaseExtensionRequest:
    """A leader's request to a member to vote for the extension of its lease."""

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
    """The answer to a relayed heartbeat from or to a member of a version up to 0.5.0.

    It does not say which heartbeat it answers: an answer to an earlier process of the relaying
    member may have the number of another worker's heartbeat.
    """

    number: int
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class IdentifiedAnswer:
    """The owner's answer to a relayed heartbeat, to be returned to the worker that sent it."""

    number: int
    heartbeat: HeartbeatId
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A member's request to the leader to extend its grants.

    `acknowledged_sequence`: the last of the leader's routes that the member has applied.
    """

    epoch: int
    incarnation: int
    number: int
    acknowledged_sequence: int


@dataclass(frozen=True, slots=True)
class ShardAssignment:
    """The owner of a shard; `generation` differs for each assignment of a term.

    The owner starts no task before its watch cache has reached `required_revision` and its routes
    have reached `required_sequence`.
    """

    shard: int
    member: str
    generation: int
    required_revision: int
    required_sequence: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to `GrantRequest`: the assignments, valid for `length_ms` from the request on.

    `token_version`: the version of the fencing token's key, which guards writes of the term.
    `on_demand_excess`: some on-demand capacity could be scaled in, so work that can wait gets only
    spot capacity.
    `acknowledged_sequence`: the last of the member's statuses that the leader has applied.
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
    """The pending tasks for which a shard needs more machines, the most urgent first.

    `acknowledged_sequence`: the last route that the owner knew of; the leader ignores requests that
    do not take its latest routes to the shard into account.
    """

    epoch: int
    shard: int
    acknowledged_sequence: int
    requests: tuple[PendingTasks, ...]


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancellation is stored; sent because the receiver's watch cache may lag behind."""

    job: str


@dataclass(frozen=True, slots=True)
class CancellationAcknowledged:
    """The answer to `JobCancelled`: the sender starts no more tasks of the job."""

    job: str


@dataclass(frozen=True, slots=True)
class StartPermitRequest:
    """A request to start tasks although the sender's watch cache is not recent.

    `revision`: the store's revision that the sender's watch cache has reached.
    """

    number: int
    revision: int


@dataclass(frozen=True, slots=True)
class StartPermit:
    """The answer to `StartPermitRequest`; valid for a time from the sending of the request on.

    Until then the sender tells no user of a cancellation that the receiver has not acknowledged.
    """

    number: int


@dataclass(frozen=True, slots=True)
class FinalStateNotice:
    """The final state of a job is stored; a user is about to be told of it."""

    job: str


@dataclass(frozen=True, slots=True)
class FinalStateAcknowledged:
    """The answer to `FinalStateNotice`: the sender tells no user of an older state any more."""

    job: str


@dataclass(frozen=True, slots=True)
class ZoneAffinities:
    """Zones of jobs in `CapacityRequests` whose other tasks tie them to a zone, by job id."""

    epoch: int
    shard: int
    zones: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class UnknownFrame:
    """A frame of a later version that this version cannot decode, so the receiver skips it."""

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
    | IdentifiedAnswer
    | GrantRequest
    | Grant
    | RouteUpdates
    | MachineStatusUpdates
    | CapacityRequests
    | JobCancelled
    | CancellationAcknowledged
    | StartPermitRequest
    | StartPermit
    | FinalStateNotice
    | FinalStateAcknowledged
    | ZoneAffinities
)

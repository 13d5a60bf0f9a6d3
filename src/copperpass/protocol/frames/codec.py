"""The bytes of each kind of frame: one codec a kind, in one table."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from copperpass.errors import FrameError, NewerFrameError
from copperpass.protocol.frames.messages import (
    CapacityRequests,
    Frame,
    Grant,
    GrantRequest,
    Hello,
    JobCancelled,
    LeaseExtensionRequest,
    LeaseExtensionVote,
    MachineContact,
    MachineRoute,
    MachineStatus,
    MachineStatusUpdates,
    MemberHeartbeat,
    PendingTasks,
    RelayedAnswer,
    RelayedHeartbeat,
    RouteUpdates,
    RunningCounts,
    ShardAssignment,
    ZoneAffinities,
)

MAGIC, FRAME_VERSION = b"cp", 3
HEADER = struct.Struct("!2sBBI")
# A heartbeat or its answer may have 64 KiB, a batch of routes some 20 KiB as a rule.
MAX_PAYLOAD_BYTES = 1 << 18
# Requests for machines in one frame, the most urgent first: with names of up to 55 bytes it stays
# within a payload. The rest is asked for when these have been served.
MAX_REQUESTS_PER_FRAME = 1 << 12
MAX_TEXT_BYTES = 255


class FrameKind(IntEnum):
    """The kinds of frames, as the header has them."""

    HELLO = 1
    MEMBER_HEARTBEAT = 2
    LEASE_EXTENSION_REQUEST = 3
    LEASE_EXTENSION_VOTE = 4
    RUNNING_COUNTS = 5
    RELAYED_HEARTBEAT = 6
    RELAYED_ANSWER = 7
    GRANT_REQUEST = 8
    GRANT = 9
    ROUTE_UPDATES = 10
    MACHINE_STATUS_UPDATES = 11
    CAPACITY_REQUESTS = 12
    # Members up to 0.3.0 close the link on a kind that they don't know: these go only to members
    # that are proven to know them. Later ones skip what they don't know.
    JOB_CANCELLED = 13
    ZONE_AFFINITIES = 14


@dataclass(frozen=True, slots=True)
class FrameCodec:
    """How the payload of one kind of frame is written and read."""

    kind: FrameKind
    message_type: type[Frame]
    encode: Callable[[Any], bytes]
    decode: Callable[[PayloadReader], Frame]


class PayloadReader:
    """Reads a payload from front to back."""

    def __init__(self, payload: bytes) -> None:
        self.payload, self.offset = payload, 0

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """The values of a fixed layout; raises `struct.error` where the payload is too short."""
        values = layout.unpack_from(self.payload, self.offset)
        self.offset += layout.size
        return values

    def text(self) -> str:
        """A text behind one byte of its length."""
        if self.at_end():
            raise FrameError("short")
        return self.bytes_of(self.unpack(_LENGTH)[0]).decode()

    def bytes_of(self, size: int) -> bytes:
        """So many bytes."""
        end = self.offset + size
        if end > len(self.payload):
            raise FrameError("short")
        raw = self.payload[self.offset : end]
        self.offset = end
        return raw

    def rest(self) -> bytes:
        """All that is left."""
        return self.bytes_of(len(self.payload) - self.offset)

    def at_end(self) -> bool:
        """Whether nothing is left."""
        return self.offset >= len(self.payload)

    def finish(self) -> None:
        """Raise `NewerFrameError` if something is left."""
        if not self.at_end():
            raise NewerFrameError("longer than known")


_LENGTH = struct.Struct("!B")
_HEARTBEAT = struct.Struct("!QI")
_LEASE_EXTENSION_REQUEST = struct.Struct("!QQ")
_LEASE_EXTENSION_VOTE = struct.Struct("!QQB")
_RUNNING_COUNT = struct.Struct("!BI")
_RELAYED_HEARTBEAT = struct.Struct("!I")
_RELAYED_ANSWER = struct.Struct("!IH")
_GRANT_REQUEST = struct.Struct("!QQIQ")
_GRANT = struct.Struct("!QQIIQBQB")
_ASSIGNMENT = struct.Struct("!BIQQ")
_BATCH = struct.Struct("!QQQQH")
_ROUTE = struct.Struct("!BQBB")
_STATUS = struct.Struct("!QBBf")
_CONTACT = struct.Struct("!QQ")
_CAPACITY_REQUESTS = struct.Struct("!QBQH")
_PENDING_TASKS = struct.Struct("!If")
_ZONE_AFFINITIES = struct.Struct("!QBH")


def _text(value: str) -> bytes:
    raw = value.encode()[:MAX_TEXT_BYTES]
    return _LENGTH.pack(len(raw)) + raw


def _pack_flags(*values: bool) -> int:
    return sum(1 << bit for bit, value in enumerate(values) if value)


def _unpack_flags(flags: int, count: int) -> tuple[bool, ...]:
    return tuple(bool(flags >> bit & 1) for bit in range(count))


# -- parts of frames -------------------------------------------------------------------


def _encode_contact(contact: MachineContact | None) -> bytes:
    if contact is None:
        return b""
    return _text(contact.address) + _CONTACT.pack(contact.agent_epoch, contact.sequence)


def _decode_contact(reader: PayloadReader, present: bool) -> MachineContact | None:
    return MachineContact(reader.text(), *reader.unpack(_CONTACT)) if present else None


def _encode_route(route: MachineRoute) -> bytes:
    flags = _pack_flags(
        route.spot,
        route.recorded,
        route.reclaim_requested,
        route.drain,
        route.failed,
        route.deleted,
        route.proven_empty,
        route.contact is not None,
    )
    return (
        _text(route.name)
        + _text(route.type)
        + _text(route.zone)
        + _ROUTE.pack(route.shard, route.base_token, route.occupancy, flags)
        + _encode_contact(route.contact)
    )


def _decode_route(reader: PayloadReader) -> MachineRoute:
    name, machine_type, zone = reader.text(), reader.text(), reader.text()
    shard, base_token, occupancy, flags = reader.unpack(_ROUTE)
    spot, recorded, reclaim_requested, drain, failed, deleted, proven_empty, reached = (
        _unpack_flags(flags, 8)
    )
    return MachineRoute(
        name=name,
        type=machine_type,
        zone=zone,
        spot=spot,
        shard=shard,
        base_token=base_token,
        occupancy=occupancy,
        recorded=recorded,
        reclaim_requested=reclaim_requested,
        drain=drain,
        failed=failed,
        deleted=deleted,
        contact=_decode_contact(reader, reached),
        proven_empty=proven_empty,
    )


def _encode_status(status: MachineStatus) -> bytes:
    flags = _pack_flags(
        status.registered,
        status.reconciled,
        status.idle,
        status.released,
        status.deletion_requested,
        status.contact is not None,
    )
    return (
        _text(status.name)
        + _STATUS.pack(status.base_token, flags, status.shard, status.used_cpus)
        + _encode_contact(status.contact)
    )


def _decode_status(reader: PayloadReader) -> MachineStatus:
    name = reader.text()
    base_token, flags, shard, used_cpus = reader.unpack(_STATUS)
    registered, reconciled, idle, released, deletion_requested, reached = _unpack_flags(flags, 6)
    return MachineStatus(
        name=name,
        base_token=base_token,
        registered=registered,
        reconciled=reconciled,
        idle=idle,
        released=released,
        shard=shard,
        deletion_requested=deletion_requested,
        used_cpus=used_cpus,
        contact=_decode_contact(reader, reached),
    )


def _encode_assignment(assignment: ShardAssignment) -> bytes:
    return _text(assignment.member) + _ASSIGNMENT.pack(
        assignment.shard,
        assignment.generation,
        assignment.required_revision,
        assignment.required_sequence,
    )


def _decode_assignment(reader: PayloadReader) -> ShardAssignment:
    member = reader.text()
    shard, generation, required_revision, required_sequence = reader.unpack(_ASSIGNMENT)
    return ShardAssignment(shard, member, generation, required_revision, required_sequence)


def _encode_pending_tasks(request: PendingTasks) -> bytes:
    job_id, tasks, horizon = request
    return _text(job_id) + _PENDING_TASKS.pack(tasks, horizon)


def _decode_pending_tasks(reader: PayloadReader) -> PendingTasks:
    job_id = reader.text()
    return PendingTasks(job_id, *reader.unpack(_PENDING_TASKS))


# -- frames ----------------------------------------------------------------------------


def _encode_heartbeat(frame: MemberHeartbeat) -> bytes:
    return _HEARTBEAT.pack(frame.token, frame.state_age_ms)


def _encode_lease_extension_request(frame: LeaseExtensionRequest) -> bytes:
    return _LEASE_EXTENSION_REQUEST.pack(frame.token, frame.number)


def _encode_lease_extension_vote(frame: LeaseExtensionVote) -> bytes:
    return _LEASE_EXTENSION_VOTE.pack(frame.token, frame.number, frame.granted)


def _decode_lease_extension_vote(reader: PayloadReader) -> LeaseExtensionVote:
    token, number, granted = reader.unpack(_LEASE_EXTENSION_VOTE)
    reader.finish()
    if granted > 1:
        raise FrameError("neither yes nor no")
    return LeaseExtensionVote(token, number, bool(granted))


def _encode_running_counts(frame: RunningCounts) -> bytes:
    """As many counts as one payload holds: they serve display alone."""
    parts: list[bytes] = []
    size = 0
    for job_id, count in frame.running.items():
        name = job_id.encode()
        size += _RUNNING_COUNT.size + len(name)
        if size > MAX_PAYLOAD_BYTES:
            break
        parts.append(_RUNNING_COUNT.pack(len(name), count) + name)
    return b"".join(parts)


def _decode_running_counts(reader: PayloadReader) -> RunningCounts:
    running: dict[str, int] = {}
    while not reader.at_end():
        size, count = reader.unpack(_RUNNING_COUNT)
        running[reader.bytes_of(size).decode()] = count
    return RunningCounts(running)


def _encode_relayed_heartbeat(frame: RelayedHeartbeat) -> bytes:
    return _RELAYED_HEARTBEAT.pack(frame.number) + frame.body


def _decode_relayed_heartbeat(reader: PayloadReader) -> RelayedHeartbeat:
    (number,) = reader.unpack(_RELAYED_HEARTBEAT)
    return RelayedHeartbeat(number, reader.rest())


def _encode_relayed_answer(frame: RelayedAnswer) -> bytes:
    return _RELAYED_ANSWER.pack(frame.number, frame.status) + frame.body


def _decode_relayed_answer(reader: PayloadReader) -> RelayedAnswer:
    number, status = reader.unpack(_RELAYED_ANSWER)
    return RelayedAnswer(number, status, reader.rest())


def _encode_grant_request(frame: GrantRequest) -> bytes:
    return _GRANT_REQUEST.pack(
        frame.epoch, frame.incarnation, frame.number, frame.acknowledged_sequence
    )


def _encode_grant(frame: Grant) -> bytes:
    head = _GRANT.pack(
        frame.epoch,
        frame.incarnation,
        frame.number,
        frame.length_ms,
        frame.token_version,
        frame.on_demand_excess,
        frame.acknowledged_sequence,
        len(frame.assignments),
    )
    return head + b"".join(_encode_assignment(assignment) for assignment in frame.assignments)


def _decode_grant(reader: PayloadReader) -> Grant:
    (
        epoch,
        incarnation,
        number,
        length_ms,
        token_version,
        on_demand_excess,
        acknowledged_sequence,
        count,
    ) = reader.unpack(_GRANT)
    return Grant(
        epoch=epoch,
        incarnation=incarnation,
        number=number,
        length_ms=length_ms,
        token_version=token_version,
        on_demand_excess=bool(on_demand_excess),
        acknowledged_sequence=acknowledged_sequence,
        assignments=tuple(_decode_assignment(reader) for _ in range(count)),
    )


def _encode_routes(frame: RouteUpdates) -> bytes:
    head = _BATCH.pack(
        frame.epoch, frame.incarnation, frame.after_sequence, frame.last_sequence, len(frame.routes)
    )
    return head + b"".join(_encode_route(route) for route in frame.routes)


def _decode_routes(reader: PayloadReader) -> RouteUpdates:
    epoch, incarnation, after_sequence, last_sequence, count = reader.unpack(_BATCH)
    routes = tuple(_decode_route(reader) for _ in range(count))
    return RouteUpdates(epoch, incarnation, after_sequence, last_sequence, routes)


def _encode_statuses(frame: MachineStatusUpdates) -> bytes:
    head = _BATCH.pack(
        frame.epoch,
        frame.incarnation,
        frame.after_sequence,
        frame.last_sequence,
        len(frame.statuses),
    )
    return head + b"".join(_encode_status(status) for status in frame.statuses)


def _decode_statuses(reader: PayloadReader) -> MachineStatusUpdates:
    epoch, incarnation, after_sequence, last_sequence, count = reader.unpack(_BATCH)
    statuses = tuple(_decode_status(reader) for _ in range(count))
    return MachineStatusUpdates(epoch, incarnation, after_sequence, last_sequence, statuses)


def _encode_capacity_requests(frame: CapacityRequests) -> bytes:
    head = _CAPACITY_REQUESTS.pack(
        frame.epoch, frame.shard, frame.acknowledged_sequence, len(frame.requests)
    )
    return head + b"".join(_encode_pending_tasks(request) for request in frame.requests)


def _decode_capacity_requests(reader: PayloadReader) -> CapacityRequests:
    epoch, shard, acknowledged_sequence, count = reader.unpack(_CAPACITY_REQUESTS)
    requests = tuple(_decode_pending_tasks(reader) for _ in range(count))
    return CapacityRequests(epoch, shard, acknowledged_sequence, requests)


def _encode_zone_affinities(frame: ZoneAffinities) -> bytes:
    head = _ZONE_AFFINITIES.pack(frame.epoch, frame.shard, len(frame.zones))
    return head + b"".join(_text(job_id) + _text(zone) for job_id, zone in frame.zones)


def _decode_zone_affinities(reader: PayloadReader) -> ZoneAffinities:
    epoch, shard, count = reader.unpack(_ZONE_AFFINITIES)
    zones = tuple((reader.text(), reader.text()) for _ in range(count))
    return ZoneAffinities(epoch, shard, zones)


CODECS = (
    FrameCodec(
        FrameKind.HELLO,
        Hello,
        lambda frame: frame.member.encode(),
        lambda reader: Hello(reader.rest().decode()),
    ),
    FrameCodec(
        FrameKind.MEMBER_HEARTBEAT,
        MemberHeartbeat,
        _encode_heartbeat,
        lambda reader: MemberHeartbeat(*reader.unpack(_HEARTBEAT)),
    ),
    FrameCodec(
        FrameKind.LEASE_EXTENSION_REQUEST,
        LeaseExtensionRequest,
        _encode_lease_extension_request,
        lambda reader: LeaseExtensionRequest(*reader.unpack(_LEASE_EXTENSION_REQUEST)),
    ),
    FrameCodec(
        FrameKind.LEASE_EXTENSION_VOTE,
        LeaseExtensionVote,
        _encode_lease_extension_vote,
        _decode_lease_extension_vote,
    ),
    FrameCodec(
        FrameKind.RUNNING_COUNTS, RunningCounts, _encode_running_counts, _decode_running_counts
    ),
    FrameCodec(
        FrameKind.RELAYED_HEARTBEAT,
        RelayedHeartbeat,
        _encode_relayed_heartbeat,
        _decode_relayed_heartbeat,
    ),
    FrameCodec(
        FrameKind.RELAYED_ANSWER, RelayedAnswer, _encode_relayed_answer, _decode_relayed_answer
    ),
    FrameCodec(
        FrameKind.GRANT_REQUEST,
        GrantRequest,
        _encode_grant_request,
        lambda reader: GrantRequest(*reader.unpack(_GRANT_REQUEST)),
    ),
    FrameCodec(FrameKind.GRANT, Grant, _encode_grant, _decode_grant),
    FrameCodec(FrameKind.ROUTE_UPDATES, RouteUpdates, _encode_routes, _decode_routes),
    FrameCodec(
        FrameKind.MACHINE_STATUS_UPDATES, MachineStatusUpdates, _encode_statuses, _decode_statuses
    ),
    FrameCodec(
        FrameKind.CAPACITY_REQUESTS,
        CapacityRequests,
        _encode_capacity_requests,
        _decode_capacity_requests,
    ),
    FrameCodec(
        FrameKind.JOB_CANCELLED,
        JobCancelled,
        lambda frame: frame.job.encode(),
        lambda reader: JobCancelled(reader.rest().decode()),
    ),
    FrameCodec(
        FrameKind.ZONE_AFFINITIES, ZoneAffinities, _encode_zone_affinities, _decode_zone_affinities
    ),
)
_BY_KIND: dict[int, FrameCodec] = {codec.kind: codec for codec in CODECS}
_BY_TYPE = {codec.message_type: codec for codec in CODECS}


def encode_frame(frame: Frame) -> bytes:
    """The bytes of a frame, header included."""
    codec = _BY_TYPE[type(frame)]
    payload = codec.encode(frame)
    return HEADER.pack(MAGIC, FRAME_VERSION, codec.kind, len(payload)) + payload


def decode_payload(kind: int, payload: bytes) -> Frame:
    """The frame of a kind with that payload; raises `FrameError` or `NewerFrameError`."""
    codec = _BY_KIND.get(kind)
    if codec is None:
        raise NewerFrameError("unknown kind")
    reader = PayloadReader(payload)
    try:
        frame = codec.decode(reader)
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error
    reader.finish()
    return frame

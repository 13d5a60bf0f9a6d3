"""Codecs of the frames between the leader and shard owners: grants, machines, demand."""

from __future__ import annotations

import struct
from typing import Any

from copperpass.protocol.frames.format import FrameKind
from copperpass.protocol.frames.messages import (
    CapacityRequests,
    Grant,
    GrantRequest,
    MachineContact,
    MachineRoute,
    MachineStatus,
    MachineStatusUpdates,
    PendingTasks,
    RouteUpdates,
    ShardAssignment,
    ZoneAffinities,
)
from copperpass.protocol.frames.payload import (
    FrameCodec,
    PayloadReader,
    encode_text,
    pack_flags,
    unpack_flags,
)

_GRANT_REQUEST = struct.Struct("!QQIQ")
_GRANT = struct.Struct("!QQIIQBQB")
_ASSIGNMENT = struct.Struct("!BIQQ")
_UPDATES = struct.Struct("!QQQQH")
_ROUTE = struct.Struct("!BQBB")
_STATUS = struct.Struct("!QBBf")
_CONTACT = struct.Struct("!QQ")
_CAPACITY_REQUESTS = struct.Struct("!QBQH")
_PENDING_TASKS = struct.Struct("!If")
_ZONE_AFFINITIES = struct.Struct("!QBH")


def _encode_contact(contact: MachineContact | None) -> bytes:
    if contact is None:
        return b""
    return encode_text(contact.address) + _CONTACT.pack(contact.agent_epoch, contact.sequence)


def _decode_contact(reader: PayloadReader, present: bool) -> MachineContact | None:
    return MachineContact(reader.read_text(), *reader.unpack(_CONTACT)) if present else None


def _encode_route(route: MachineRoute) -> bytes:
    flags = pack_flags(
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
        encode_text(route.name)
        + encode_text(route.type)
        + encode_text(route.zone)
        + _ROUTE.pack(route.shard, route.base_token, route.occupancy, flags)
        + _encode_contact(route.contact)
    )


def _decode_route(reader: PayloadReader) -> MachineRoute:
    name, machine_type, zone = reader.read_text(), reader.read_text(), reader.read_text()
    shard, base_token, occupancy, flags = reader.unpack(_ROUTE)
    spot, recorded, reclaim_requested, drain, failed, deleted, proven_empty, has_contact = (
        unpack_flags(flags, 8)
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
        contact=_decode_contact(reader, has_contact),
        proven_empty=proven_empty,
    )


def _encode_status(status: MachineStatus) -> bytes:
    flags = pack_flags(
        status.registered,
        status.reconciled,
        status.idle,
        status.released,
        status.deletion_requested,
        status.contact is not None,
        # Versions up to 0.5.0 ignore this flag.
        status.beyond_guarantee,
    )
    return (
        encode_text(status.name)
        + _STATUS.pack(status.base_token, flags, status.shard, status.used_cpus)
        + _encode_contact(status.contact)
    )


def _decode_status(reader: PayloadReader) -> MachineStatus:
    name = reader.read_text()
    base_token, flags, shard, used_cpus = reader.unpack(_STATUS)
    (
        registered,
        reconciled,
        idle,
        released,
        deletion_requested,
        has_contact,
        beyond_guarantee,
    ) = unpack_flags(flags, 7)
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
        contact=_decode_contact(reader, has_contact),
        beyond_guarantee=beyond_guarantee,
    )


def _encode_assignment(assignment: ShardAssignment) -> bytes:
    return encode_text(assignment.member) + _ASSIGNMENT.pack(
        assignment.shard,
        assignment.generation,
        assignment.required_revision,
        assignment.required_sequence,
    )


def _decode_assignment(reader: PayloadReader) -> ShardAssignment:
    member = reader.read_text()
    shard, generation, required_revision, required_sequence = reader.unpack(_ASSIGNMENT)
    return ShardAssignment(shard, member, generation, required_revision, required_sequence)


def _encode_pending_tasks(request: PendingTasks) -> bytes:
    job_id, tasks, horizon_s = request
    return encode_text(job_id) + _PENDING_TASKS.pack(tasks, horizon_s)


def _decode_pending_tasks(reader: PayloadReader) -> PendingTasks:
    job_id = reader.read_text()
    return PendingTasks(job_id, *reader.unpack(_PENDING_TASKS))


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
    head = _UPDATES.pack(
        frame.epoch, frame.incarnation, frame.after_sequence, frame.last_sequence, len(frame.routes)
    )
    return head + b"".join(_encode_route(route) for route in frame.routes)


def _decode_routes(reader: PayloadReader) -> RouteUpdates:
    epoch, incarnation, after_sequence, last_sequence, count = reader.unpack(_UPDATES)
    routes = tuple(_decode_route(reader) for _ in range(count))
    return RouteUpdates(epoch, incarnation, after_sequence, last_sequence, routes)


def _encode_statuses(frame: MachineStatusUpdates) -> bytes:
    head = _UPDATES.pack(
        frame.epoch,
        frame.incarnation,
        frame.after_sequence,
        frame.last_sequence,
        len(frame.statuses),
    )
    return head + b"".join(_encode_status(status) for status in frame.statuses)


def _decode_statuses(reader: PayloadReader) -> MachineStatusUpdates:
    epoch, incarnation, after_sequence, last_sequence, count = reader.unpack(_UPDATES)
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
    return head + b"".join(encode_text(job_id) + encode_text(zone) for job_id, zone in frame.zones)


def _decode_zone_affinities(reader: PayloadReader) -> ZoneAffinities:
    epoch, shard, count = reader.unpack(_ZONE_AFFINITIES)
    zones = tuple((reader.read_text(), reader.read_text()) for _ in range(count))
    return ZoneAffinities(epoch, shard, zones)


SHARD_CODECS: tuple[FrameCodec[Any], ...] = (
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
        FrameKind.ZONE_AFFINITIES, ZoneAffinities, _encode_zone_affinities, _decode_zone_affinities
    ),
)

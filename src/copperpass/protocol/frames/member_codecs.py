"""Codecs of the frames between any two members: election, running counts, relayed heartbeats."""

from __future__ import annotations

import struct
from typing import Any, TypeVar

from copperpass.errors import FrameError
from copperpass.protocol.frames.format import MAX_PAYLOAD_BYTES, FrameKind
from copperpass.protocol.frames.messages import (
    CancellationAcknowledged,
    FinalStateAcknowledged,
    FinalStateNotice,
    FrameFeature,
    Hello,
    IdentifiedAnswer,
    JobCancelled,
    LeaseExtensionRequest,
    LeaseExtensionVote,
    MemberHeartbeat,
    RelayedAnswer,
    RelayedHeartbeat,
    RunningCounts,
    StartPermit,
    StartPermitRequest,
)
from copperpass.protocol.frames.payload import (
    FrameCodec,
    PayloadReader,
    encode_text,
)
from copperpass.protocol.workers import HeartbeatId

# Frames with a job's id as their only field.
JobFrameT = TypeVar(
    "JobFrameT", JobCancelled, CancellationAcknowledged, FinalStateNotice, FinalStateAcknowledged
)

_MEMBER_HEARTBEAT = struct.Struct("!QI")
# The bits of the token in a member's heartbeat that are features. Tokens are far below them, and
# versions up to 0.5.0, which refuse a longer heartbeat, never use the token.
FEATURE_BITS = 0xF << 60
_LEASE_EXTENSION_REQUEST = struct.Struct("!QQ")
_LEASE_EXTENSION_VOTE = struct.Struct("!QQB")
_RUNNING_COUNT = struct.Struct("!BI")
_RELAYED_HEARTBEAT = struct.Struct("!I")
_RELAYED_ANSWER = struct.Struct("!IH")
_IDENTIFIED_ANSWER = struct.Struct("!IQQH")
_START_PERMIT_REQUEST = struct.Struct("!QQ")
_START_PERMIT = struct.Struct("!Q")


def _encode_member_heartbeat(frame: MemberHeartbeat) -> bytes:
    return _MEMBER_HEARTBEAT.pack(frame.token | frame.features, frame.cache_age_ms)


def _decode_member_heartbeat(reader: PayloadReader) -> MemberHeartbeat:
    token, cache_age_ms = reader.unpack(_MEMBER_HEARTBEAT)
    features = FrameFeature(token & FEATURE_BITS)
    return MemberHeartbeat(token & ~FEATURE_BITS, cache_age_ms, features)


def _encode_lease_extension_request(frame: LeaseExtensionRequest) -> bytes:
    return _LEASE_EXTENSION_REQUEST.pack(frame.token, frame.number)


def _encode_lease_extension_vote(frame: LeaseExtensionVote) -> bytes:
    return _LEASE_EXTENSION_VOTE.pack(frame.token, frame.number, frame.granted)


def _decode_lease_extension_vote(reader: PayloadReader) -> LeaseExtensionVote:
    token, number, granted = reader.unpack(_LEASE_EXTENSION_VOTE)
    reader.require_end()
    if granted > 1:
        raise FrameError(f"lease extension vote: granted must be 0 or 1, got {granted}")
    return LeaseExtensionVote(token, number, bool(granted))


def _encode_running_counts(frame: RunningCounts) -> bytes:
    """Encode as many counts as one payload holds; they only serve display, so drop the rest."""
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
        running[reader.read_bytes(size).decode()] = count
    return RunningCounts(running)


def _encode_relayed_heartbeat(frame: RelayedHeartbeat) -> bytes:
    return _RELAYED_HEARTBEAT.pack(frame.number) + frame.body


def _decode_relayed_heartbeat(reader: PayloadReader) -> RelayedHeartbeat:
    (number,) = reader.unpack(_RELAYED_HEARTBEAT)
    return RelayedHeartbeat(number, reader.read_remaining())


def _encode_relayed_answer(frame: RelayedAnswer) -> bytes:
    return _RELAYED_ANSWER.pack(frame.number, frame.status) + frame.body


def _decode_relayed_answer(reader: PayloadReader) -> RelayedAnswer:
    number, status = reader.unpack(_RELAYED_ANSWER)
    return RelayedAnswer(number, status, reader.read_remaining())


def _encode_identified_answer(frame: IdentifiedAnswer) -> bytes:
    machine, agent_epoch, sequence = frame.heartbeat
    head = _IDENTIFIED_ANSWER.pack(frame.number, agent_epoch, sequence, frame.status)
    return head + encode_text(machine) + frame.body


def _decode_identified_answer(reader: PayloadReader) -> IdentifiedAnswer:
    number, agent_epoch, sequence, status = reader.unpack(_IDENTIFIED_ANSWER)
    heartbeat = HeartbeatId(reader.read_text(), agent_epoch, sequence)
    return IdentifiedAnswer(number, heartbeat, status, reader.read_remaining())


def _job_id_codec(kind: FrameKind, message_type: type[JobFrameT]) -> FrameCodec[JobFrameT]:
    """The codec of a frame whose whole payload is a job's id."""
    return FrameCodec(
        kind,
        message_type,
        lambda frame: frame.job.encode(),
        lambda reader: message_type(reader.read_remaining().decode()),
    )


MEMBER_CODECS: tuple[FrameCodec[Any], ...] = (
    FrameCodec(
        FrameKind.HELLO,
        Hello,
        lambda frame: frame.member.encode(),
        lambda reader: Hello(reader.read_remaining().decode()),
    ),
    FrameCodec(
        FrameKind.MEMBER_HEARTBEAT,
        MemberHeartbeat,
        _encode_member_heartbeat,
        _decode_member_heartbeat,
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
        FrameKind.IDENTIFIED_ANSWER,
        IdentifiedAnswer,
        _encode_identified_answer,
        _decode_identified_answer,
    ),
    _job_id_codec(FrameKind.JOB_CANCELLED, JobCancelled),
    _job_id_codec(FrameKind.CANCELLATION_ACKNOWLEDGED, CancellationAcknowledged),
    _job_id_codec(FrameKind.FINAL_STATE_NOTICE, FinalStateNotice),
    _job_id_codec(FrameKind.FINAL_STATE_ACKNOWLEDGED, FinalStateAcknowledged),
    FrameCodec(
        FrameKind.START_PERMIT_REQUEST,
        StartPermitRequest,
        lambda frame: _START_PERMIT_REQUEST.pack(frame.number, frame.revision),
        lambda reader: StartPermitRequest(*reader.unpack(_START_PERMIT_REQUEST)),
    ),
    FrameCodec(
        FrameKind.START_PERMIT,
        StartPermit,
        lambda frame: _START_PERMIT.pack(frame.number),
        lambda reader: StartPermit(*reader.unpack(_START_PERMIT)),
    ),
)

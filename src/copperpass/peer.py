"""Frames between controllers, packed by hand with `struct`.

A frame is a header (magic, version, kind, length) and a payload. The first
frame on a connection is HELLO with the sender's name; connections carry frames
one way, from the node that opened them.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

MAGIC, VERSION = b"cp", 2
HEADER = struct.Struct("!2sBBI")
HELLO, BEAT, ASK, PROMISE, COUNTS, HANDED, ANSWERED = range(1, 8)
_BEAT = struct.Struct("!QII")
_ASK = struct.Struct("!QQ")
_ANSWER = struct.Struct("!QQB")
_COUNT = struct.Struct("!BI")
NEVER = 0xFFFFFFFF
_HANDED = struct.Struct("!I")
_ANSWERED = struct.Struct("!IH")
# A report or its answer may have 64 KiB; nothing else comes near it.
MAX_PAYLOAD = 0x11000


class BadFrame(Exception):
    """Bytes that no controller of this version would send."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Who opened the connection."""

    member: str


@dataclass(frozen=True, slots=True)
class Beat:
    """A sign of life: the highest token seen, and ages in ms of the last contacts."""

    token: int
    state_age_ms: int
    worker_age_ms: int


@dataclass(frozen=True, slots=True)
class Ask:
    """A leader asks for a promise."""

    token: int
    number: int


@dataclass(frozen=True, slots=True)
class Promise:
    """The answer to Ask."""

    token: int
    number: int
    granted: bool


@dataclass(frozen=True, slots=True)
class Counts:
    """Running tasks by job, for display on nodes that don't lead."""

    running: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Handed:
    """A worker's report, handed on to the member that commands its machine."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Answered:
    """What the worker whose report was handed on is to be answered."""

    number: int
    status: int
    body: bytes


Frame = Hello | Beat | Ask | Promise | Counts | Handed | Answered


def pack(frame: Frame) -> bytes:
    """Put a frame into bytes."""
    if isinstance(frame, Hello):
        kind, payload = HELLO, frame.member.encode()
    elif isinstance(frame, Beat):
        kind, payload = BEAT, _BEAT.pack(frame.token, frame.state_age_ms, frame.worker_age_ms)
    elif isinstance(frame, Ask):
        kind, payload = ASK, _ASK.pack(frame.token, frame.number)
    elif isinstance(frame, Promise):
        kind = PROMISE
        payload = _ANSWER.pack(frame.token, frame.number, frame.granted)
    elif isinstance(frame, Handed):
        kind, payload = HANDED, _HANDED.pack(frame.number) + frame.body
    elif isinstance(frame, Answered):
        kind, payload = ANSWERED, _ANSWERED.pack(frame.number, frame.status) + frame.body
    else:
        kind, parts, size = COUNTS, [], 0
        for job_id, count in frame.running.items():
            name = job_id.encode()
            size += _COUNT.size + len(name)
            if size > MAX_PAYLOAD:
                break
            parts.append(_COUNT.pack(len(name), count) + name)
        payload = b"".join(parts)
    return HEADER.pack(MAGIC, VERSION, kind, len(payload)) + payload


def _unpack(kind: int, payload: bytes) -> Frame:
    try:
        if kind == HELLO:
            return Hello(payload.decode())
        if kind == BEAT:
            return Beat(*_BEAT.unpack(payload))
        if kind == ASK:
            return Ask(*_ASK.unpack(payload))
        if kind == PROMISE:
            token, number, granted = _ANSWER.unpack(payload)
            if granted > 1:
                raise BadFrame("neither yes nor no")
            return Promise(token, number, bool(granted))
        if kind == HANDED:
            (number,) = _HANDED.unpack_from(payload)
            return Handed(number, payload[_HANDED.size :])
        if kind == ANSWERED:
            number, status = _ANSWERED.unpack_from(payload)
            return Answered(number, status, payload[_ANSWERED.size :])
        if kind == COUNTS:
            running: dict[str, int] = {}
            at = 0
            while at < len(payload):
                size, count = _COUNT.unpack_from(payload, at)
                at += _COUNT.size
                name = payload[at : at + size]
                if len(name) != size:
                    raise BadFrame("short")
                running[name.decode()] = count
                at += size
            return Counts(running)
    except (struct.error, UnicodeDecodeError) as error:
        raise BadFrame(str(error)) from None
    raise BadFrame(f"unknown kind {kind}")


class Unpacker:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Take bytes; returns the frames that are complete."""
        self.buffer += data
        frames: list[Frame] = []
        while len(self.buffer) >= HEADER.size:
            magic, version, kind, length = HEADER.unpack_from(self.buffer)
            if magic != MAGIC or version != VERSION:
                raise BadFrame("not a frame of this version")
            if length > MAX_PAYLOAD:
                raise BadFrame("too long")
            if len(self.buffer) < HEADER.size + length:
                break
            payload = self.buffer[HEADER.size : HEADER.size + length]
            self.buffer = self.buffer[HEADER.size + length :]
            frames.append(_unpack(kind, payload))
        return frames

"""Frames between controllers, packed by hand with `struct`.

A frame is a header (magic, version, kind, length) and a payload. The first
frame on a connection is HELLO with the sender's name; connections carry frames
one way, from the node that opened them.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Any

from copperpass.core.shards.routing import Contact, Entry, Status, WaitingTasks

MAGIC, VERSION = b"cp", 3
HEADER = struct.Struct("!2sBBI")
HELLO, BEAT, ASK, PROMISE, COUNTS, HANDED, ANSWERED = range(1, 8)
PULL, GRANT, ENTRIES, STATUSES, WANTS = range(8, 13)
# Members up to 0.3.0 close the link on a kind that they don't know: these go only to members that
# are proven to know them. Later ones skip what they don't know.
CALLED_OFF, TIED = 13, 14
_BEAT = struct.Struct("!QI")
_ASK = struct.Struct("!QQ")
_ANSWER = struct.Struct("!QQB")
_COUNT = struct.Struct("!BI")
NEVER = 0xFFFFFFFF
_HANDED = struct.Struct("!I")
_ANSWERED = struct.Struct("!IH")
# A report or its answer may have 64 KiB, a batch of table entries some 20 KiB as a rule.
MAX_PAYLOAD = 1 << 18
# Requests for machines in one frame, the most urgent first: with names of up to 55 bytes it stays
# within a payload. The rest is asked for when these have been served.
MOST_REQUESTS = 1 << 12


class BadFrame(Exception):
    """Bytes that no controller of this version or a later one would send."""


class _NewerFrame(Exception):
    """A frame that is whole, but of a kind or with fields that this version doesn't know."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Who opened the connection."""

    member: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life: the highest token seen, and the age of the last answer of the state."""

    token: int
    state_age_ms: int


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """A leader asks for a promise."""

    token: int
    number: int


@dataclass(frozen=True, slots=True)
class Promise:
    """The answer to PromiseRequest."""

    token: int
    number: int
    granted: bool


@dataclass(frozen=True, slots=True)
class RunningCounts:
    """Running tasks by job, for display on nodes that don't lead."""

    running: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RelayedReport:
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
    applied: int


@dataclass(frozen=True, slots=True)
class Share:
    """Who owns a pool of teams; the serial tells one ownership from the next."""

    pool: int
    member: str
    serial: int
    revision: int
    # The number of the leader's table that the owner must have reached before it starts anything.
    at: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to GrantRequest: for how long, from the asking, the shares hold."""

    epoch: int
    incarnation: int
    number: int
    length_ms: int
    token_version: int
    dear_excess: bool
    applied: int
    shares: tuple[Share, ...] = ()


@dataclass(frozen=True, slots=True)
class Entries:
    """Part of the leader's table of machines."""

    epoch: int
    incarnation: int
    before: int
    upto: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Statuses:
    """Part of an owner's table of machines."""

    epoch: int
    incarnation: int
    before: int
    upto: int
    statuses: tuple[Status, ...]


@dataclass(frozen=True, slots=True)
class MachineRequests:
    """Tasks of a pool that its machines have no room for in time."""

    epoch: int
    pool: int
    applied: int
    wants: tuple[WaitingTasks, ...]


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job's cancellation is stored: the receiver's view may be late to see it."""

    job: str


@dataclass(frozen=True, slots=True)
class ZoneTies:
    """Of the tasks that MachineRequests names: the jobs whose other tasks tie them to a zone."""

    epoch: int
    pool: int
    zones: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class UnknownFrame:
    """What a member of a later version has sent and this one can't read: to be skipped."""

    kind: int
    why: str


Frame = (
    Hello
    | Heartbeat
    | PromiseRequest
    | Promise
    | RunningCounts
    | RelayedReport
    | RelayedAnswer
    | GrantRequest
    | Grant
    | Entries
    | Statuses
    | MachineRequests
    | JobCancelled
    | ZoneTies
)
_PULL = struct.Struct("!QQIQ")
_GRANT = struct.Struct("!QQIIQBQB")
_SHARE = struct.Struct("!BIQQ")
_PART = struct.Struct("!QQQQH")
_ENTRY = struct.Struct("!BQBB")
_STATUS = struct.Struct("!QBBf")
_CONTACT = struct.Struct("!QQ")
_WANTS = struct.Struct("!QBQH")
_WANT = struct.Struct("!If")
_TIED = struct.Struct("!QBH")


def _text(value: str) -> bytes:
    raw = value.encode()[:255]
    return bytes((len(raw),)) + raw


def _flags(*values: bool) -> int:
    return sum(1 << n for n, value in enumerate(values) if value)


def _contact(contact: Contact | None) -> bytes:
    if contact is None:
        return b""
    return _text(contact.address) + _CONTACT.pack(contact.session, contact.seq)


class _Reader:
    """Reads a payload from front to back."""

    def __init__(self, payload: bytes) -> None:
        self.payload, self.at = payload, 0

    def unpack(self, form: struct.Struct) -> tuple[Any, ...]:
        values = form.unpack_from(self.payload, self.at)
        self.at += form.size
        return values

    def text(self) -> str:
        if self.at >= len(self.payload):
            raise BadFrame("short")
        end = self.at + 1 + self.payload[self.at]
        raw = self.payload[self.at + 1 : end]
        if end > len(self.payload):
            raise BadFrame("short")
        self.at = end
        return raw.decode()

    def only(self, form: struct.Struct) -> tuple[Any, ...]:
        """The values of a payload that holds nothing else."""
        values = self.unpack(form)
        self.end()
        return values

    def contact(self, there: bool) -> Contact | None:
        return Contact(self.text(), *self.unpack(_CONTACT)) if there else None

    def end(self) -> None:
        if self.at != len(self.payload):
            raise _NewerFrame("longer than known")


def _pack_entry(entry: Entry) -> bytes:
    flags = _flags(
        entry.spot,
        entry.recorded,
        entry.back,
        entry.vacate,
        entry.failed,
        entry.gone,
        entry.proven,
        entry.contact is not None,
    )
    return (
        _text(entry.name)
        + _text(entry.type)
        + _text(entry.zone)
        + _ENTRY.pack(entry.pool, entry.base, entry.may_hold, flags)
        + _contact(entry.contact)
    )


def _read_entry(reader: _Reader) -> Entry:
    name, kind, zone = reader.text(), reader.text(), reader.text()
    pool, base, may_hold, flags = reader.unpack(_ENTRY)
    spot, recorded, back, vacate, failed, gone, proven, there = (
        bool(flags >> n & 1) for n in range(8)
    )
    return Entry(
        name,
        kind,
        zone,
        spot,
        pool,
        base,
        may_hold,
        recorded,
        back,
        vacate,
        failed,
        gone,
        reader.contact(there),
        proven,
    )


def _pack_status(status: Status) -> bytes:
    flags = _flags(
        status.up,
        status.settled,
        status.idle,
        status.given,
        status.release,
        status.contact is not None,
    )
    return (
        _text(status.name)
        + _STATUS.pack(status.base, flags, status.pool, status.used_cpus)
        + _contact(status.contact)
    )


def _read_status(reader: _Reader) -> Status:
    name = reader.text()
    base, flags, pool, used = reader.unpack(_STATUS)
    up, settled, idle, given, release, there = (bool(flags >> n & 1) for n in range(6))
    return Status(name, base, up, settled, idle, given, pool, release, used, reader.contact(there))


def _pack_share(
    frame: GrantRequest | Grant | Entries | Statuses | MachineRequests,
) -> tuple[int, bytes]:
    """The frames of grants and shares."""
    if isinstance(frame, GrantRequest):
        return PULL, _PULL.pack(frame.epoch, frame.incarnation, frame.number, frame.applied)
    if isinstance(frame, Grant):
        head = _GRANT.pack(
            frame.epoch,
            frame.incarnation,
            frame.number,
            frame.length_ms,
            frame.token_version,
            frame.dear_excess,
            frame.applied,
            len(frame.shares),
        )
        return GRANT, head + b"".join(
            _text(s.member) + _SHARE.pack(s.pool, s.serial, s.revision, s.at) for s in frame.shares
        )
    if isinstance(frame, MachineRequests):
        head = _WANTS.pack(frame.epoch, frame.pool, frame.applied, len(frame.wants))
        return WANTS, head + b"".join(
            _text(job) + _WANT.pack(count, left) for job, count, left in frame.wants
        )
    if isinstance(frame, Entries):
        kind, parts = ENTRIES, [_pack_entry(e) for e in frame.entries]
    else:
        kind, parts = STATUSES, [_pack_status(s) for s in frame.statuses]
    head = _PART.pack(frame.epoch, frame.incarnation, frame.before, frame.upto, len(parts))
    return kind, head + b"".join(parts)


def _unpack_share(kind: int, payload: bytes) -> Frame:
    reader = _Reader(payload)
    frame: Frame
    if kind == PULL:
        frame = GrantRequest(*reader.unpack(_PULL))
    elif kind == GRANT:
        epoch, incarnation, number, length, version, dear, applied, count = reader.unpack(_GRANT)
        shares = []
        for _ in range(count):
            member = reader.text()
            pool, serial, revision, at = reader.unpack(_SHARE)
            shares.append(Share(pool, member, serial, revision, at))
        frame = Grant(
            epoch, incarnation, number, length, version, bool(dear), applied, tuple(shares)
        )
    elif kind == WANTS:
        epoch, pool, applied, count = reader.unpack(_WANTS)
        wants = []
        for _ in range(count):
            job = reader.text()
            tasks, left = reader.unpack(_WANT)
            wants.append(WaitingTasks(job, tasks, left))
        frame = MachineRequests(epoch, pool, applied, tuple(wants))
    else:
        epoch, incarnation, before, upto, count = reader.unpack(_PART)
        if kind == ENTRIES:
            entries = tuple(_read_entry(reader) for _ in range(count))
            frame = Entries(epoch, incarnation, before, upto, entries)
        else:
            statuses = tuple(_read_status(reader) for _ in range(count))
            frame = Statuses(epoch, incarnation, before, upto, statuses)
    reader.end()
    return frame


def pack(frame: Frame) -> bytes:
    """Put a frame into bytes."""
    if isinstance(frame, Hello):
        kind, payload = HELLO, frame.member.encode()
    elif isinstance(frame, Heartbeat):
        kind, payload = BEAT, _BEAT.pack(frame.token, frame.state_age_ms)
    elif isinstance(frame, PromiseRequest):
        kind, payload = ASK, _ASK.pack(frame.token, frame.number)
    elif isinstance(frame, Promise):
        kind = PROMISE
        payload = _ANSWER.pack(frame.token, frame.number, frame.granted)
    elif isinstance(frame, RelayedReport):
        kind, payload = HANDED, _HANDED.pack(frame.number) + frame.body
    elif isinstance(frame, RelayedAnswer):
        kind, payload = ANSWERED, _ANSWERED.pack(frame.number, frame.status) + frame.body
    elif isinstance(frame, JobCancelled):
        kind, payload = CALLED_OFF, frame.job.encode()
    elif isinstance(frame, ZoneTies):
        kind = TIED
        payload = _TIED.pack(frame.epoch, frame.pool, len(frame.zones)) + b"".join(
            _text(job) + _text(zone) for job, zone in frame.zones
        )
    elif isinstance(frame, GrantRequest | Grant | Entries | Statuses | MachineRequests):
        kind, payload = _pack_share(frame)
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
            return Heartbeat(*_Reader(payload).only(_BEAT))
        if kind == ASK:
            return PromiseRequest(*_Reader(payload).only(_ASK))
        if kind == PROMISE:
            token, number, granted = _Reader(payload).only(_ANSWER)
            if granted > 1:
                raise BadFrame("neither yes nor no")
            return Promise(token, number, bool(granted))
        if PULL <= kind <= WANTS:
            return _unpack_share(kind, payload)
        if kind == CALLED_OFF:
            return JobCancelled(payload.decode())
        if kind == TIED:
            reader = _Reader(payload)
            epoch, pool, count = reader.unpack(_TIED)
            zones = tuple((reader.text(), reader.text()) for _ in range(count))
            reader.end()
            return ZoneTies(epoch, pool, zones)
        if kind == HANDED:
            (number,) = _HANDED.unpack_from(payload)
            return RelayedReport(number, payload[_HANDED.size :])
        if kind == ANSWERED:
            number, status = _ANSWERED.unpack_from(payload)
            return RelayedAnswer(number, status, payload[_ANSWERED.size :])
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
            return RunningCounts(running)
    except (struct.error, UnicodeDecodeError) as error:
        raise BadFrame(str(error)) from None
    raise _NewerFrame("unknown kind")


class Unpacker:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Frame | UnknownFrame]:
        """Take bytes; returns the frames that are complete, also those that can't be read."""
        self.buffer += data
        frames: list[Frame | UnknownFrame] = []
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
            try:
                frames.append(_unpack(kind, payload))
            except _NewerFrame as newer:
                frames.append(UnknownFrame(kind, str(newer)))
        return frames

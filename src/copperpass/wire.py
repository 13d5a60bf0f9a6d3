"""The messages of PROTOCOL, and the only place where their odd words live."""

from __future__ import annotations

import re
from typing import Any, Literal

import msgspec

JOB_ID = re.compile(r"req-[0-9]{6,18}\Z")
MAX_BODY = 65536
MAX_TASKS = 100_000

QUEUED, RUNNING, DONE, CANCELLED = "queued", "running", "done", "withdrawn"
PRIORITIES = {"production": 3, "high": 2, "normal": 1, "low": 0}


class Spec(
    msgspec.Struct,
    rename={
        "job_class": "slot",
        "team": "desk",
        "kind": "form",
        "priority": "urgency",
        "tasks": "pages",
        "gpus": "cards",
        "image": "master",
        "image_gb": "size_gb",
        "types": "racks",
        "zone": "hall",
        "one_zone": "same_place",
        "spot": "borrowed",
        "estimate_s": "runtime_s",
        "checkpoint_s": "proof_s",
        "save_s": "flush_s",
        "deadline_s": "edition_s",
    },
):
    """A job as its user submits it."""

    id: str
    job_class: str
    team: str
    kind: Literal["batch", "ensemble"]
    priority: Literal["production", "high", "normal", "low"]
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    types: list[str] | None = None
    zone: str | None = None
    deadline_s: float | None = None

    @property
    def gang(self) -> bool:
        """Whether all tasks run together or none does."""
        return self.kind == "ensemble"


class OnlyId(msgspec.Struct):
    """The one field that is needed to know a job again."""

    id: str


class JobAnswer(msgspec.Struct, rename={"state": "status"}, omit_defaults=True):
    """What a user is told of a job."""

    id: str
    state: str
    done: int | None = None
    running: int | None = None


class TaskReport(
    msgspec.Struct, rename={"task": "page", "attempt": "take", "state": "status", "why": "cause"}
):
    """A task on a machine."""

    task: str
    attempt: int
    state: str
    why: str | None = None
    saved: bool | None = None


class Report(
    msgspec.Struct,
    rename={
        "machine": "press",
        "type": "rack",
        "zone": "hall",
        "spot": "borrowed",
        "session": "shift",
        "seq": "line",
        "token": "baton",
        "notice_s": "recall_s",
        "tasks": "pages",
    },
):
    """What a worker says of its machine."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int = 0
    notice_s: float | None = None
    tasks: list[TaskReport] = msgspec.field(default_factory=list)


class Command(
    msgspec.Struct,
    rename={"op": "verb", "task": "page", "attempt": "take", "grace_s": "windup_s"},
    omit_defaults=True,
):
    """An order to a worker."""

    op: str
    task: str
    attempt: int
    grace_s: float | None = None


# How long a worker waits for an answer, and then before it tries the next node.
REPORT_WAIT_S, NEXT_NODE_S = 4.0, 1.0
START, STOP, FORGET = "run", "kill", "clear"
FETCHING, TASK_RUNNING, SAVING, EXITED = "pulling", "running", "flushing", "exited"
# A gang's task that waits for the others of its attempt.
GATHERING = "gathering"
WHY_DONE, WHY_STOPPED, WHY_ERROR = "done", "halted", "error"
# A gang's task: another is gone; not complete in time.
WHY_GANG_LOST, WHY_ALONE = "mates_gone", "alone"
WHY_NO_ROOM, WHY_BUSY, WHY_UNKNOWN = "no_room", "in_use", "unknown"


class ReportAnswer(msgspec.Struct, rename={"token": "baton", "commands": "orders"}):
    """The answer to an accepted report."""

    token: int
    commands: list[Command]


class Direct(msgspec.Struct, rename={"token": "baton", "session": "shift", "commands": "orders"}):
    """Orders sent straight to a worker."""

    token: int
    session: int
    commands: list[Command]


class MachineType(
    msgspec.Struct,
    rename={
        "gpus": "cards",
        "cache_gb": "local_gb",
        "spot_price": "low_price",
        "boot_s": "startup_s",
        "zones": "halls",
    },
):
    """A type of machine that the cloud rents."""

    name: str
    cpus: float
    memory_gb: float
    price: float
    boot_s: float
    zones: list[str]
    gpus: float = 0.0
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    spot_price: float | None = None


class MachineTypes(msgspec.Struct, rename={"types": "racks"}):
    """The cloud's offer."""

    types: list[MachineType]


class ListedMachine(
    msgspec.Struct,
    rename={
        "type": "rack",
        "zone": "hall",
        "spot": "borrowed",
        "state": "status",
        "age_s": "held_s",
    },
):
    """A machine in the cloud's list."""

    id: str
    type: str
    zone: str
    spot: bool
    state: str
    address: str | None = None
    age_s: float = 0.0


class MachineList(msgspec.Struct, rename={"machines": "presses", "more": "truncated"}):
    """A page of the cloud's list."""

    machines: list[ListedMachine]
    more: bool = False


class Rented(msgspec.Struct, rename={"machines": "presses"}):
    """The machines that a rental request brought."""

    machines: list[str]


class Item(msgspec.Struct, rename={"key": "path", "version": "stamp"}):
    """A key of the state service."""

    key: str
    value: msgspec.Raw
    version: int


class Listing(msgspec.Struct, rename={"more": "truncated", "revision": "issue"}):
    """A page of keys."""

    items: list[Item]
    revision: int
    more: bool = False


class Event(msgspec.Struct, rename={"delete": "remove", "version": "stamp"}):
    """A change that a watch saw."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Events(msgspec.Struct, rename={"events": "news", "revision": "issue"}):
    """What a watch answers."""

    events: list[Event]
    revision: int


class Applied(msgspec.Struct, rename={"revision": "issue"}):
    """An applied transaction."""

    revision: int


class Refused(msgspec.Struct, rename={"revision": "issue"}):
    """A transaction whose conditions failed."""

    failed: list[str]
    revision: int = 0


class LeaseMade(msgspec.Struct, rename={"lease": "permit"}):
    """A new lease of the state service."""

    lease: int


class JobRecord(msgspec.Struct, omit_defaults=True):
    """The one record of a job: its spec, its final state, its done tasks.

    `at`: the time of day when it was submitted; 0 if that isn't known.
    """

    spec: Spec | None = None
    at: float = 0.0
    final: str = ""
    done: str = ""
    count: int = 0


class LeadRecord(msgspec.Struct):
    """Who leads, under which token and lease."""

    member: str
    token: int
    lease: int


class TokenRecord(msgspec.Struct):
    """The token counter, and who won the last token."""

    token: int
    member: str = ""


class PlaceRecord(msgspec.Struct, omit_defaults=True):
    """Machines of one type, zone and kind: bookings sent, machines rented, machines seen up."""

    type: str
    zone: str
    spot: bool
    booked: dict[str, int] = msgspec.field(default_factory=dict)
    fresh: list[str] = msgspec.field(default_factory=list)
    up: list[str] = msgspec.field(default_factory=list)


class FleetRecord(msgspec.Struct):
    """Every machine that was rented, and the bookings whose answers are not stored."""

    places: list[PlaceRecord]


class VersionRecord(msgspec.Struct):
    """What a member's newest process says of itself; versions without it never write one.

    `format`: the highest form of records and frames that it reads.
    """

    version: str
    format: int


encode = msgspec.json.encode


# What decoding a body raises. Deep nesting, also in fields that are ignored, exhausts the stack.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def decode(body: bytes, kind: Any) -> Any:
    """Decode a body, or None when it is not what the protocol says."""
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS:
        return None


def decode_spec(body: bytes) -> Spec:
    """Decode a submission; raises one of `DECODE_ERRORS` when it is malformed."""
    # msgspec doesn't look at the bytes of strings in fields that it ignores.
    body.decode("utf-8")
    return msgspec.json.decode(body, type=Spec)


def transaction(guards: dict[str, int], writes: list[dict[str, Any]]) -> bytes:
    """The body of a guarded transaction; writes come from `put` and `remove`."""
    return encode(
        {
            "guards": [{"path": key, "stamp": version} for key, version in guards.items()],
            "writes": writes,
        }
    )


def put(key: str, value: Any, lease: int | None = None) -> dict[str, Any]:
    """A write of one key."""
    write: dict[str, Any] = {"put": key, "value": value}
    if lease is not None:
        write["permit"] = lease
    return write


def remove(key: str) -> dict[str, Any]:
    """The removal of one key."""
    return {"remove": key}


def rental(request: str, machine_type: str, zone: str, spot: bool, count: int) -> bytes:
    """The body of a rental request."""
    return encode(
        {"booking": request, "rack": machine_type, "hall": zone, "borrowed": spot, "count": count}
    )


def release(names: list[str]) -> bytes:
    """The body of a deletion."""
    return encode({"presses": names})


def error(text: str) -> bytes:
    """The body of a refusal."""
    return encode({"error": text})


def referral(member: str | None) -> bytes:
    """The body of a 421: the node that a worker should report to."""
    return encode({"editor": member} if member else {})


PATH_JOBS = "/api/jobs"
PATH_CANCEL = "/cancel"
PATH_REPORT = "/v1/report"
PATH_HEALTH = "/healthz"
PATH_DO = "/do"
PATH_TXN = "/multi"
PATH_LEASES = "/leases"
PATH_TYPES = "/machine_types"
PATH_RENTALS = "/rentals"
PATH_RELEASE = "/rentals/release"


def path_key(key: str) -> str:
    """Where a key is read."""
    return f"/kv/{key}"


def path_list(prefix: str, after: str) -> str:
    """Where keys are listed."""
    return f"/kv?under={prefix}&most=200" + (f"&since={after}" if after else "")


def path_follow(prefix: str, revision: int, wait_ms: int) -> str:
    """Where changes are watched."""
    return f"/follow?under={prefix}&since={revision}&block_ms={wait_ms}"


def path_extend(lease: int) -> str:
    """Where a lease is renewed."""
    return f"/leases/{lease}/extend"


def path_lease(lease: int) -> str:
    """Where a lease is ended."""
    return f"/leases/{lease}"


def path_machines(after: str) -> str:
    """Where machines are listed."""
    return "/rentals?most=500" + (f"&since={after}" if after else "")

"""Messages between workers and controllers, with the field names of the protocol mapped here."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from copperpass.protocol.json_codec import encode

HEARTBEAT_PATH = "/v1/report"
COMMANDS_PATH = "/do"
# How long a worker waits for an answer, and then before it tries the next controller.
HEARTBEAT_ANSWER_S, NEXT_CONTROLLER_S = 4.0, 1.0


class CommandKind(StrEnum):
    """What a worker is told to do with a task."""

    START = "run"
    STOP = "kill"
    FORGET = "clear"


class TaskState(StrEnum):
    """The states of a task on a machine."""

    FETCHING = "pulling"
    # A gang's task that waits for the others of its attempt.
    GATHERING = "gathering"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "exited"


class ExitCause(StrEnum):
    """Why a task has exited."""

    DONE = "done"
    STOPPED = "halted"
    ERROR = "error"
    # A gang's task: another is gone; not complete in time.
    GANG_LOST = "mates_gone"
    ALONE = "alone"
    # The machine has refused its start, or doesn't know it.
    NO_CAPACITY = "no_room"
    BUSY = "in_use"
    UNKNOWN = "unknown"


class TaskStatus(
    msgspec.Struct,
    rename={"task": "page", "attempt": "take", "state": "status", "exit_cause": "cause"},
):
    """A task on a machine."""

    task: str
    attempt: int
    state: str
    exit_cause: str | None = None
    saved: bool | None = None


class WorkerHeartbeat(
    msgspec.Struct,
    rename={
        "machine": "press",
        "type": "rack",
        "zone": "hall",
        "spot": "borrowed",
        "agent_epoch": "shift",
        "sequence": "line",
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
    agent_epoch: int
    sequence: int
    token: int = 0
    notice_s: float | None = None
    tasks: list[TaskStatus] = msgspec.field(default_factory=list)


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


class HeartbeatAnswer(msgspec.Struct, rename={"token": "baton", "commands": "orders"}):
    """The answer to an accepted report."""

    token: int
    commands: list[Command]


class DirectCommands(
    msgspec.Struct, rename={"token": "baton", "agent_epoch": "shift", "commands": "orders"}
):
    """Orders sent straight to a worker."""

    token: int
    agent_epoch: int
    commands: list[Command]


def redirect_body(member: str | None) -> bytes:
    """The body of a 421: the node that a worker should report to."""
    return encode({"editor": member} if member else {})

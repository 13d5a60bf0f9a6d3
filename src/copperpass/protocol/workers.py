"""Messages between workers and controllers; `rename` maps attributes to the protocol's names.

A worker sends heartbeats to any controller and receives commands in the answers. Urgent commands
are sent to it directly, and it answers them with a heartbeat. Durations are in seconds.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

from copperpass.protocol.json_codec import encode
from copperpass.protocol.users import MAX_BODY_BYTES

HEARTBEAT_PATH = "/v1/report"
COMMANDS_PATH = "/do"
# A worker waits `HEARTBEAT_ANSWER_S` for the answer to a heartbeat. If none arrives, it waits
# `NEXT_CONTROLLER_S` and then tries the next controller.
HEARTBEAT_ANSWER_S, NEXT_CONTROLLER_S = 4.0, 1.0
# Upper bound on a task's entry in a heartbeat and on a command, with the longest ids and causes.
MAX_TASK_ENTRY_BYTES = 144
# A heartbeat lists all tasks of its machine, and its answer may have a command for each of them.
# Both are limited to `MAX_BODY_BYTES`, of which `MAX_HEADER_BYTES` are left for the other fields.
MAX_HEADER_BYTES = 1024
MAX_TASKS_PER_MACHINE = (MAX_BODY_BYTES - MAX_HEADER_BYTES) // MAX_TASK_ENTRY_BYTES


class CommandKind(StrEnum):
    """What a command tells a worker to do with a task."""

    START = "run"
    STOP = "kill"
    FORGET = "clear"


class TaskState(StrEnum):
    """The states of a task on a machine."""

    FETCHING = "pulling"
    # A task of a gang waits for the other tasks of its attempt to start.
    GATHERING = "gathering"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "exited"


class ExitCause(StrEnum):
    """Why a task exited."""

    DONE = "done"
    STOPPED = "halted"
    ERROR = "error"
    # Tasks of gangs only: another task of the gang is gone; not all tasks had started in time.
    GANG_LOST = "mates_gone"
    ALONE = "alone"
    # The machine refused to start the task (the first two), or does not know it.
    NO_CAPACITY = "no_room"
    BUSY = "in_use"
    UNKNOWN = "unknown"


class TaskStatus(
    msgspec.Struct,
    rename={"task": "page", "attempt": "take", "state": "status", "exit_cause": "cause"},
):
    """The status of a task on a machine; `exit_cause` is None until the task has exited."""

    task: str
    attempt: int
    state: str
    exit_cause: str | None = None
    saved: bool | None = None


class StatusPosition(NamedTuple):
    """The place of a status among those of its machine: the larger one is the newer."""

    agent_epoch: int
    sequence: int


class HeartbeatId(NamedTuple):
    """Identifies one heartbeat of one machine; a worker uses no id twice."""

    machine: str
    agent_epoch: int
    sequence: int


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
    """The status of a machine and its tasks.

    `agent_epoch`: increases with each start of the agent and each expiry of its lease; both end
    all tasks. `sequence`: increases with each heartbeat of an epoch. `token`: the highest fencing
    token that the agent has accepted. `notice_s`: seconds until a spot machine is interrupted;
    None if no interruption is announced.
    """

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

    @property
    def position(self) -> StatusPosition:
        """The place of this status among those of its machine."""
        return StatusPosition(self.agent_epoch, self.sequence)

    @property
    def id(self) -> HeartbeatId:
        """What distinguishes this heartbeat from all others, also from those of other machines."""
        return HeartbeatId(self.machine, self.agent_epoch, self.sequence)


class Command(
    msgspec.Struct,
    rename={"kind": "verb", "task": "page", "attempt": "take", "grace_s": "windup_s"},
    omit_defaults=True,
):
    """A command to a worker; `grace_s` is how long a stopped task may take to save a checkpoint."""

    kind: str
    task: str
    attempt: int
    grace_s: float | None = None


class HeartbeatAnswer(msgspec.Struct, rename={"token": "baton", "commands": "orders"}):
    """The answer to an accepted heartbeat; it renews the lease of the machine's tasks."""

    token: int
    commands: list[Command]


class DirectCommands(
    msgspec.Struct, rename={"token": "baton", "agent_epoch": "shift", "commands": "orders"}
):
    """Commands sent to a worker outside the answer to a heartbeat, for one agent epoch."""

    token: int
    agent_epoch: int
    commands: list[Command]


def redirect_body(member: str | None) -> bytes:
    """Encode a 421 response, which names the controller to send heartbeats to if it is known."""
    return encode({"editor": member} if member else {})

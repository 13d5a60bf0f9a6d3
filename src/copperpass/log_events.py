"""Log levels, the texts of all events that a controller logs, and the reasons in their fields.

The texts are an interface: operators' alerts match them (docs/operations.md lists them). Each event
has its own set of fields, whose names are whole words in standard terms.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class LogLevel(StrEnum):
    """The levels of log records, as `LOG_LEVEL` names them."""

    ERROR = "error"
    INFO = "info"
    DEBUG = "debug"


class LogEvent(StrEnum):
    """The texts of log events."""

    # The process and its inputs; events of failures include a traceback.
    STARTED = "started"
    UNKNOWN_LOG_LEVEL = "unknown LOG_LEVEL, using info"
    TICK_FAILED = "tick failed"
    FRAME_FAILED = "frame handling failed"
    WORKER_HEARTBEAT_FAILED = "worker heartbeat handling failed"
    CALL_COMPLETION_FAILED = "call completion failed"
    # One input kept the only thread busy for longer than `SLOW_INPUT_RATIO` of a leader's lease.
    INPUT_SLOW = "input handling slow"

    # Links between members.
    MALFORMED_FRAME = "malformed frame"
    UNKNOWN_FRAME_SKIPPED = "unknown frame skipped"
    # An answer to a relayed heartbeat for which no worker waits, or not the one that sent it.
    RELAYED_ANSWER_DROPPED = "relayed answer dropped"

    # Leadership and the ownership of shards.
    LEADER_ELECTED = "leader elected"
    LEADERSHIP_LOST = "leadership lost"
    SHARD_ASSIGNED = "shard assigned"
    SHARD_UNASSIGNED = "shard unassigned"

    # Machines and their provisioning.
    CLUSTER_SUMMARY = "cluster summary"
    MACHINES_PROVISIONED = "machines provisioned"
    INVENTORY_MIGRATED = "inventory migrated"
    WORKER_LEASE_EXPIRED = "worker lease expired"
    # A heartbeat looks like a late copy of a status, or like that of an agent that has restarted.
    AGENT_RESTART_SUSPECTED = "agent restart suspected"
    AGENT_RESTARTED = "agent restarted"
    COMMANDS_UNACKNOWLEDGED = "commands unacknowledged"
    # The result of a direct request arrived after the machine was released, deleted or reassigned.
    LATE_RESULT_IGNORED = "late result ignored"
    MACHINE_QUARANTINED = "machine quarantined"
    MACHINE_DELETION_REQUESTED = "machine deletion requested"

    # Tasks and gangs.
    TASK_EXITED = "task exited"
    # Totals of the tasks that an owner has stopped, and of the work that they lost.
    TASKS_STOPPED = "tasks stopped"
    GANG_ATTEMPT_STOPPED = "gang attempt stopped"


class DeletionReason(StrEnum):
    """Why a shard's scheduler requests a machine's deletion: in `MACHINE_DELETION_REQUESTED`."""

    # The machine is known only from its stored record and has never sent a heartbeat.
    NEVER_REGISTERED = "never registered"
    HEARTBEAT_TIMEOUT = "heartbeat timeout"
    # The machine's heartbeats arrive, but the answers do not reach it.
    ANSWERS_UNDELIVERED = "answers undelivered"
    # The machine is quarantined and has no tasks any more.
    QUARANTINED = "quarantined"


class StepDownReason(StrEnum):
    """Why a leader steps down: the reason in `LEADERSHIP_LOST`."""

    AUTHORITY_EXPIRED = "authority expired"
    ANOTHER_LEADER = "another leader elected"
    NO_WORKER_HEARTBEATS = "no worker heartbeats"
    WATCH_CACHE_BEHIND = "watch cache behind other members"
    HANDOVERS_EXHAUSTED = "handover counter exhausted"
    INVENTORY_WRITE_UNRESOLVED = "outcome of an inventory write unknown"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One event to log; `fields` are its own fields, which `log.write` adds to the line."""

    level: LogLevel
    event: LogEvent
    fields: dict[str, object]

"""The core's output ports: HTTP calls, replies, frames and log records as plain values.

The core does no I/O. It queues values of these types in its `Outbox`. The reactor side
(`copperpass.net`) or the tests' simulation carries them out in the order in which they were queued.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from copperpass.log_events import LogEvent, LogLevel, LogRecord
from copperpass.protocol.frames.messages import Frame

# Statuses of a call without an HTTP response. After `NO_ANSWER` the service may have carried out
# the call or may still do so. After `NOT_SENT` it never will, because no connection could be made.
NO_ANSWER = 0
NOT_SENT = -1


class ExternalService(StrEnum):
    """The systems that a controller calls over HTTP."""

    STATE = "state"
    CLOUD = "cloud"
    WORKER = "worker"


@dataclass(slots=True)
class CallOutcome:
    """How a call ended: `status` is an HTTP status, `NO_ANSWER` or `NOT_SENT`.

    The reactor side reports `NOT_SENT` only for calls to workers; for other services it reports
    `NO_ANSWER` instead.
    """

    status: int
    body: bytes = b""


# Called exactly once for each call, with the monotonic time in seconds and the outcome.
OnCallDone = Callable[[float, CallOutcome], None]


@dataclass(slots=True)
class Call:
    """An HTTP request to an external service.

    `path` contains the query. `address` (`host:port`) is set only for calls to workers; the
    settings name the addresses of the other services. Without a response within `timeout_s` seconds
    the call ends as `NO_ANSWER`.
    """

    service: ExternalService
    method: str
    path: str
    on_done: OnCallDone
    body: bytes = b""
    timeout_s: float = 1.0
    address: str = ""


@dataclass(slots=True)
class Reply:
    """The response to a request of a user or a worker.

    `request` is the opaque handle that came with the request; the core returns it unchanged.
    `retry_after` is the value of the `Retry-After` header in seconds; None to omit the header.
    """

    request: object
    status: int
    body: bytes
    retry_after: int | None = None


@dataclass(slots=True)
class Outbox:
    """Outputs of the core that are to be carried out after an input, each kind in order."""

    calls: list[Call] = field(default_factory=list)
    replies: list[Reply] = field(default_factory=list)
    frames: list[tuple[str, Frame]] = field(default_factory=list)
    logs: list[LogRecord] = field(default_factory=list)

    def send(self, member: str, frame: Frame) -> None:
        """Queue a frame for another controller."""
        self.frames.append((member, frame))

    def log(self, level: LogLevel, event: LogEvent, **fields: object) -> None:
        """Queue a log record: an event with its fields."""
        self.logs.append(LogRecord(level, event, fields))

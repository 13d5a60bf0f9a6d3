"""What the core asks of the outside: calls and answers, as plain values."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from copperpass.log_events import LogEvent, LogLevel, LogRecord
from copperpass.protocol.frames.messages import Frame

# A call without an answer may have been carried out, or be carried out yet. One that was not sent,
# because no connection could be made, never will be.
NO_ANSWER, NOT_SENT = 0, -1


@dataclass(slots=True)
class CallOutcome:
    """How a call ended: an HTTP status, `NO_ANSWER` or `NOT_SENT`."""

    status: int
    body: bytes = b""


OnCallDone = Callable[[float, CallOutcome], None]


@dataclass(slots=True)
class Call:
    """A request to the state service, the cloud or a worker."""

    service: str
    method: str
    path: str
    on_done: OnCallDone
    body: bytes = b""
    timeout: float = 1.0
    address: str = ""


@dataclass(slots=True)
class Reply:
    """The answer to a user's request."""

    request: object
    status: int
    body: bytes
    retry_after: int | None = None


@dataclass(slots=True)
class Outbox:
    """Everything the core wants done after an input."""

    calls: list[Call] = field(default_factory=list)
    replies: list[Reply] = field(default_factory=list)
    frames: list[tuple[str, Frame]] = field(default_factory=list)
    logs: list[LogRecord] = field(default_factory=list)

    def send(self, member: str, frame: Frame) -> None:
        """Send a frame to another controller."""
        self.frames.append((member, frame))

    def log(self, level: LogLevel, event: LogEvent, **fields: object) -> None:
        """Log an event with its fields."""
        self.logs.append(LogRecord(level, event, fields))

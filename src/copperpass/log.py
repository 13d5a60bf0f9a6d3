"""Writes log records to standard error, each as one line of JSON."""

from __future__ import annotations

import logging
import os
import sys
import time

import msgspec

from copperpass.log_events import LogEvent, LogLevel, LogRecord

LEVELS: dict[str, int] = {
    LogLevel.ERROR: logging.ERROR,
    LogLevel.INFO: logging.INFO,
    LogLevel.DEBUG: logging.DEBUG,
}
logger = logging.getLogger("copperpass")


class JsonLineFormatter(logging.Formatter):
    """Formats a record as one JSON object; `member` is the name of this controller."""

    def __init__(self, member: str) -> None:
        super().__init__()
        self.member = member

    def format(self, record: logging.LogRecord) -> str:
        """Return the event, its fields and any traceback as one line of JSON."""
        line: dict[str, object] = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "member": self.member,
            "event": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def write(record: LogRecord) -> None:
    """Log one event with its fields."""
    logger.log(LEVELS[record.level], record.event, extra={"fields": record.fields})


def configure(member: str) -> None:
    """Log to standard error from the level in `LOG_LEVEL` on; an unknown level stands for info."""
    level = os.environ.get("LOG_LEVEL", "info") or "info"
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonLineFormatter(member))
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(LEVELS.get(level, logging.INFO))
    if level not in LEVELS:
        write(LogRecord(LogLevel.INFO, LogEvent.UNKNOWN_LOG_LEVEL, {"value": level}))

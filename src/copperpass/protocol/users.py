"""Messages between users and controllers; `rename` maps attributes to the protocol's names."""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Literal

import msgspec

JOB_ID_PATTERN = re.compile(r"req-[0-9]{6,18}\Z")
MAX_BODY_BYTES = 65536
MAX_TASKS = 100_000

JOBS_PATH = "/api/jobs"
CANCEL_SUFFIX = "/cancel"
HEALTH_PATH = "/healthz"

PRIORITY_LEVELS = {"production": 3, "high": 2, "normal": 1, "low": 0}


class JobState(StrEnum):
    """The states of a job that users see; `DONE` and `CANCELLED` are final."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


class JobSpec(
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
        """Whether the tasks are gang-scheduled: all run at the same time, or none does."""
        return self.kind == "ensemble"


class JobReference(msgspec.Struct):
    """The field that identifies a repeated submission; the other fields of its body are ignored."""

    id: str


class JobAnswer(msgspec.Struct, rename={"state": "status"}, omit_defaults=True):
    """The state of a job as its user sees it, with its numbers of done and of running tasks."""

    id: str
    state: str
    done: int | None = None
    running: int | None = None


def decode_spec(body: bytes) -> JobSpec:
    """Decode a submission; raises one of `DECODE_ERRORS` if it is malformed."""
    # msgspec does not validate the UTF-8 of strings in fields that it ignores.
    body.decode("utf-8")
    return msgspec.json.decode(body, type=JobSpec)

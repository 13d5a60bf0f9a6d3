"""Messages between users and controllers, with the field names of the protocol mapped here."""

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
    """The states of a job that users see; the last two are final."""

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
        """Whether all tasks run together or none does."""
        return self.kind == "ensemble"


class JobReference(msgspec.Struct):
    """The one field that identifies a repeated submission, whatever else its body holds."""

    id: str


class JobAnswer(msgspec.Struct, rename={"state": "status"}, omit_defaults=True):
    """The state of a job as its user sees it: how many tasks are done, and how many run."""

    id: str
    state: str
    done: int | None = None
    running: int | None = None


def decode_spec(body: bytes) -> JobSpec:
    """Decode a submission; raises one of `DECODE_ERRORS` when it is malformed."""
    # msgspec doesn't look at the bytes of strings in fields that it ignores.
    body.decode("utf-8")
    return msgspec.json.decode(body, type=JobSpec)

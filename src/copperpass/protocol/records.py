"""Records that controllers keep in the key-value store.

Their field names are stored data: earlier versions read and write them too.
"""

from __future__ import annotations

import msgspec

from copperpass.protocol.users import JobSpec


class JobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "submitted_at": "at",
        "final_state": "final",
        "done_tasks": "done",
        "completed_count": "count",
    },
):
    """The one record of a job: its spec while it is live, its final state afterwards.

    `submitted_at`: the time of day in seconds when it was submitted; 0 if that isn't known.
    `done_tasks`: the tasks that are done, as a bitmap in base64 without its trailing zeros.
    `completed_count`: how many were done when it reached its final state.
    """

    spec: JobSpec | None = None
    submitted_at: float = 0.0
    final_state: str = ""
    done_tasks: str = ""
    completed_count: int = 0


def submitted_job_value(spec: JobSpec, submitted_at: float) -> dict[str, object]:
    """What is stored of a job when it is submitted."""
    return {"spec": msgspec.to_builtins(spec), "at": submitted_at}


def completed_job_value(final_state: str, completed_count: int) -> dict[str, object]:
    """What is stored of a job when it reaches its final state."""
    return {"final": final_state, "count": completed_count}


class LeaderRecord(msgspec.Struct):
    """Who leads, under which token and lease."""

    member: str
    token: int
    lease: int


class FencingTokenRecord(msgspec.Struct):
    """The token counter, and who won the last token."""

    token: int
    member: str = ""


class MachineGroupRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={"pending_requests": "booked", "starting": "fresh"},
):
    """The machines of one group, and the instance requests for it whose answers are not stored.

    `pending_requests`: how many machines each asks for; `starting`: machines that were never seen
    up; `up`: machines that were, on which tasks may run.
    """

    type: str
    zone: str
    spot: bool
    pending_requests: dict[str, int] = msgspec.field(default_factory=dict)
    starting: list[str] = msgspec.field(default_factory=list)
    up: list[str] = msgspec.field(default_factory=list)


class InventoryRecord(msgspec.Struct, rename={"groups": "places"}):
    """Every machine that was provisioned, and the pending instance requests; or a page of them."""

    groups: list[MachineGroupRecord]


class VersionRecord(msgspec.Struct):
    """What a member's newest process says of itself; versions without it never write one.

    `format`: the highest form of records and frames that it reads.
    """

    version: str
    format: int

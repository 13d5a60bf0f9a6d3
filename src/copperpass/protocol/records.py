"""Records that controllers keep in the key-value store.

Their field names are part of the stored data, which earlier versions read and write too.
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

    `submitted_at`: the wall-clock time of the submission in seconds; 0 if unknown.
    `done_tasks`: the completed tasks, as a base64 bitmap without its trailing zeros.
    `completed_count`: how many tasks were completed when the job reached its final state.
    """

    spec: JobSpec | None = None
    submitted_at: float = 0.0
    final_state: str = ""
    done_tasks: str = ""
    completed_count: int = 0


def submitted_job_value(spec: JobSpec, submitted_at: float) -> dict[str, object]:
    """Return the value to store for a submitted job: the fields of `JobRecord` by outer name."""
    return {"spec": msgspec.to_builtins(spec), "at": submitted_at}


def completed_job_value(final_state: str, completed_count: int) -> dict[str, object]:
    """Return the value to store for a job in its final state, by outer names of `JobRecord`."""
    return {"final": final_state, "count": completed_count}


class LeaderRecord(msgspec.Struct):
    """The leader, its fencing token, and the lease that its key is attached to."""

    member: str
    token: int
    lease: int


class FencingTokenRecord(msgspec.Struct):
    """The counter of fencing tokens, and the member that won the last one."""

    token: int
    member: str = ""


class MachineGroupRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={"pending_requests": "booked", "starting": "fresh"},
):
    """The machines of one group, and its instance requests whose answers are not stored yet.

    `pending_requests`: the number of machines requested, by request id.
    `starting`: machines that have not been seen up yet.
    `up`: machines that have been seen up, so tasks may run on them.
    """

    type: str
    zone: str
    spot: bool
    pending_requests: dict[str, int] = msgspec.field(default_factory=dict)
    starting: list[str] = msgspec.field(default_factory=list)
    up: list[str] = msgspec.field(default_factory=list)


class InventoryRecord(msgspec.Struct, rename={"groups": "places"}):
    """All provisioned machines and pending instance requests, or one page of them."""

    groups: list[MachineGroupRecord]


class VersionRecord(msgspec.Struct):
    """The version of a member's latest process; versions before 0.3.0 write no such record.

    `format`: the highest format of records and frames that the process reads.
    """

    version: str
    format: int

"""The names of tasks in the workers' protocol: `{job id}/{index}`."""

from __future__ import annotations


def task_id(job_id: str, index: int) -> str:
    """How the protocol names a task."""
    return f"{job_id}/{index}"


def parse_task_id(task: str) -> tuple[str, int] | None:
    """The job id and index of a task's name, or None if it has another form."""
    job_id, _, index = task.rpartition("/")
    if not job_id or not index.isdecimal():
        return None
    return job_id, int(index)

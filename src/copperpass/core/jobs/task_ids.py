"""The names of tasks in the workers' protocol: `{job id}/{index}`."""

from __future__ import annotations


def task_id(job_id: str, index: int) -> str:
    """The name of a task in the workers' protocol."""
    return f"{job_id}/{index}"


def parse_task_id(task: str) -> tuple[str, int] | None:
    """Parse a task's name into job id and index; None if it does not have the expected form."""
    job_id, _, index = task.rpartition("/")
    if not job_id or not index.isdecimal():
        return None
    return job_id, int(index)

"""Placements: task attempts that are, or may be, on a machine, and the reasons for stopping them.

A placement ends only when a heartbeat proves that the task is gone, when the agent epoch of its
machine has ended, or when the cloud has confirmed that the machine is deleted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from copperpass.protocol.frames.messages import NO_SHARD
from copperpass.protocol.workers import TaskState

# Job id, index and attempt of a task.
PlacementKey = tuple[str, int, int]
# The team of a task whose job is not in the watch cache.
UNIDENTIFIED = "?"


class StopReason(StrEnum):
    """Why a task is stopped; the values are logged."""

    JOB_COMPLETED = "job completed"
    CANCELLED = "job cancelled"
    PREEMPTED = "preempted"
    RECLAIMED = "reclaimed"
    INTERRUPTION_NOTICE = "interruption notice"
    DUPLICATE = "duplicate attempt"
    FAULTY_MACHINE = "machine quarantined"
    # Reasons for stopping gangs only.
    ATTEMPT_ENDED = "attempt ended"
    TASK_LOST = "task lost"
    TASK_EXITED = "task exited"
    TWO_ATTEMPTS = "two attempts"
    NO_CAPACITY = "no capacity for the rest"


@dataclass(slots=True)
class Placement:
    """One attempt of a task on one machine; times are seconds of the monotonic clock."""

    job_id: str
    index: int
    attempt: int
    machine: str
    team: str
    job_class: str
    priority: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    estimate_s: float
    state: str = ""
    exit_cause: str = ""
    sent_at: float = 0.0
    running_at: float = 0.0
    reported: bool = False
    # Sequence of the worker's latest status at the time when the start was sent in an answer, or
    # confirmed; -1 until then.
    sent_sequence: int = -1
    sent_directly: bool = False
    # Nonzero if the outcome of a direct start is unknown: a worker that has accepted this token
    # refuses the start.
    barrier_token: int = 0
    # The fencing token with which the start was sent.
    start_token: int = 0
    # Seconds for a checkpoint before the task is killed; None unless the task is to be stopped.
    stop_grace_s: float | None = None
    stop_sent_at: float = 0.0
    stop_reason: StopReason | None = None
    # Whether the exit is stored, or needs no record, so that the worker may forget the task.
    stored: bool = False
    # The task belongs to another shard, and only the owner of that shard may record its completion.
    of_other_shard: bool = False
    shard: int = NO_SHARD

    @property
    def key(self) -> PlacementKey:
        """The job id, index and attempt, unique among the placements of a machine."""
        return (self.job_id, self.index, self.attempt)

    @property
    def needs_other_owner(self) -> bool:
        """Whether only the owner of another shard may command the task or record its result."""
        return self.of_other_shard and not self.stored

    @property
    def active(self) -> bool:
        """Whether the task uses capacity of its machine."""
        return self.state != TaskState.EXITED

    def mark_for_stop(self, reason: StopReason) -> None:
        """Mark the task to be stopped without time for a checkpoint.

        A stop that has already been sent directly isn't sent directly again: `stop_sent_at` stays.
        """
        self.stop_grace_s, self.stop_reason = 0.0, reason

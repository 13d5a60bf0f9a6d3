"""Placements: the attempts of tasks that are, or may be, on a machine, and why they are stopped.

A placement ends only when a heartbeat proves the task gone, when its machine's agent session has
ended, or when the cloud has confirmed that the machine is deleted.
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
    """Why a task is stopped; the values go into the log."""

    JOB_COMPLETED = "job completed"
    CANCELLED = "job cancelled"
    PREEMPTED = "preempted"
    RECLAIMED = "reclaimed"
    INTERRUPTION_NOTICE = "interruption notice"
    DUPLICATE = "duplicate attempt"
    OTHER_SHARD = "task of another shard"
    FAULTY_MACHINE = "machine quarantined"
    # Of gangs.
    ATTEMPT_ENDED = "attempt ended"
    TASK_LOST = "task lost"
    TASK_EXITED = "task exited"
    TWO_ATTEMPTS = "two attempts"
    NO_CAPACITY = "no capacity for the rest"


@dataclass(slots=True)
class Placement:
    """One attempt of a task on one machine; moments are of the steady clock, in seconds."""

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
    # The sequence of the worker's last status as the start was sent or confirmed; -1 before.
    sent_sequence: int = -1
    sent_directly: bool = False
    # Set if the outcome of a direct start is unknown: a worker that has accepted this token refuses
    # the start.
    barrier_token: int = 0
    # The token that the start was sent with.
    start_token: int = 0
    # Time for a checkpoint before the task is killed; None unless it is to be stopped.
    stop_grace_s: float | None = None
    stop_sent_at: float = 0.0
    stop_reason: StopReason | None = None
    # Whether the exit is recorded, or needs no record: the worker may forget the task.
    stored: bool = False
    # A task of another shard, whose completion only the owner of that shard may record.
    of_other_shard: bool = False
    shard: int = NO_SHARD

    @property
    def key(self) -> PlacementKey:
        """Unique among the placements of a machine."""
        return (self.job_id, self.index, self.attempt)

    @property
    def active(self) -> bool:
        """Whether the task uses capacity of its machine."""
        return self.state != TaskState.EXITED

    def mark_for_stop(self, reason: StopReason) -> None:
        """Have the task stopped without time for a checkpoint.

        A stop that was sent directly before isn't sent directly again: `stop_sent_at` stays.
        """
        self.stop_grace_s, self.stop_reason = 0.0, reason

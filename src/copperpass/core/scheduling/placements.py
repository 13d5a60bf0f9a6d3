"""Placements: the attempts of tasks that are, or may be, on a machine, and why they are stopped.

A placement ends only when a heartbeat proves the task gone, when its machine's agent session has
ended, or when the cloud has confirmed that the machine is deleted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from copperpass.protocol.workers import TaskState

Key = tuple[str, int, int]
# The team of a task whose job is not in the watch cache.
UNIDENTIFIED = "?"


class StopReason(StrEnum):
    """Why a task is stopped; the values go into the log."""

    JOB_COMPLETED = "job completed"
    CANCELLED = "job cancelled"
    PREEMPTED = "preempted"
    RECLAIMED = "reclaimed"
    NOTICE = "interruption notice"
    DUPLICATE = "duplicate attempt"
    OTHER_SHARD = "task of another shard"
    FAULTY_MACHINE = "machine quarantined"
    # Of gangs: the attempt has ended, a task of it is gone, two attempts or no room for the rest.
    ATTEMPT_ENDED = "attempt ended"
    TASK_LOST = "task lost"
    TASK_EXITED = "task exited"
    TWO_ATTEMPTS = "two attempts"
    NO_ROOM = "no capacity for the rest"


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
    sent_sequence: int = -1
    sent_directly: bool = False
    barrier_token: int = 0
    start_token: int = 0
    stop_grace_s: float | None = None
    stop_sent_at: float = 0.0
    stop_reason: StopReason | None = None
    stored: bool = False
    # A task of another shard, whose completion only the owner of that shard may record.
    of_other_shard: bool = False
    shard: int = 255

    @property
    def key(self) -> Key:
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

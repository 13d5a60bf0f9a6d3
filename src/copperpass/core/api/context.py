"""What the handlers of users' requests share and never change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Outbox
from copperpass.protocol.cloud import MachineType
from copperpass.settings import Cluster


class TaskCounts(Protocol):
    """Tells how many tasks of a live job are completed, and how many are running."""

    def __call__(self, job_id: str, /) -> tuple[int, int]:
        """Completed and running tasks; zeros if the job is not known here."""


class OnJobCancelled(Protocol):
    """Called once a cancellation is stored, before the watch shows it."""

    def __call__(self, now: float, job_id: str, /) -> None:
        """Stop the job's tasks, here and on other members."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ApiContext:
    """Collaborators and settings of the API.

    `read_timeout_s`: the time from a request to its answer, in seconds; `wall_clock_offset`: the
    time of day less the steady clock's, in seconds.
    """

    cluster: Cluster
    out: Outbox
    transactions: TransactionQueue
    read_timeout_s: float
    wall_clock_offset: float
    # All that the cloud offers, kept up to date by its owner; empty until it is known.
    types: dict[str, MachineType]
    task_counts: TaskCounts
    on_job_cancelled: OnJobCancelled

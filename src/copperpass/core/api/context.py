"""Settings and collaborators shared by the handlers of users' requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from copperpass.core.api.absences import Absences
from copperpass.core.cancellations.confirmations import OnConfirmed, StoredCancellation
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Outbox
from copperpass.protocol.cloud import MachineType
from copperpass.settings import Cluster


class WatchProgress(Protocol):
    """How far the watch cache of this member has come."""

    revision: int
    last_listed_at: float | None


class TaskCounts(Protocol):
    """Returns how many tasks of a live job are completed and how many are running."""

    def __call__(self, job_id: str, /) -> tuple[int, int]:
        """Return the counts of completed and of running tasks; (0, 0) for an unknown job."""


class ConfirmCancellation(Protocol):
    """Called before a user is told that a job is cancelled."""

    def __call__(
        self, now: float, cancellation: StoredCancellation, deadline: float, on_done: OnConfirmed, /
    ) -> None:
        """Stop the job's tasks, here and on other members that may start some.

        Calls `on_done` with 0 once the user may be told, or at the deadline with the seconds until
        the user may be told at the latest.
        """


class FinalStateConfirmations(Protocol):
    """Delays the news of a job's final state until no member can answer with an older state."""

    def announce(self, now: float, job_id: str, known_since: float, /) -> None:
        """Notify the other members of a final state that was stored by `known_since`."""

    def confirm(
        self, now: float, job_id: str, known_since: float, on_done: Callable[[float], None], /
    ) -> None:
        """Announce a final state; call `on_done` once users may be told of it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ApiContext:
    """Collaborators and settings of the API.

    `read_timeout_s`: the time from a request to its answer, in seconds; limits each lookup of a job
    and the sending of each write. `max_live_age_s`: how long a live state may be answered after the
    request that shows it was sent, in seconds; limits each read.
    `wall_clock_offset`: the wall clock minus the monotonic clock, in seconds.
    """

    cluster: Cluster
    outbox: Outbox
    transactions: TransactionQueue
    read_timeout_s: float
    max_live_age_s: float
    wall_clock_offset: float
    # All machine types that the cloud offers, by name; kept up to date by the node's catalog. Empty
    # until the types are known.
    types: dict[str, MachineType]
    task_counts: TaskCounts
    confirm_cancellation: ConfirmCancellation
    final_states: FinalStateConfirmations
    absences: Absences
    watch_progress: WatchProgress

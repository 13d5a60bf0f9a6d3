"""A job, and what this controller knows of its tasks."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from copperpass.core.jobs.completion_mask import count_completed, unpack_mask
from copperpass.protocol.records import JobRecord
from copperpass.protocol.users import JobSpec


class TaskResult(Protocol):
    """A reported completion, kept on its machine until it is stored."""

    stored: bool


@dataclass(slots=True)
class Job:
    """A job that is not completed. Moments are of the steady clock, in seconds.

    A task is pending, assigned to a machine, or completed. It may be assigned and completed at
    once: completed under one attempt while another one is still on a machine.
    """

    spec: JobSpec
    # Of its stored record.
    version: int
    arrived_at: float
    # The revision at which it was certainly created; 0 if its record doesn't tell.
    created_revision: int
    # The tasks whose completion is stored, as a mask, and their number.
    completed: bytearray
    completed_count: int
    # Tasks from this index on have never been assigned; those before it start again by `requeued`.
    next_index: int = 0
    requeued: list[int] = field(default_factory=list)
    # The machine that each task is assigned to.
    assigned: dict[int, str] = field(default_factory=dict)
    # When a dispatch round last found any of its tasks assigned.
    last_assigned_at: float = float("-inf")
    # Tasks whose completion is reported, but not stored.
    unstored: set[int] = field(default_factory=set)
    # Tasks whose completion was stored while they were assigned; some may be assigned no more.
    completed_assigned: set[int] = field(default_factory=set)
    # The reports of unstored completions: their machines may clear them once they are stored.
    unstored_results: dict[int, list[TaskResult]] = field(default_factory=dict)
    # The transaction that ends the job is under way.
    completion_in_flight: bool = False
    # How many attempts of its tasks, or of the gang, this scheduler has begun.
    attempts: int = 0
    # The machines where a task has failed since one last succeeded, and how often.
    failed_on: set[str] = field(default_factory=set)
    failures: int = 0
    # Tasks that were preempted once for more urgent work.
    preempted: set[int] = field(default_factory=set)
    backoff_until: float = 0.0
    guaranteed: bool = False
    guarantee_assessed: bool = False
    # Its cancellation is stored, by this or another member, which the watch may be late to show.
    cancelled: bool = False
    # Of a gang: the attempt that all its tasks share (0: none), whether one of them was reported
    # running, and whether the attempt has ended, apart from tasks that are not proven gone.
    attempt: int = 0
    gang_started: bool = False
    gang_ending: bool = False
    # Since when some of an attempt's tasks have been unassigned while others wait for them.
    incomplete_since: float | None = None

    def is_completed(self, index: int) -> bool:
        """Whether the task's completion is stored."""
        return bool(self.completed[index >> 3] & (1 << (index & 7)))

    def mark_completed(self, index: int) -> None:
        """Add a stored completion."""
        if not self.is_completed(index):
            self.completed[index >> 3] |= 1 << (index & 7)
            self.completed_count += 1
            if index in self.assigned:
                self.completed_assigned.add(index)

    def merge_completed(self, completed: bytes | bytearray) -> None:
        """Add stored completions, as a mask; they are facts and never taken back."""
        for i, byte in enumerate(completed):
            self.completed[i] |= byte
        before = self.completed_count
        self.completed_count = count_completed(self.completed)
        if self.completed_count > before:
            self.completed_assigned = {i for i in self.assigned if self.is_completed(i)}
        self.unstored = {i for i in self.unstored if not self.is_completed(i)}
        # A write without an answer may have been applied: the watch is proof enough to clear.
        self.on_completions_stored([i for i in self.unstored_results if self.is_completed(i)])

    def on_completions_stored(self, indexes: Iterable[int]) -> None:
        """Completions are stored: their machines may clear them."""
        for index in indexes:
            self.mark_completed(index)
            self.unstored.discard(index)
            for result in self.unstored_results.pop(index, ()):
                result.stored = True

    def completion_mask(self) -> bytearray:
        """The completions that are stored or reported."""
        mask = bytearray(self.completed)
        for index in self.unstored:
            mask[index >> 3] |= 1 << (index & 7)
        return mask

    def reset_tasks(self) -> None:
        """Keep only what is stored: a new scheduler knows nothing of the tasks."""
        self.assigned.clear()
        self.unstored.clear()
        self.completed_assigned.clear()
        self.unstored_results.clear()
        self.requeued.clear()
        self.failed_on.clear()
        self.preempted.clear()
        self.next_index = self.failures = 0
        self.completion_in_flight, self.backoff_until = False, 0.0
        self._reset_attempt()

    def pending_count(self) -> int:
        """How many tasks are neither assigned nor completed."""
        pending = self.spec.tasks - self.completed_count - len(self.assigned) - len(self.unstored)
        # A task that is both was subtracted twice.
        if self.unstored:
            pending += len(self.assigned.keys() & self.unstored)
        if self.completed_assigned:
            pending += len(self.assigned.keys() & self.completed_assigned)
        return pending

    def all_completed(self) -> bool:
        """Whether every task is completed, stored or not."""
        return self.completed_count + len(self.unstored) >= self.spec.tasks

    def next_task(self) -> int | None:
        """The next task to start, or None if none is pending."""
        while self.requeued:
            if self._is_pending(self.requeued[-1]):
                return self.requeued[-1]
            self.requeued.pop()
        while self.next_index < self.spec.tasks:
            if self._is_pending(self.next_index):
                return self.next_index
            self.next_index += 1
        return None

    def unassigned(self) -> list[int]:
        """All pending tasks, by index; for gangs, which are small."""
        return [index for index in range(self.spec.tasks) if self._is_pending(index)]

    def _is_pending(self, index: int) -> bool:
        return not (index in self.assigned or index in self.unstored or self.is_completed(index))

    def requeue(self, index: int) -> None:
        """A task is proven gone and not completed: it may start again."""
        self.assigned.pop(index, None)
        if index < self.next_index and not self.is_completed(index) and index not in self.unstored:
            self.requeued.append(index)

    def displayed_running(self) -> int:
        """How many tasks run, for display: a gang's tasks that wait for each other don't."""
        return 0 if self.spec.gang and not self.gang_started else len(self.assigned)

    def finish_attempt(self) -> None:
        """Once no task of a gang's attempt can be on any machine, another attempt may begin."""
        if not self.assigned and (self.gang_ending or self.attempt):
            self._reset_attempt()

    def _reset_attempt(self) -> None:
        self.attempt, self.gang_started, self.gang_ending = 0, False, False
        self.incomplete_since = None


def make_job(
    record: JobRecord, version: int, now: float, wall_clock_offset: float = 0.0
) -> Job | None:
    """A live job from its record, or None if that is a terminal one.

    `wall_clock_offset` is the time of day less the steady clock's, in seconds.
    """
    if record.spec is None:
        return None
    completed = unpack_mask(record.done_tasks, record.spec.tasks)
    count = count_completed(completed)
    # A record with completions was changed after its creation, maybe by a late write of an earlier
    # leader after this one's election: its version doesn't prove that the job is younger than that.
    created_revision = version if count == 0 else 0
    # A process that has just started sees jobs that came long ago: by its own clock all of them
    # would be new, and every restart of all controllers would begin each wait afresh.
    arrived_at = min(now, record.submitted_at - wall_clock_offset) if record.submitted_at else now
    return Job(record.spec, version, arrived_at, created_revision, completed, count)

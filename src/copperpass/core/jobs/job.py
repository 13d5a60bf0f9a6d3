"""A job that is not completed, and the state of its tasks as known to this controller."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from copperpass.core.jobs.completion_mask import count_completed, unpack_mask
from copperpass.protocol.records import JobRecord
from copperpass.protocol.users import JobSpec


class TaskResult(Protocol):
    """A task completion reported by a machine, which keeps it until it is stored."""

    stored: bool


@dataclass(slots=True)
class Job:
    """A job that is not completed. Times are seconds of the monotonic clock.

    A task is pending, assigned to a machine, or completed. It may be both assigned and completed:
    completed by one attempt while another attempt is still on a machine.
    """

    spec: JobSpec
    # The version of the stored record.
    version: int
    arrived_at: float
    # The store's revision at which the job was created; 0 if the record does not prove one.
    created_revision: int
    # A mask of the tasks whose completion is stored, and their number.
    completed: bytearray
    completed_count: int
    # Tasks from this index on have never been assigned; those below it restart through `requeued`.
    next_index: int = 0
    requeued: list[int] = field(default_factory=list)
    # The machine of each assigned task, by task index.
    assigned: dict[int, str] = field(default_factory=dict)
    # When a dispatch round last found one of the job's tasks assigned.
    last_assigned_at: float = float("-inf")
    # Tasks whose completion is reported but not stored yet.
    unstored: set[int] = field(default_factory=set)
    # Tasks whose completion was stored while they were assigned; some may no longer be assigned.
    completed_assigned: set[int] = field(default_factory=set)
    # The reports of unstored completions, by task; machines may clear them once they are stored.
    unstored_results: dict[int, list[TaskResult]] = field(default_factory=dict)
    # Whether the transaction that ends the job is in flight.
    completion_in_flight: bool = False
    # How many attempts of the job's tasks, or of the gang, this scheduler has started.
    attempts: int = 0
    # The machines on which tasks have failed since the last success, and the number of failures.
    failed_on: set[str] = field(default_factory=set)
    failures: int = 0
    # Tasks that have been preempted for more urgent work.
    preempted: set[int] = field(default_factory=set)
    backoff_until: float = 0.0
    guaranteed: bool = False
    guarantee_assessed: bool = False
    # Whether the job's cancellation is stored, by any member; the watch may show it later.
    cancelled: bool = False
    # For gangs: the attempt shared by all tasks (0: none), whether one of its tasks was reported
    # running, and whether the attempt is over except for tasks that are not yet proven gone.
    attempt: int = 0
    gang_started: bool = False
    gang_ending: bool = False
    # When some tasks of an attempt became unassigned while others wait for them; else None.
    incomplete_since: float | None = None

    def is_completed(self, index: int) -> bool:
        """Whether the task's completion is stored."""
        return bool(self.completed[index >> 3] & (1 << (index & 7)))

    def mark_completed(self, index: int) -> None:
        """Record that a task's completion is stored."""
        if not self.is_completed(index):
            self.completed[index >> 3] |= 1 << (index & 7)
            self.completed_count += 1
            if index in self.assigned:
                self.completed_assigned.add(index)

    def merge_completed(self, completed: bytes | bytearray) -> None:
        """Add a mask of stored completions; a stored completion is never revoked."""
        for i, byte in enumerate(completed):
            self.completed[i] |= byte
        previous_count = self.completed_count
        self.completed_count = count_completed(self.completed)
        if self.completed_count > previous_count:
            self.completed_assigned = {i for i in self.assigned if self.is_completed(i)}
        self.unstored = {i for i in self.unstored if not self.is_completed(i)}
        # A write without an answer may have been applied. The watch proves it, so that machines may
        # clear the reports.
        self.on_completions_stored([i for i in self.unstored_results if self.is_completed(i)])

    def on_completions_stored(self, indexes: Iterable[int]) -> None:
        """Record stored completions, and let the machines that reported them clear the reports."""
        for index in indexes:
            self.mark_completed(index)
            self.unstored.discard(index)
            for result in self.unstored_results.pop(index, ()):
                result.stored = True

    def completion_mask(self) -> bytearray:
        """A mask of the tasks whose completion is stored or reported."""
        mask = bytearray(self.completed)
        for index in self.unstored:
            mask[index >> 3] |= 1 << (index & 7)
        return mask

    def reset_tasks(self) -> None:
        """Reset all but stored data, because a new scheduler does not know the tasks' state."""
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
        # Tasks that are both assigned and completed were subtracted twice.
        if self.unstored:
            pending += len(self.assigned.keys() & self.unstored)
        if self.completed_assigned:
            pending += len(self.assigned.keys() & self.completed_assigned)
        return pending

    def all_completed(self) -> bool:
        """Whether the completion of every task is stored or reported."""
        return self.completed_count + len(self.unstored) >= self.spec.tasks

    def next_task(self) -> int | None:
        """The index of the next task to start, or None if none is pending."""
        while self.requeued:
            if self._is_pending(self.requeued[-1]):
                return self.requeued[-1]
            self.requeued.pop()
        while self.next_index < self.spec.tasks:
            if self._is_pending(self.next_index):
                return self.next_index
            self.next_index += 1
        return None

    def pending_tasks(self) -> list[int]:
        """The indexes of all pending tasks; scans all tasks, so for gangs only, which are small."""
        return [index for index in range(self.spec.tasks) if self._is_pending(index)]

    def _is_pending(self, index: int) -> bool:
        return not (index in self.assigned or index in self.unstored or self.is_completed(index))

    def requeue(self, index: int) -> None:
        """Unassign a task proven to be gone; unless it is completed, it may start again."""
        self.assigned.pop(index, None)
        if index < self.next_index and not self.is_completed(index) and index not in self.unstored:
            self.requeued.append(index)

    def displayed_running(self) -> int:
        """The running tasks, for display; 0 while a gang's tasks wait for each other."""
        return 0 if self.spec.gang and not self.gang_started else len(self.assigned)

    def finish_attempt(self) -> None:
        """Allow a gang's next attempt, if no task of the last one can still be on a machine."""
        if not self.assigned and (self.gang_ending or self.attempt):
            self._reset_attempt()

    def _reset_attempt(self) -> None:
        self.attempt, self.gang_started, self.gang_ending = 0, False, False
        self.incomplete_since = None


def make_job(
    record: JobRecord, version: int, now: float, wall_clock_offset: float = 0.0
) -> Job | None:
    """Create a live job from its record; None if the record is that of a completed job.

    `wall_clock_offset` is the wall clock's time minus the monotonic clock's, in seconds.
    """
    if record.spec is None:
        return None
    completed = unpack_mask(record.done_tasks, record.spec.tasks)
    count = count_completed(completed)
    # A record with completions was changed after its creation, perhaps by a late write of an
    # earlier leader after the current one was elected. So its version does not prove that the job
    # was created after that election.
    created_revision = version if count == 0 else 0
    # A process that has just started also receives jobs submitted long ago. If their arrival were
    # counted from now, a restart of all controllers would restart the waiting time of every job.
    arrived_at = min(now, record.submitted_at - wall_clock_offset) if record.submitted_at else now
    return Job(record.spec, version, arrived_at, created_revision, completed, count)

"""The jobs that are not over yet, as the state service holds them."""

from __future__ import annotations

import base64
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from copperpass.core.kvstore.keys import LIVE_JOBS_PREFIX
from copperpass.protocol.json_codec import decode
from copperpass.protocol.records import JobRecord
from copperpass.protocol.users import JobSpec

MIN_REMEMBERED_CANCELLED = 2000


def pack_mask(done: bytearray) -> str:
    """The done tasks as text, short while few or all of the last are missing."""
    return base64.b64encode(bytes(done).rstrip(b"\0")).decode()


def unpack_mask(text: str, tasks: int) -> bytearray:
    """The opposite of `pack_mask`."""
    mask = bytearray((tasks + 7) // 8)
    raw = base64.b64decode(text)[: len(mask)]
    mask[: len(raw)] = raw
    return mask


def segment_key(job_id: str, offset: int) -> str:
    """How a page names a part of a job's mask, which begins at a byte; no job has such an id."""
    return f"{job_id}:{offset}"


def split_segment(entry: str) -> tuple[str, int]:
    """The job and first byte of an entry of a page; a whole mask begins at 0."""
    job_id, _, offset = entry.partition(":")
    return job_id, int(offset) if offset.isdecimal() else 0


class Result(Protocol):
    """Whatever holds a task's end that may be cleared once it is stored."""

    stored: bool


@dataclass(slots=True)
class Job:
    """A job and what this controller knows of its tasks."""

    spec: JobSpec
    version: int
    arrived_at: float
    created_revision: int
    completed: bytearray
    completed_count: int
    next_index: int = 0
    requeued: list[int] = field(default_factory=list)
    assigned: dict[int, str] = field(default_factory=dict)
    # When a dispatch round last saw any of its tasks placed.
    last_assigned_at: float = float("-inf")
    unstored: set[int] = field(default_factory=set)
    # Tasks whose end was stored while they had a place; some may have lost it since.
    completed_assigned: set[int] = field(default_factory=set)
    # Reported ends that wait to be stored: what to tell their machines once they are.
    unstored_results: dict[int, list[Result]] = field(default_factory=dict)
    completion_in_flight: bool = False
    attempts: int = 0
    failed_on: set[str] = field(default_factory=set)
    failures: int = 0
    # Tasks that were stopped once for more urgent work.
    preempted: set[int] = field(default_factory=set)
    backoff_until: float = 0.0
    guaranteed: bool = False
    guarantee_assessed: bool = False
    # Another member has stored its cancellation, which the view may be late to show.
    cancelled: bool = False
    # Of a gang: the attempt that all its tasks share (0: none), whether one of them was seen to
    # run, and whether the attempt is over, but for tasks that are not proven gone.
    attempt: int = 0
    gang_started: bool = False
    gang_ending: bool = False
    # Since when some of an attempt's tasks have had no place while others wait.
    incomplete_since: float | None = None

    def is_completed(self, index: int) -> bool:
        """Whether the task's end is stored."""
        return bool(self.completed[index >> 3] & (1 << (index & 7)))

    def mark_completed(self, index: int) -> None:
        """Take over a stored end."""
        if not self.is_completed(index):
            self.completed[index >> 3] |= 1 << (index & 7)
            self.completed_count += 1
            if index in self.assigned:
                self.completed_assigned.add(index)

    def merge_completed(self, completed: bytes | bytearray) -> None:
        """Take over stored ends; ends are facts, so they only add up."""
        for i, byte in enumerate(completed):
            self.completed[i] |= byte
        before, self.completed_count = (
            self.completed_count,
            sum(byte.bit_count() for byte in self.completed),
        )
        if self.completed_count > before:
            self.completed_assigned = {i for i in self.assigned if self.is_completed(i)}
        self.unstored = {i for i in self.unstored if not self.is_completed(i)}
        # A write without an answer may have been applied: the watch is proof enough to clear.
        self.on_completions_stored([i for i in self.unstored_results if self.is_completed(i)])

    def on_completions_stored(self, indexes: Iterable[int]) -> None:
        """Ends are in the state service: their machines may forget them."""
        for index in indexes:
            self.mark_completed(index)
            self.unstored.discard(index)
            for result in self.unstored_results.pop(index, ()):
                result.stored = True

    def completion_mask(self) -> bytearray:
        """The ends that are stored or reported."""
        mask = bytearray(self.completed)
        for index in self.unstored:
            mask[index >> 3] |= 1 << (index & 7)
        return mask

    def reset_tasks(self) -> None:
        """Start anew from what is stored: a new owner knows nothing of the tasks."""
        self.assigned.clear()
        self.unstored.clear()
        self.completed_assigned.clear()
        self.unstored_results.clear()
        self.requeued.clear()
        self.failed_on.clear()
        self.preempted.clear()
        self.next_index = self.failures = 0
        self.completion_in_flight, self.backoff_until = False, 0.0
        self.attempt, self.gang_started, self.gang_ending = 0, False, False
        self.incomplete_since = None

    def pending_count(self) -> int:
        """How many tasks are neither placed nor done."""
        pending = self.spec.tasks - self.completed_count - len(self.assigned) - len(self.unstored)
        # A task may have ended under one attempt while another still has a place.
        if self.unstored:
            pending += len(self.assigned.keys() & self.unstored)
        if self.completed_assigned:
            pending += len(self.assigned.keys() & self.completed_assigned)
        return pending

    def all_completed(self) -> bool:
        """Whether every task has ended, stored or not."""
        return self.completed_count + len(self.unstored) >= self.spec.tasks

    def next_task(self) -> int | None:
        """The next task to start, or None."""
        while self.requeued:
            index = self.requeued[-1]
            if index in self.assigned or index in self.unstored or self.is_completed(index):
                self.requeued.pop()
                continue
            return index
        while self.next_index < self.spec.tasks:
            index = self.next_index
            if index in self.assigned or index in self.unstored or self.is_completed(index):
                self.next_index += 1
                continue
            return index
        return None

    def displayed_running(self) -> int:
        """How many tasks run, for display: a gang's tasks that wait for each other don't."""
        return 0 if self.spec.gang and not self.gang_started else len(self.assigned)

    def unassigned(self) -> list[int]:
        """The tasks of a gang that have no place."""
        return [
            i
            for i in range(self.spec.tasks)
            if i not in self.assigned and i not in self.unstored and not self.is_completed(i)
        ]

    def finish_attempt(self) -> None:
        """Once no task of a gang's attempt can be anywhere, another attempt may begin."""
        if not self.assigned and (self.gang_ending or self.attempt):
            self.attempt, self.gang_started, self.gang_ending = 0, False, False
            self.incomplete_since = None

    def requeue(self, index: int) -> None:
        """A task is proven gone without an end: it may start again."""
        self.assigned.pop(index, None)
        if index < self.next_index and not self.is_completed(index) and index not in self.unstored:
            self.requeued.append(index)


def make_job(
    record: JobRecord, version: int, now: float, wall_clock_offset: float = 0.0
) -> Job | None:
    """A job from its record; `wall_clock_offset` is the time of day less the steady clock's."""
    if record.spec is None:
        return None
    completed = unpack_mask(record.done_tasks, record.spec.tasks)
    count = sum(byte.bit_count() for byte in completed)
    # A record with ends was changed after its creation, maybe by a late write of an earlier leader
    # after our win: its version doesn't prove that the job is younger than the win.
    created_revision = version if count == 0 else 0
    # A process that has just started sees jobs that came long ago: by its own clock all of them
    # would be new, and every restart of all controllers would begin each wait afresh.
    arrived_at = min(now, record.submitted_at - wall_clock_offset) if record.submitted_at else now
    return Job(record.spec, version, arrived_at, created_revision, completed, count)


@dataclass(slots=True)
class JobTable:
    """All jobs that are not over."""

    jobs: dict[str, Job] = field(default_factory=dict)
    # The time of day less the steady clock's, as it was when the process started.
    wall_clock_offset: float = 0.0
    # Records of ends, each of many jobs: key -> job -> done tasks.
    completion_records: dict[str, dict[str, str]] = field(default_factory=dict)
    # Jobs that are cancelled for certain although the view may not show it, or not even the job.
    cancelled: OrderedDict[str, None] = field(default_factory=OrderedDict)
    # How many of these are remembered: all that can be stored before the view must show the first.
    max_cancelled: int = MIN_REMEMBERED_CANCELLED

    def mark_cancelled(self, job_id: str) -> Job | None:
        """A job is cancelled for good; returns it if it is known."""
        self.cancelled[job_id] = None
        while len(self.cancelled) > self.max_cancelled:
            self.cancelled.popitem(last=False)
        job = self.jobs.get(job_id)
        if job is not None:
            job.cancelled = True
        return job

    def on_completions_event(self, key: str, raw: bytes | None) -> None:
        """Take in a record of ends."""
        page = decode(raw, dict[str, str]) if raw is not None else None
        if page is None:
            self.completion_records.pop(key, None)
            return
        self.completion_records[key] = page
        for entry, text in page.items():
            job = self.jobs.get(split_segment(entry)[0])
            if job is not None:
                self._merge(job, entry, text)

    def _merge(self, job: Job, entry: str, text: str) -> None:
        """Take over what an entry of a page says of a job."""
        offset = split_segment(entry)[1]
        part = unpack_mask(text, max(0, job.spec.tasks - 8 * offset))
        job.merge_completed(bytes(min(offset, len(job.completed))) + part)

    def on_watch_event(
        self, now: float, key: str, raw: bytes | None, version: int
    ) -> tuple[Job | None, bool]:
        """Take in a change; returns the job it concerns and whether it is over."""
        job_id = key[len(LIVE_JOBS_PREFIX) :]
        job = self.jobs.get(job_id)
        if raw is None:
            if job is not None and version >= job.version:
                del self.jobs[job_id]
                return job, True
            return None, False
        record = decode(raw, JobRecord)
        if record is None:
            return None, False
        if job is None:
            job = make_job(record, version, now, self.wall_clock_offset)
            if job is not None:
                self.jobs[job_id] = job
                job.cancelled = job_id in self.cancelled
                for page in self.completion_records.values():
                    if job_id in page:
                        self._merge(job, job_id, page[job_id])
                    elif len(page) == 1:
                        # A segment has a page of its own.
                        (entry,) = page
                        if split_segment(entry)[0] == job_id:
                            self._merge(job, entry, page[entry])
            return job, False
        if version > job.version:
            job.version = version
            job.merge_completed(unpack_mask(record.done_tasks, job.spec.tasks))
        return job, False


def task_id(job_id: str, index: int) -> str:
    """How the protocol names a task."""
    return f"{job_id}/{index}"


def parse_task(task: str) -> tuple[str, int] | None:
    """The job and index of a task's name."""
    job_id, _, index = task.rpartition("/")
    if not job_id or not index.isdecimal():
        return None
    return job_id, int(index)

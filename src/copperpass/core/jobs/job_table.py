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

LEAST_KNOWN_CANCELLED = 2000


def pack_done(done: bytearray) -> str:
    """The done tasks as text, short while few or all of the last are missing."""
    return base64.b64encode(bytes(done).rstrip(b"\0")).decode()


def unpack_done(text: str, tasks: int) -> bytearray:
    """The opposite of `pack_done`."""
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
    arrived: float
    created: int
    done: bytearray
    done_count: int
    next_index: int = 0
    again: list[int] = field(default_factory=list)
    placed: dict[int, str] = field(default_factory=dict)
    # When a dispatch round last saw any of its tasks placed.
    last_placed: float = float("-inf")
    finished: set[int] = field(default_factory=set)
    # Tasks whose end was stored while they had a place; some may have lost it since.
    done_placed: set[int] = field(default_factory=set)
    # Reported ends that wait to be stored: what to tell their machines once they are.
    results: dict[int, list[Result]] = field(default_factory=dict)
    storing: bool = False
    attempts: int = 0
    failed_on: set[str] = field(default_factory=set)
    failures: int = 0
    # Tasks that were stopped once for more urgent work.
    preempted: set[int] = field(default_factory=set)
    backoff_until: float = 0.0
    guaranteed: bool = False
    guarantee_assessed: bool = False
    # Another member has stored its cancellation, which the view may be late to show.
    announce_cancelled: bool = False
    # Of a gang: the attempt that all its tasks share (0: none), whether one of them was seen to
    # run, and whether the attempt is over, but for tasks that are not proven gone.
    attempt: int = 0
    begun: bool = False
    ending: bool = False
    # Since when some of an attempt's tasks have had no place while others wait.
    short_since: float | None = None

    def is_done(self, index: int) -> bool:
        """Whether the task's end is stored."""
        return bool(self.done[index >> 3] & (1 << (index & 7)))

    def mark_done(self, index: int) -> None:
        """Take over a stored end."""
        if not self.is_done(index):
            self.done[index >> 3] |= 1 << (index & 7)
            self.done_count += 1
            if index in self.placed:
                self.done_placed.add(index)

    def merge(self, done: bytes | bytearray) -> None:
        """Take over stored ends; ends are facts, so they only add up."""
        for i, byte in enumerate(done):
            self.done[i] |= byte
        before, self.done_count = self.done_count, sum(byte.bit_count() for byte in self.done)
        if self.done_count > before:
            self.done_placed = {i for i in self.placed if self.is_done(i)}
        self.finished = {i for i in self.finished if not self.is_done(i)}
        # A write without an answer may have been applied: the watch is proof enough to clear.
        self.stored([i for i in self.results if self.is_done(i)])

    def stored(self, indexes: Iterable[int]) -> None:
        """Ends are in the state service: their machines may forget them."""
        for index in indexes:
            self.mark_done(index)
            self.finished.discard(index)
            for result in self.results.pop(index, ()):
                result.stored = True

    def mask(self) -> bytearray:
        """The ends that are stored or reported."""
        mask = bytearray(self.done)
        for index in self.finished:
            mask[index >> 3] |= 1 << (index & 7)
        return mask

    def forget_tasks(self) -> None:
        """Start anew from what is stored: a new owner knows nothing of the tasks."""
        self.placed.clear()
        self.finished.clear()
        self.done_placed.clear()
        self.results.clear()
        self.again.clear()
        self.failed_on.clear()
        self.preempted.clear()
        self.next_index = self.failures = 0
        self.storing, self.backoff_until = False, 0.0
        self.attempt, self.begun, self.ending = 0, False, False
        self.short_since = None

    def waiting(self) -> int:
        """How many tasks are neither placed nor done."""
        waiting = self.spec.tasks - self.done_count - len(self.placed) - len(self.finished)
        # A task may have ended under one attempt while another still has a place.
        if self.finished:
            waiting += len(self.placed.keys() & self.finished)
        if self.done_placed:
            waiting += len(self.placed.keys() & self.done_placed)
        return waiting

    def ended(self) -> bool:
        """Whether every task has ended, stored or not."""
        return self.done_count + len(self.finished) >= self.spec.tasks

    def peek(self) -> int | None:
        """The next task to start, or None."""
        while self.again:
            index = self.again[-1]
            if index in self.placed or index in self.finished or self.is_done(index):
                self.again.pop()
                continue
            return index
        while self.next_index < self.spec.tasks:
            index = self.next_index
            if index in self.placed or index in self.finished or self.is_done(index):
                self.next_index += 1
                continue
            return index
        return None

    def shown(self) -> int:
        """How many tasks run, for display: a gang's tasks that wait for each other don't."""
        return 0 if self.spec.gang and not self.begun else len(self.placed)

    def missing(self) -> list[int]:
        """The tasks of a gang that have no place."""
        return [
            i
            for i in range(self.spec.tasks)
            if i not in self.placed and i not in self.finished and not self.is_done(i)
        ]

    def settle_gang(self) -> None:
        """Once no task of a gang's attempt can be anywhere, another attempt may begin."""
        if not self.placed and (self.ending or self.attempt):
            self.attempt, self.begun, self.ending = 0, False, False
            self.short_since = None

    def release(self, index: int) -> None:
        """A task is proven gone without an end: it may start again."""
        self.placed.pop(index, None)
        if index < self.next_index and not self.is_done(index) and index not in self.finished:
            self.again.append(index)


def make_job(record: JobRecord, version: int, now: float, day: float = 0.0) -> Job | None:
    """A job from its record; `day` is the time of day less the steady clock's."""
    if record.spec is None:
        return None
    done = unpack_done(record.done_tasks, record.spec.tasks)
    count = sum(byte.bit_count() for byte in done)
    # A record with ends was changed after its creation, maybe by a late write of an earlier leader
    # after our win: its version doesn't prove that the job is younger than the win.
    created = version if count == 0 else 0
    # A process that has just started sees jobs that came long ago: by its own clock all of them
    # would be new, and every restart of all controllers would begin each wait afresh.
    arrived = min(now, record.submitted_at - day) if record.submitted_at else now
    return Job(record.spec, version, arrived, created, done, count)


@dataclass(slots=True)
class JobTable:
    """All jobs that are not over."""

    jobs: dict[str, Job] = field(default_factory=dict)
    # The time of day less the steady clock's, as it was when the process started.
    day: float = 0.0
    # Records of ends, each of many jobs: key -> job -> done tasks.
    pages: dict[str, dict[str, str]] = field(default_factory=dict)
    # Jobs that are cancelled for certain although the view may not show it, or not even the job.
    off: OrderedDict[str, None] = field(default_factory=OrderedDict)
    # How many of these are remembered: all that can be stored before the view must show the first.
    most_cancelled: int = LEAST_KNOWN_CANCELLED

    def mark_cancelled(self, job_id: str) -> Job | None:
        """A job is cancelled for good; returns it if it is known."""
        self.off[job_id] = None
        while len(self.off) > self.most_cancelled:
            self.off.popitem(last=False)
        job = self.jobs.get(job_id)
        if job is not None:
            job.announce_cancelled = True
        return job

    def saw_completions(self, key: str, raw: bytes | None) -> None:
        """Take in a record of ends."""
        page = decode(raw, dict[str, str]) if raw is not None else None
        if page is None:
            self.pages.pop(key, None)
            return
        self.pages[key] = page
        for entry, text in page.items():
            job = self.jobs.get(split_segment(entry)[0])
            if job is not None:
                self._merge(job, entry, text)

    def _merge(self, job: Job, entry: str, text: str) -> None:
        """Take over what an entry of a page says of a job."""
        offset = split_segment(entry)[1]
        part = unpack_done(text, max(0, job.spec.tasks - 8 * offset))
        job.merge(bytes(min(offset, len(job.done))) + part)

    def saw(self, now: float, key: str, raw: bytes | None, version: int) -> tuple[Job | None, bool]:
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
            job = make_job(record, version, now, self.day)
            if job is not None:
                self.jobs[job_id] = job
                job.announce_cancelled = job_id in self.off
                for page in self.pages.values():
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
            job.merge(unpack_done(record.done_tasks, job.spec.tasks))
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

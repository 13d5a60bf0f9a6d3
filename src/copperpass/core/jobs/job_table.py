"""The jobs that are not completed, as the watch shows them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from copperpass.core.jobs.completion_mask import split_segment, unpack_mask
from copperpass.core.jobs.job import Job, make_job
from copperpass.core.kvstore.keys import LIVE_JOBS_PREFIX
from copperpass.protocol.json_codec import decode
from copperpass.protocol.records import JobRecord

# Cancelled jobs that are remembered: at least so many.
MIN_REMEMBERED_CANCELLED = 2000


@dataclass(frozen=True, slots=True)
class JobChange:
    """What a watch event changed: the job, if one is concerned, and whether its record is gone."""

    job: Job | None = None
    removed: bool = False


@dataclass(slots=True)
class JobTable:
    """All jobs that are not completed, by id, with the completions that are stored."""

    jobs: dict[str, Job] = field(default_factory=dict)
    # The time of day less the steady clock's in seconds, as it was when the process started.
    wall_clock_offset: float = 0.0
    # The stored records of completions, each of many jobs: key -> entry -> mask.
    completion_records: dict[str, dict[str, str]] = field(default_factory=dict)
    # Jobs that are certainly cancelled although the watch may not show it, or not even the job.
    cancelled: OrderedDict[str, None] = field(default_factory=OrderedDict)
    # How many of these are remembered: all that can be stored before the watch must show the first.
    max_cancelled: int = MIN_REMEMBERED_CANCELLED

    def mark_cancelled(self, job_id: str) -> Job | None:
        """A job's cancellation is stored; returns the job if it is known."""
        self.cancelled[job_id] = None
        while len(self.cancelled) > self.max_cancelled:
            self.cancelled.popitem(last=False)
        job = self.jobs.get(job_id)
        if job is not None:
            job.cancelled = True
        return job

    def on_completions_event(self, key: str, raw: bytes | None) -> None:
        """A record of completions was written, or deleted if `raw` is None."""
        record = decode(raw, dict[str, str]) if raw is not None else None
        if record is None:
            self.completion_records.pop(key, None)
            return
        self.completion_records[key] = record
        for entry, text in record.items():
            job = self.jobs.get(split_segment(entry)[0])
            if job is not None:
                self._merge(job, entry, text)

    def on_watch_event(self, now: float, key: str, raw: bytes | None, version: int) -> JobChange:
        """A live job's record was written, or deleted if `raw` is None, at that version."""
        job_id = key[len(LIVE_JOBS_PREFIX) :]
        job = self.jobs.get(job_id)
        if raw is None:
            if job is None or version < job.version:
                return JobChange()
            del self.jobs[job_id]
            return JobChange(job, removed=True)
        record = decode(raw, JobRecord)
        if record is None:
            return JobChange()
        if job is None:
            return JobChange(self._add(now, job_id, record, version))
        if version > job.version:
            job.version = version
            job.merge_completed(unpack_mask(record.done_tasks, job.spec.tasks))
        return JobChange(job)

    def _add(self, now: float, job_id: str, record: JobRecord, version: int) -> Job | None:
        """A new job, with the completions that came before it."""
        job = make_job(record, version, now, self.wall_clock_offset)
        if job is None:
            return None
        self.jobs[job_id] = job
        job.cancelled = job_id in self.cancelled
        for completions in self.completion_records.values():
            if job_id in completions:
                self._merge(job, job_id, completions[job_id])
            elif len(completions) == 1:
                # A segment has a record of its own.
                (entry,) = completions
                if split_segment(entry)[0] == job_id:
                    self._merge(job, entry, completions[entry])
        return job

    @staticmethod
    def _merge(job: Job, entry: str, text: str) -> None:
        """Add what an entry of a record of completions says of a job."""
        offset = split_segment(entry)[1]
        segment = unpack_mask(text, max(0, job.spec.tasks - 8 * offset))
        job.merge_completed(bytes(min(offset, len(job.completed))) + segment)

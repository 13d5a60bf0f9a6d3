"""The table of jobs that are not completed, built from watch events."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from copperpass.core.jobs.completion_mask import split_segment, unpack_mask
from copperpass.core.jobs.job import Job, make_job
from copperpass.core.kvstore.keys import LIVE_JOBS_PREFIX
from copperpass.protocol.json_codec import decode
from copperpass.protocol.records import JobRecord

# The minimum number of cancelled jobs that are remembered.
MIN_REMEMBERED_CANCELLED = 2000


@dataclass(frozen=True, slots=True)
class JobChange:
    """The effect of a watch event: the job concerned, if any, and whether it was removed."""

    job: Job | None = None
    removed: bool = False


@dataclass(slots=True)
class JobTable:
    """All jobs that are not completed, by id, and the stored records of completed tasks."""

    jobs: dict[str, Job] = field(default_factory=dict)
    # The wall clock's time minus the monotonic clock's in seconds, taken when the process started.
    wall_clock_offset: float = 0.0
    # The stored records of completions, each for many jobs: key -> entry -> packed mask.
    completion_records: dict[str, dict[str, str]] = field(default_factory=dict)
    # Jobs whose cancellation is stored. The watch may not have delivered the cancellation, or even
    # the job, yet.
    cancelled: OrderedDict[str, None] = field(default_factory=OrderedDict)
    # The maximum number of remembered cancelled jobs: as many cancellations as can be stored before
    # the watch must have delivered the first of them.
    max_cancelled: int = MIN_REMEMBERED_CANCELLED

    def mark_cancelled(self, job_id: str) -> Job | None:
        """Record that a job's cancellation is stored; returns the job, or None if it is unknown."""
        self.cancelled[job_id] = None
        while len(self.cancelled) > self.max_cancelled:
            self.cancelled.popitem(last=False)
        job = self.jobs.get(job_id)
        if job is not None:
            job.cancelled = True
        return job

    def on_completions_event(self, key: str, value: bytes | None) -> None:
        """Apply a written record of completions; `value` is None if it was deleted."""
        record = decode(value, dict[str, str]) if value is not None else None
        if record is None:
            self.completion_records.pop(key, None)
            return
        self.completion_records[key] = record
        for entry, text in record.items():
            job = self.jobs.get(split_segment(entry)[0])
            if job is not None:
                self._merge_entry(job, entry, text)

    def on_watch_event(self, now: float, key: str, value: bytes | None, version: int) -> JobChange:
        """Apply a live job's record at `version`; `value` is None if it was deleted."""
        job_id = key[len(LIVE_JOBS_PREFIX) :]
        job = self.jobs.get(job_id)
        if value is None:
            if job is None or version < job.version:
                return JobChange()
            del self.jobs[job_id]
            return JobChange(job, removed=True)
        record = decode(value, JobRecord)
        if record is None:
            return JobChange()
        if job is None:
            return JobChange(self._add(now, job_id, record, version))
        if version > job.version:
            job.version = version
            job.merge_completed(unpack_mask(record.done_tasks, job.spec.tasks))
        return JobChange(job)

    def _add(self, now: float, job_id: str, record: JobRecord, version: int) -> Job | None:
        """Add a new job, with the completions that the watch showed before the job.

        Returns None if the record is that of a completed job.
        """
        job = make_job(record, version, now, self.wall_clock_offset)
        if job is None:
            return None
        self.jobs[job_id] = job
        job.cancelled = job_id in self.cancelled
        for completions in self.completion_records.values():
            if job_id in completions:
                self._merge_entry(job, job_id, completions[job_id])
            elif len(completions) == 1:
                # A segment of a mask is stored in a record of its own.
                (entry,) = completions
                if split_segment(entry)[0] == job_id:
                    self._merge_entry(job, entry, completions[entry])
        return job

    @staticmethod
    def _merge_entry(job: Job, entry: str, text: str) -> None:
        """Add the completed tasks of one entry of a completion record to a job."""
        offset = split_segment(entry)[1]
        segment = unpack_mask(text, max(0, job.spec.tasks - 8 * offset))
        job.merge_completed(bytes(min(offset, len(job.completed))) + segment)

"""Segments of masks that are too large for a page; each segment is stored on a page of its own.

A job whose mask is too large for a shared page first gets a page of its own, which older versions
can read. When the key-value store refuses that page for its size, the store's limits have been
lowered. This happens only after an upgrade, so the mask can be split into segments, which older
versions ignore.
"""

from __future__ import annotations

import itertools
from collections.abc import Collection, Iterable, Iterator

from copperpass.core.jobs.completion_mask import split_segment
from copperpass.core.jobs.job import Job
from copperpass.core.jobs.job_table import JobTable
from copperpass.core.storage.completion_pages import CompletionPage

# Follows the shard's prefix in the key of a page that holds a segment.
SEGMENT_MARK = "s"
# Bytes of a page that are reserved for everything but the mask, and the minimum bytes of the mask
# in a segment.
SEGMENT_OVERHEAD_BYTES, MIN_SEGMENT_MASK_BYTES = 64, 3


class CompletionSegments:
    """The pages of one shard that hold segments of masks."""

    def __init__(self, prefix: str, page_bytes: float, job_table: JobTable) -> None:
        self.prefix, self.page_bytes, self.job_table = prefix + SEGMENT_MARK, page_bytes, job_table
        # By job id: the pages of a mask that is split into segments, in the order of the mask.
        self.pages_of: dict[str, list[CompletionPage]] = {}
        # The keys of segments that an earlier owner of the shard stored, by job id and byte offset.
        self.stored_keys: dict[str, dict[int, str]] = {}
        # Keys of segments of completed jobs, which may be reused.
        self.free_keys: list[str] = []

    def load(self, key: str, entries: Iterable[str]) -> None:
        """Register a segment that an earlier owner stored under `key`.

        The earlier owner may have been interrupted before it stored all segments, so the job's mask
        is split again, but only when the job has completions to write.
        """
        for entry in entries:
            job_id, offset = split_segment(entry)
            if job_id in self.job_table.jobs:
                self.stored_keys.setdefault(job_id, {})[offset] = key
                return
        self.free_keys.append(key)

    def pages(self) -> Iterator[CompletionPage]:
        """Iterate over the pages of all segments."""
        return (page for pages in self.pages_of.values() for page in pages)

    def split_mask(self, job: Job) -> list[CompletionPage]:
        """Split the mask of a job that is too large for a page; returns a page for each segment."""
        job_id, segment_bytes = job.spec.id, self._segment_bytes()
        # Segments that an earlier split stored at other offsets are left in place, since their
        # completions remain valid.
        stored_keys = self.stored_keys.get(job_id, {})
        pages = self.pages_of[job_id] = []
        for offset in range(0, len(job.completed), segment_bytes):
            key = stored_keys.get(offset) or (
                self.free_keys.pop() if self.free_keys else self._new_key()
            )
            page = CompletionPage(key)
            page.jobs[job_id] = job
            page.byte_range = slice(offset, offset + segment_bytes)
            if any(job.completed[page.byte_range]):
                page.changed_at = 0.0
            pages.append(page)
        return pages

    def mark_changed(self, now: float, job: Job, indexes: Collection[int]) -> None:
        """Mark the segments that contain the given completed tasks of a job as changed."""
        for page in self.pages_of.get(job.spec.id, ()):
            byte_range = page.byte_range or slice(0, 0)
            if page.changed_at is None and any(
                byte_range.start <= index >> 3 < byte_range.stop for index in indexes
            ):
                page.changed_at = now

    def remove(self, job_id: str) -> None:
        """Remove a completed job; the keys of its segments may be reused."""
        self.free_keys.extend(page.key for page in self.pages_of.pop(job_id, ()))

    def avoid_overwriting(self, page: CompletionPage) -> None:
        """Change the key of a page if a segment of another job was stored under it meanwhile."""
        for entry in self.job_table.completion_records.get(page.key, ()):
            job_id, offset = split_segment(entry)
            if job_id in self.job_table.jobs and job_id not in page.jobs:
                self.stored_keys.setdefault(job_id, {})[offset] = page.key
                page.key, page.version = self._new_key(), 0
                return

    def _segment_bytes(self) -> int:
        """Return the bytes of a mask in one segment: a multiple of three, to suit base64."""
        return max(MIN_SEGMENT_MASK_BYTES, int((self.page_bytes - SEGMENT_OVERHEAD_BYTES) / 4) * 3)

    def _new_key(self) -> str:
        """Return a key that no segment is stored under or assigned to."""
        used = {key for keys in self.stored_keys.values() for key in keys.values()}
        used |= {page.key for page in self.pages()} | set(self.free_keys)
        keys = (f"{self.prefix}{number}" for number in itertools.count())
        return next(
            key for key in keys if key not in used and key not in self.job_table.completion_records
        )

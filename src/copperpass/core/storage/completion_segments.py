"""Segments of masks that are too large for any page: a page each.

A job that is too large for a page has one of its own, as older versions would store it, until the
key-value store refuses that for its size. Then the limits have dropped, which they do only after an
upgrade, and the mask is cut into segments, which older versions ignore.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator

from copperpass.core.jobs.completion_mask import split_segment
from copperpass.core.jobs.job import Job
from copperpass.core.jobs.job_table import JobTable
from copperpass.core.storage.completion_pages import CompletionPage

# What marks the key of a page that holds a segment.
SEGMENT_MARK = "s"
# Bytes of a page that are kept for all but the mask, and the least bytes of a mask in a segment.
OVERHEAD_BYTES, LEAST_SEGMENT_BYTES = 64, 3


class CompletionSegments:
    """The pages of segments of one shard."""

    def __init__(self, prefix: str, page_bytes: float, job_table: JobTable) -> None:
        self.prefix, self.page_bytes, self.job_table = prefix + SEGMENT_MARK, page_bytes, job_table
        # The pages of each job that is cut, in the order of their bytes.
        self.pages_of: dict[str, list[CompletionPage]] = {}
        # Segments that an earlier owner stored: their keys, by job and first byte.
        self.stored_keys: dict[str, dict[int, str]] = {}
        # Keys of segments whose jobs are completed.
        self.free_keys: list[str] = []

    def load(self, key: str, entries: Iterable[str]) -> None:
        """Take over a stored segment.

        Its job is cut only when there is something to write: the cut may have been interrupted.
        """
        for entry in entries:
            job_id, offset = split_segment(entry)
            if job_id in self.job_table.jobs:
                self.stored_keys.setdefault(job_id, {})[offset] = key
                return
        self.free_keys.append(key)

    def pages(self) -> Iterator[CompletionPage]:
        """All pages."""
        return (page for pages in self.pages_of.values() for page in pages)

    def cut(self, job: Job) -> list[CompletionPage]:
        """Give a job that no page can hold a page for each part of its mask."""
        job_id, step = job.spec.id, self._segment_bytes()
        # A page that holds another cut's part of this job is left alone: its facts count.
        stored_keys = self.stored_keys.get(job_id, {})
        pages = self.pages_of[job_id] = []
        for offset in range(0, len(job.completed), step):
            key = stored_keys.get(offset) or (
                self.free_keys.pop() if self.free_keys else self._new_key()
            )
            page = CompletionPage(key)
            page.jobs[job_id] = job
            page.byte_range = slice(offset, offset + step)
            if any(job.completed[page.byte_range]):
                page.changed_at = 0.0
            pages.append(page)
        return pages

    def touch(self, now: float, job: Job) -> None:
        """Tasks of a job have completed: the segments that they belong to have changed."""
        changed = {index >> 3 for index in job.unstored}
        for page in self.pages_of.get(job.spec.id, ()):
            part = page.byte_range or slice(0, 0)
            if page.changed_at is None and any(part.start <= byte < part.stop for byte in changed):
                page.changed_at = now

    def remove(self, job_id: str) -> None:
        """A job is completed: the keys of its segments may be used again."""
        self.free_keys.extend(page.key for page in self.pages_of.pop(job_id, ()))

    def avoid_overwriting(self, page: CompletionPage) -> None:
        """Give a page another key if an earlier owner has stored another job's segment there."""
        for entry in self.job_table.completion_records.get(page.key, ()):
            job_id, offset = split_segment(entry)
            if job_id in self.job_table.jobs and job_id not in page.jobs:
                self.stored_keys.setdefault(job_id, {})[offset] = page.key
                page.key, page.version = self._new_key(), 0
                return

    def _segment_bytes(self) -> int:
        """How many bytes of a mask are in one segment: a multiple of three, for base64."""
        return max(LEAST_SEGMENT_BYTES, int((self.page_bytes - OVERHEAD_BYTES) / 4) * 3)

    def _new_key(self) -> str:
        """A key for a segment that holds no other."""
        used = {key for keys in self.stored_keys.values() for key in keys.values()}
        used |= {page.key for page in self.pages()} | set(self.free_keys)
        keys = (f"{self.prefix}{number}" for number in itertools.count())
        return next(
            key for key in keys if key not in used and key not in self.job_table.completion_records
        )

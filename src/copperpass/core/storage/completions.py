"""Completed tasks of live jobs: many jobs in one record of the key-value store.

A record a job would cost a write for each few completions, and the budget of writes is the tightest
limit of a large deployment. Completions wait on their machines until they are stored, so they can
be batched: a page holds the completed tasks of many jobs and is written at most once an interval.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from copperpass.core.jobs.completion_mask import pack_mask, segment_key
from copperpass.core.jobs.job import Job
from copperpass.core.jobs.job_table import JobTable
from copperpass.core.kvstore.keys import COMPLETIONS_PREFIX, FENCING_TOKEN_KEY
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.storage.completion_pages import (
    EMPTY_PAGE_BYTES,
    CompletionPage,
    CompletionPages,
    stored_bytes,
)
from copperpass.core.storage.completion_segments import SEGMENT_MARK, CompletionSegments
from copperpass.protocol.kvstore import PutKey


@dataclass(frozen=True, slots=True, kw_only=True)
class CompletionContext:
    """What a shard's owner gives to the writer of its completions.

    A page is written at most once in `interval_s` seconds, and must be sent within `deadline_s`.
    """

    job_table: JobTable
    transactions: TransactionQueue
    # The version of the fencing token under which the owner writes.
    token_version: Callable[[], int]
    # Versions of the pages as the watch brought them; the node keeps them up.
    versions: dict[str, int]
    shard: int
    # To what size pages are filled, and what one may hold until the store says otherwise.
    page_bytes: float
    max_page_bytes: float
    interval_s: float
    deadline_s: float


class JobCompletions(NamedTuple):
    """Tasks of a job whose completion a write of a page makes certain."""

    job: Job
    indexes: set[int]


class CompletionStore:
    """Reads and writes the completions of one shard; one an owner.

    Every write is guarded by the fencing token and by the version of its page. A page is written
    only if that forgets no completion that is stored there.
    """

    def __init__(self, context: CompletionContext) -> None:
        self.context, self.job_table = context, context.job_table
        # Reduced to `page_bytes` when the store refuses a larger page.
        self.max_page_bytes = max(context.page_bytes, context.max_page_bytes)
        prefix = f"{COMPLETIONS_PREFIX}{context.shard}."
        self.layout = CompletionPages(prefix, context.page_bytes)
        self.segments = CompletionSegments(prefix, context.page_bytes, context.job_table)
        self._load(prefix)

    def _load(self, prefix: str) -> None:
        """Take over the pages that are stored, and split those that are too large."""
        layout = self.layout
        duplicates: list[tuple[str, CompletionPage]] = []
        for key, entries in sorted(self.job_table.completion_records.items()):
            if not key.startswith(prefix):
                continue
            if key.startswith(prefix + SEGMENT_MARK):
                self.segments.load(key, entries)
                continue
            for job_id in entries:
                job = self.job_table.jobs.get(job_id)
                if job is None:
                    continue
                page = layout.page(key)
                if job_id in layout.page_of:
                    duplicates.append((job_id, page))
                else:
                    layout.put(job, page)
        for job_id, page in duplicates:
            # A migration was interrupted: what only this page says is stored on the other before
            # this one is written without it.
            layout.migrate(job_id, page, [layout.page_of[job_id]])
        for page in list(layout.pages.values()):
            layout.split(page)

    # -- changes ---------------------------------------------------------------------

    def record(self, now: float, job: Job) -> None:
        """A job has completed tasks that are not stored."""
        job_id, layout = job.spec.id, self.layout
        page = layout.page_of.get(job_id)
        if page is None and job_id not in self.segments.pages_of:
            too_large = stored_bytes(job) + EMPTY_PAGE_BYTES > self.max_page_bytes
            if job_id in self.segments.stored_keys or too_large:
                self.segments.cut(job)
            else:
                page = layout.choose(job)
                layout.put(job, page)
        if page is not None and page.changed_at is None:
            page.changed_at = now
        self.segments.touch(now, job)

    def remove(self, job: Job) -> None:
        """A job is completed: its tasks' completions need not be stored any more."""
        self.layout.remove(job)
        self.segments.remove(job.spec.id)

    def tick(self, now: float) -> None:
        """Write the pages that have waited for the interval."""
        for page in [*self.layout.pages.values(), *self.segments.pages()]:
            due = page.changed_at is not None and now >= page.changed_at + self.context.interval_s
            if due and not page.in_flight and not page.migrating:
                self._write(now, page)

    # -- writing ---------------------------------------------------------------------

    def _write(self, now: float, page: CompletionPage) -> None:
        self._include_late(now, page)
        if page.migrating:
            return
        page.in_flight, page.changed_at = True, None
        certain = self._made_certain(page)
        job_ids, migrated = set(page.jobs), dict(page.migrated_to)
        version = max(page.version, self.context.versions.get(page.key, 0))

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            page.in_flight = False
            if outcome is TransactionOutcome.APPLIED:
                page.version = max(page.version, revision)
                self._on_completions_stored(certain)
                self.layout.on_stored(page, job_ids)
                self.layout.on_migrated(done_at, page, migrated)
                return
            if outcome is TransactionOutcome.INVALID:
                self._shrink(page)
            if page.changed_at is None:
                # Not stored, or not known to be: the watch brings the page's version.
                page.changed_at = done_at

        operation = Operation(
            {FENCING_TOKEN_KEY: self.context.token_version(), page.key: version},
            [PutKey(page.key, self._value(page))],
            on_done,
            now + self.context.deadline_s,
            Priority.BATCHED,
        )
        self.context.transactions.submit(now, operation)

    def _include_late(self, now: float, page: CompletionPage) -> None:
        """Keep completions that an earlier owner stored here and that were watched only later.

        A page written without them would lose them, although their machines may have forgotten
        them already. What belongs to other pages is stored there first.
        """
        if page.byte_range is not None:
            self.segments.avoid_overwriting(page)
            return
        layout = self.layout
        for job_id in self.job_table.completion_records.get(page.key, ()):
            job = self.job_table.jobs.get(job_id)
            if job is None or job_id in page.migrated_to or job_id in page.jobs:
                continue
            known = job_id in layout.page_of or job_id in self.segments.pages_of
            if not known and page.size + stored_bytes(job) <= self.context.page_bytes:
                layout.put(job, page)
                continue
            if not known:
                self.record(now, job)
            targets = self.segments.pages_of.get(job_id) or [layout.page_of[job_id]]
            layout.migrate(job_id, page, targets)

    def _shrink(self, page: CompletionPage) -> None:
        """A page was refused for its size."""
        self.max_page_bytes = self.context.page_bytes
        self.layout.split(page)
        for job_id, job in list(page.jobs.items()):
            if page.byte_range is None and page.size > self.context.page_bytes:
                # The segments first: the page is written without the job once all are stored.
                self.layout.detach(job, page)
                self.layout.migrate(job_id, page, self.segments.cut(job))

    def _value(self, page: CompletionPage) -> dict[str, str]:
        """What is written of a page."""
        part = page.byte_range
        if part is not None:
            return {
                segment_key(job_id, part.start): pack_mask(self._mask(page, job))
                for job_id, job in page.jobs.items()
            }
        return {
            job_id: pack_mask(self._mask(page, job))
            for job_id, job in page.jobs.items()
            if job.completed_count or job.unstored
        }

    def _mask(self, page: CompletionPage, job: Job) -> bytearray:
        """What a page says of a job."""
        mask = bytearray(job.completed) if job.spec.id in page.arriving else job.completion_mask()
        return mask if page.byte_range is None else mask[page.byte_range]

    def _made_certain(self, page: CompletionPage) -> list[JobCompletions]:
        """The completions that a write of a page makes certain."""
        certain: list[JobCompletions] = []
        part = page.byte_range
        for job_id, job in page.jobs.items():
            if job_id in page.arriving:
                continue
            indexes = set(job.unstored)
            if part is not None:
                indexes = {index for index in indexes if part.start <= index >> 3 < part.stop}
            certain.append(JobCompletions(job, indexes))
        return certain

    def _on_completions_stored(self, certain: list[JobCompletions]) -> None:
        for job, indexes in certain:
            if self.job_table.jobs.get(job.spec.id) is job:
                job.on_completions_stored(indexes)

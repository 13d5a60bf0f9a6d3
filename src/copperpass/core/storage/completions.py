"""Completed tasks of live jobs, stored as pages of many jobs in the key-value store.

With one record per job, there would be a write for every few completions, and the write rate is the
tightest limit of a large deployment. A machine keeps a completion until it is stored, so writes can
be batched: a page holds the completed tasks of many jobs and is written at most once per interval.
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
    max_entry_bytes,
)
from copperpass.core.storage.completion_segments import SEGMENT_MARK, CompletionSegments
from copperpass.protocol.kvstore import PutKey


@dataclass(frozen=True, slots=True, kw_only=True)
class CompletionContext:
    """What the owner of a shard provides to the store of its completions.

    A page is written at most once per `interval_s` seconds. A write that is not sent within
    `deadline_s` seconds fails.
    """

    job_table: JobTable
    transactions: TransactionQueue
    # The version of the fencing token under which the owner writes.
    token_version: Callable[[], int]
    # Versions of the stored pages by key, which the node updates from the watch.
    versions: dict[str, int]
    shard: int
    # The size to which pages are filled. Both the current and the announced limits allow it.
    page_bytes: float
    # The maximum size of a page with a single job, until the store refuses a page for its size.
    max_page_bytes: float
    interval_s: float
    deadline_s: float


class JobCompletions(NamedTuple):
    """The unstored completions of a job that a write of a page contains, as task indexes."""

    job: Job
    indexes: set[int]


class CompletionStore:
    """Reads and writes the completions of one shard; each owner of the shard creates its own.

    Every write is guarded by the fencing token and by the version of its page. A page is not
    written while the write would remove a stored completion that no other page holds.
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
        """Load the stored pages of this shard, and split those that are too large."""
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
            # A migration was interrupted: completions that only this page holds are stored on the
            # job's page before this one is written without the job.
            layout.migrate(job_id, page, [layout.page_of[job_id]])
        for page in list(layout.pages.values()):
            layout.split(page)

    def record(self, now: float, job: Job, index: int | None = None) -> None:
        """Schedule a write of the completions of a job that are not stored yet.

        `index`: the only completed task since the last call; None if there may be others.
        """
        job_id, layout = job.spec.id, self.layout
        page = layout.page_of.get(job_id)
        if page is None and job_id not in self.segments.pages_of:
            too_large = max_entry_bytes(job) + EMPTY_PAGE_BYTES > self.max_page_bytes
            if job_id in self.segments.stored_keys or too_large:
                self.segments.split_mask(job)
                index = None
            else:
                page = layout.choose_page(job)
                layout.put(job, page)
        if page is not None and page.changed_at is None:
            page.changed_at = now
        self.segments.mark_changed(now, job, job.unstored if index is None else (index,))

    def remove(self, job: Job) -> None:
        """Remove a completed job, whose completions need not be stored any more."""
        self.layout.remove(job)
        self.segments.remove(job.spec.id)

    def tick(self, now: float) -> None:
        """Write the pages whose first unwritten change is `interval_s` ago."""
        for page in [*self.layout.pages.values(), *self.segments.pages()]:
            due = page.changed_at is not None and now >= page.changed_at + self.context.interval_s
            if due and not page.in_flight and not page.migrating:
                self._write(now, page)

    def _write(self, now: float, page: CompletionPage) -> None:
        self._keep_late_completions(now, page)
        if page.migrating:
            return
        page.in_flight, page.changed_at = True, None
        included = self._completions_in(page)
        job_ids, migrated = set(page.jobs), dict(page.migrated_to)
        version = max(page.version, self.context.versions.get(page.key, 0))

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            page.in_flight = False
            if outcome is TransactionOutcome.APPLIED:
                page.version = max(page.version, revision)
                self._on_completions_stored(included)
                self.layout.on_stored(page, job_ids)
                self.layout.on_migrated(done_at, page, migrated)
                return
            if outcome is TransactionOutcome.INVALID:
                self._split_refused_page(page)
            if page.changed_at is None:
                # The write failed or its outcome is unknown. The watch delivers the page's version
                # for the next attempt.
                page.changed_at = done_at

        operation = Operation(
            {FENCING_TOKEN_KEY: self.context.token_version(), page.key: version},
            [PutKey(page.key, self._page_value(page))],
            on_done,
            now + self.context.deadline_s,
            Priority.BATCHED,
        )
        self.context.transactions.submit(now, operation)

    def _keep_late_completions(self, now: float, page: CompletionPage) -> None:
        """Keep completions of an earlier owner that the watch delivered only after the load.

        A write of the page without them would lose them, and the machines may have cleared these
        tasks already. Jobs that are assigned to other pages are stored there first.
        """
        if page.byte_range is not None:
            self.segments.avoid_overwriting(page)
            return
        layout = self.layout
        for job_id in self.job_table.completion_records.get(page.key, ()):
            job = self.job_table.jobs.get(job_id)
            if job is None or job_id in page.migrated_to or job_id in page.jobs:
                continue
            assigned = job_id in layout.page_of or job_id in self.segments.pages_of
            if not assigned and page.size_bytes + max_entry_bytes(job) <= self.context.page_bytes:
                layout.put(job, page)
                continue
            if not assigned:
                self.record(now, job)
            targets = self.segments.pages_of.get(job_id) or [layout.page_of[job_id]]
            layout.migrate(job_id, page, targets)

    def _split_refused_page(self, page: CompletionPage) -> None:
        """Lower the size limit, and split the page that the store refused for its size."""
        self.max_page_bytes = self.context.page_bytes
        self.layout.split(page)
        for job_id, job in list(page.jobs.items()):
            if page.byte_range is None and page.size_bytes > self.context.page_bytes:
                # The page is written without the job only after all of its segments are stored.
                self.layout.detach(job, page)
                self.layout.migrate(job_id, page, self.segments.split_mask(job))

    def _page_value(self, page: CompletionPage) -> dict[str, str]:
        """Return the value to be stored for a page: masks by entry."""
        byte_range = page.byte_range
        if byte_range is not None:
            return {
                segment_key(job_id, byte_range.start): pack_mask(self._page_mask(page, job))
                for job_id, job in page.jobs.items()
            }
        return {
            job_id: pack_mask(self._page_mask(page, job))
            for job_id, job in page.jobs.items()
            if job.completed_count or job.unstored
        }

    def _page_mask(self, page: CompletionPage, job: Job) -> bytearray:
        """Return the mask of a job, or its segment, as a page may hold it."""
        mask = bytearray(job.completed) if job.spec.id in page.incoming else job.completion_mask()
        return mask if page.byte_range is None else mask[page.byte_range]

    def _completions_in(self, page: CompletionPage) -> list[JobCompletions]:
        """Return the unstored completions that a write of the page contains."""
        included: list[JobCompletions] = []
        byte_range = page.byte_range
        for job_id, job in page.jobs.items():
            if job_id in page.incoming:
                continue
            indexes = set(job.unstored)
            if byte_range is not None:
                indexes = {
                    index for index in indexes if byte_range.start <= index >> 3 < byte_range.stop
                }
            included.append(JobCompletions(job, indexes))
        return included

    def _on_completions_stored(self, included: list[JobCompletions]) -> None:
        for job, indexes in included:
            if self.job_table.jobs.get(job.spec.id) is job:
                job.on_completions_stored(indexes)

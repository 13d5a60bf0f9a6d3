"""Pages of completed tasks: the page of each job, and the migration of jobs between pages.

A page that an older version stored under a higher limit of the value size may be too large now; its
jobs then migrate to other pages. Completions are only ever added, never taken back, so a job is
first stored on its new page, and the old page is written without it afterwards. Until then the new
page holds only completions of the job that are already stored, so a reader may use either page.
"""

from __future__ import annotations

from copperpass.core.jobs.job import Job

# The size of the empty JSON object.
EMPTY_PAGE_BYTES = 2
# Bytes of a job's entry besides its id and its mask.
ENTRY_OVERHEAD_BYTES = 12
# A base64 character of a stored mask holds six bits, one for each task.
TASKS_PER_CHARACTER = 6


def max_entry_bytes(job: Job) -> int:
    """Return an upper bound for the bytes of a job's entry on a page."""
    characters = (job.spec.tasks + TASKS_PER_CHARACTER - 1) // TASKS_PER_CHARACTER
    return len(job.spec.id) + ENTRY_OVERHEAD_BYTES + characters


class CompletionPage:
    """A page: the masks of completed tasks of many jobs, or one segment of one job's mask."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.jobs: dict[str, Job] = {}
        # An upper bound for the bytes of the page's record.
        self.size_bytes = EMPTY_PAGE_BYTES
        self.version = 0
        # The time of the first change that is not written yet, 0.0 to write on the next tick; None
        # if nothing has changed.
        self.changed_at: float | None = None
        self.in_flight = False
        # Jobs that are stored here but were assigned to other pages, each with the keys of its new
        # pages that are not stored yet. The page is not written while there are any.
        self.migrating: dict[str, set[str]] = {}
        # The new pages of jobs that migrate from here, until this page is stored without them.
        self.migrated_to: dict[str, list[CompletionPage]] = {}
        # Jobs that migrate to this page. Of these, only completions that are already stored on
        # another page may be written.
        self.incoming: set[str] = set()
        # The byte range of the segment within the job's mask; None for a page of whole masks.
        self.byte_range: slice | None = None


class CompletionPages:
    """All pages of one shard that hold whole masks.

    Invariants: a job is assigned to at most one page; a page that jobs are migrating from is not
    written and gets no further jobs.
    """

    def __init__(self, prefix: str, page_bytes: float) -> None:
        self.prefix, self.page_bytes = prefix, page_bytes
        self.pages: dict[str, CompletionPage] = {}
        self.page_of: dict[str, CompletionPage] = {}

    def page(self, key: str) -> CompletionPage:
        """Return the page with this key, created if there is none."""
        page = self.pages.get(key)
        if page is None:
            page = self.pages[key] = CompletionPage(key)
        return page

    def choose_page(self, job: Job) -> CompletionPage:
        """Return a page with space for the job, created if there is none."""
        for page in self.pages.values():
            if page.size_bytes + max_entry_bytes(job) <= self.page_bytes and not page.migrating:
                return page
        number = 0
        while f"{self.prefix}{number}" in self.pages:
            number += 1
        return self.page(f"{self.prefix}{number}")

    def put(self, job: Job, page: CompletionPage) -> None:
        """Assign a job to a page."""
        page.jobs[job.spec.id] = job
        page.size_bytes += max_entry_bytes(job)
        self.page_of[job.spec.id] = page

    def detach(self, job: Job, page: CompletionPage) -> None:
        """Remove a job from its page; the stored page keeps its entry until it is written again."""
        del page.jobs[job.spec.id]
        del self.page_of[job.spec.id]
        page.size_bytes -= max_entry_bytes(job)

    def migrate(self, job_id: str, page: CompletionPage, targets: list[CompletionPage]) -> None:
        """Start the migration of a job from `page` to `targets`.

        Pages that the job was already migrating from to `page` migrate it to `targets` as well.
        """
        page.incoming.discard(job_id)
        for other in [page, *self.pages.values()]:
            if other is page or page in other.migrated_to.get(job_id, ()):
                other.migrating[job_id] = {target.key for target in targets}
                other.migrated_to[job_id] = targets
                other.changed_at = 0.0
        for target in targets:
            target.incoming.add(job_id)
            target.changed_at = 0.0

    def split(self, page: CompletionPage) -> None:
        """Migrate jobs from the page until it is within `page_bytes` or holds a single job.

        Values of up to `page_bytes` are within both the current and the announced limits.
        """
        for job_id, job in list(page.jobs.items()):
            if page.size_bytes <= self.page_bytes or len(page.jobs) == 1:
                return
            self.detach(job, page)
            target = self.choose_page(job)
            self.put(job, target)
            self.migrate(job_id, page, [target])

    def remove(self, job: Job) -> None:
        """Remove a completed job, whose mask need not be stored any more, from all pages."""
        job_id = job.spec.id
        page = self.page_of.pop(job_id, None)
        if page is not None:
            page.jobs.pop(job_id, None)
            page.size_bytes -= max_entry_bytes(job)
            page.incoming.discard(job_id)
        for other in self.pages.values():
            other.migrating.pop(job_id, None)
            other.migrated_to.pop(job_id, None)

    def on_stored(self, page: CompletionPage, job_ids: set[str]) -> None:
        """Record that `page` is stored with these jobs.

        The pages that they migrate from may be written without them once all their new pages are
        stored.
        """
        for other in self.pages.values():
            for job_id in job_ids & set(other.migrating):
                other.migrating[job_id].discard(page.key)
                if not other.migrating[job_id]:
                    del other.migrating[job_id]

    def on_migrated(
        self, now: float, page: CompletionPage, migrated: dict[str, list[CompletionPage]]
    ) -> None:
        """Record that `page` is stored without these jobs.

        A new page may hold all completions of a job once no page migrates the job to it any more.
        """
        for job_id, targets in migrated.items():
            page.migrated_to.pop(job_id, None)
            for target in targets:
                if not any(
                    target in other.migrated_to.get(job_id, ()) for other in self.pages.values()
                ):
                    target.incoming.discard(job_id)
                    target.changed_at = target.changed_at or now

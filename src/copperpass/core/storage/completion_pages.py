"""Pages of completed tasks: which job is stored on which page, and how jobs migrate between them.

Where values may be smaller than those that older versions have stored, jobs of a page that is too
large migrate to other pages. Completions are facts, which only add up, so a job is first stored on
its new page, and only then is the old one written without it. Until then the new page says of it
what the old one says, so it doesn't matter which of them counts.
"""

from __future__ import annotations

from copperpass.core.jobs.job import Job

EMPTY_PAGE_BYTES = 2
# Bytes that a page holds of a job besides its id and its mask.
JOB_BYTES = 12
# Tasks to a character of a mask, as it is stored.
TASKS_PER_CHARACTER = 6


def stored_bytes(job: Job) -> int:
    """How many bytes of a page a job may take."""
    characters = (job.spec.tasks + TASKS_PER_CHARACTER - 1) // TASKS_PER_CHARACTER
    return len(job.spec.id) + JOB_BYTES + characters


class CompletionPage:
    """One page: the masks of the completed tasks of many jobs, or a segment of one mask."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.jobs: dict[str, Job] = {}
        # An upper bound of the bytes of its record.
        self.size = EMPTY_PAGE_BYTES
        self.version = 0
        # Since when it has waited to be written; None: nothing has changed.
        self.changed_at: float | None = None
        self.in_flight = False
        # Jobs that are stored here but belong to other pages by now, with the keys of those that
        # are not stored yet: until they are, this page is not written.
        self.migrating: dict[str, set[str]] = {}
        # The pages of such jobs, until this page is written without them.
        self.migrated_to: dict[str, list[CompletionPage]] = {}
        # Jobs that migrate to this page: only what is stored elsewhere may be written of them.
        self.arriving: set[str] = set()
        # The bytes of the mask, if it holds a segment.
        self.byte_range: slice | None = None


class CompletionPages:
    """All pages of whole masks of one shard.

    Invariants: a job belongs to one page; a page with migrating jobs is not written, and takes no
    new ones.
    """

    def __init__(self, prefix: str, page_bytes: float) -> None:
        self.prefix, self.page_bytes = prefix, page_bytes
        self.pages: dict[str, CompletionPage] = {}
        self.page_of: dict[str, CompletionPage] = {}

    def page(self, key: str) -> CompletionPage:
        """The page with a key; a new one if there is none."""
        page = self.pages.get(key)
        if page is None:
            page = self.pages[key] = CompletionPage(key)
        return page

    def choose(self, job: Job) -> CompletionPage:
        """A page with space for a job, or a new one."""
        for page in self.pages.values():
            if page.size + stored_bytes(job) <= self.page_bytes and not page.migrating:
                return page
        number = 0
        while f"{self.prefix}{number}" in self.pages:
            number += 1
        return self.page(f"{self.prefix}{number}")

    def put(self, job: Job, page: CompletionPage) -> None:
        """Add a job to a page."""
        page.jobs[job.spec.id] = job
        page.size += stored_bytes(job)
        self.page_of[job.spec.id] = page

    def detach(self, job: Job, page: CompletionPage) -> None:
        """Remove a job from its page, where it stays stored until the page is written."""
        del page.jobs[job.spec.id]
        del self.page_of[job.spec.id]
        page.size -= stored_bytes(job)

    def migrate(self, job_id: str, page: CompletionPage, targets: list[CompletionPage]) -> None:
        """A job of a page belongs to others from here on, and so does what migrated to it."""
        page.arriving.discard(job_id)
        for other in [page, *self.pages.values()]:
            if other is page or page in other.migrated_to.get(job_id, ()):
                other.migrating[job_id] = {target.key for target in targets}
                other.migrated_to[job_id] = targets
                other.changed_at = 0.0
        for target in targets:
            target.arriving.add(job_id)
            target.changed_at = 0.0

    def split(self, page: CompletionPage) -> None:
        """Migrate jobs until the page has a size that will always be allowed."""
        for job_id, job in list(page.jobs.items()):
            if page.size <= self.page_bytes or len(page.jobs) == 1:
                return
            self.detach(job, page)
            target = self.choose(job)
            self.put(job, target)
            self.migrate(job_id, page, [target])

    def remove(self, job: Job) -> None:
        """A job is completed: its masks need not be stored any more."""
        job_id = job.spec.id
        page = self.page_of.pop(job_id, None)
        if page is not None:
            page.jobs.pop(job_id, None)
            page.size -= stored_bytes(job)
            page.arriving.discard(job_id)
        for other in self.pages.values():
            other.migrating.pop(job_id, None)
            other.migrated_to.pop(job_id, None)

    def on_stored(self, page: CompletionPage, job_ids: set[str]) -> None:
        """A page is stored with these jobs: former pages may be written without them."""
        for other in self.pages.values():
            for job_id in job_ids & set(other.migrating):
                other.migrating[job_id].discard(page.key)
                if not other.migrating[job_id]:
                    del other.migrating[job_id]

    def on_migrated(
        self, now: float, page: CompletionPage, migrated: dict[str, list[CompletionPage]]
    ) -> None:
        """A page is stored without these jobs: their new pages may say all that is known."""
        for job_id, targets in migrated.items():
            page.migrated_to.pop(job_id, None)
            for target in targets:
                if not any(
                    target in other.migrated_to.get(job_id, ()) for other in self.pages.values()
                ):
                    target.arriving.discard(job_id)
                    target.changed_at = target.changed_at or now

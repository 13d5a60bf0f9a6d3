"""Ends of tasks of jobs that are not over yet: many jobs in one record of the state service.

A record a job would cost a write for each few ends, and the budget of writes is the tightest limit
of a large deployment. Ends wait on their machines until they are stored, so they can be gathered:
a record holds the done tasks of many jobs and is written at most once per `gather_s`.
"""

from __future__ import annotations

from collections.abc import Callable

from copperpass import wire
from copperpass.core.authority import TOKEN
from copperpass.core.jobs import ENDS, Job, JobTable, pack_done
from copperpass.core.ledger import APPLIED, GATHERED, Ledger, Op


def _size(job: Job) -> int:
    """What a job may take of a record at most."""
    return len(job.spec.id) + 8 + (job.spec.tasks + 5) // 6 + 4


class Page:
    """One record of ends."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.jobs: dict[str, Job] = {}
        self.size = 2
        self.version = 0
        self.since: float | None = None
        self.writing = False


class Progress:
    """The writer of the records of ends; one an owner."""

    def __init__(
        self, jobs: JobTable, ledger: Ledger, token_version: Callable[[], int],
        versions: dict[str, int], pool: int, room: float, gather_s: float, deadline_s: float,
    ) -> None:
        self.jobs, self.ledger, self.token_version = jobs, ledger, token_version
        self.room, self.gather_s, self.deadline_s = room, gather_s, deadline_s
        self.pages: dict[str, Page] = {}
        self.page_of: dict[str, Page] = {}
        # Versions as the watch saw them; shared with the node, which keeps them up.
        self.versions = versions
        self.prefix = f"{ENDS}{pool}."
        for key, held in sorted(jobs.pages.items()):
            if not key.startswith(self.prefix):
                continue
            for job_id in held:
                job = jobs.jobs.get(job_id)
                if job is not None and job_id not in self.page_of:
                    self._put(job, self._page(key))

    def _page(self, key: str) -> Page:
        page = self.pages.get(key)
        if page is None:
            page = self.pages[key] = Page(key)
        return page

    def _put(self, job: Job, page: Page) -> None:
        page.jobs[job.spec.id] = job
        page.size += _size(job)
        self.page_of[job.spec.id] = page

    def note(self, now: float, job: Job) -> None:
        """A job has ends that are not stored."""
        page = self.page_of.get(job.spec.id)
        if page is None:
            if _size(job) + 2 > self.room:
                # Too large for any record: its results stay on the machines until the last.
                return
            page = next(
                (p for p in self.pages.values() if p.size + _size(job) <= self.room), None
            ) or self._page(f"{self.prefix}{len(self.pages)}")
            self._put(job, page)
        if page.since is None:
            page.since = now

    def over(self, job: Job) -> None:
        """A job is over: its ends need no record any more."""
        page = self.page_of.pop(job.spec.id, None)
        if page is not None:
            page.jobs.pop(job.spec.id, None)
            page.size -= _size(job)

    def tick(self, now: float) -> None:
        """Write what has waited for long enough."""
        for page in self.pages.values():
            due = page.since is not None and now >= page.since + self.gather_s
            if due and not page.writing:
                self._write(now, page)

    def _write(self, now: float, page: Page) -> None:
        page.writing, page.since = True, None
        for job_id in self.jobs.pages.get(page.key, ()):
            # Ends stored by an earlier owner that the view brought later than our beginning: a
            # record written without them would lose them.
            job = self.jobs.jobs.get(job_id)
            if job is None or job_id in self.page_of:
                continue
            if page.size + _size(job) <= self.room:
                self._put(job, page)
            else:
                self.note(now, job)
        noted = {job_id: (job, set(job.finished)) for job_id, job in page.jobs.items()}
        value = {job_id: pack_done(job.mask()) for job_id, (job, _) in noted.items()
                 if job.done_count or job.finished}
        version = max(page.version, self.versions.get(page.key, 0))

        def then(n: float, how: str, revision: int) -> None:
            page.writing = False
            if how == APPLIED:
                page.version = max(page.version, revision)
                for job_id, (job, ends) in noted.items():
                    if self.jobs.jobs.get(job_id) is job:
                        job.stored(ends)
            elif page.since is None:
                # Not stored, or not known to be: the watch brings the record's version.
                page.since = n

        self.ledger.submit(now, Op(
            {TOKEN: self.token_version(), page.key: version}, [wire.put(page.key, value)], then,
            now + self.deadline_s, GATHERED,
        ))

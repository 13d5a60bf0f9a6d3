"""Ends of tasks of jobs that are not over yet: many jobs in one record of the state service.

A record a job would cost a write for each few ends, and the budget of writes is the tightest limit
of a large deployment. Ends wait on their machines until they are stored, so they can be gathered:
a record holds the done tasks of many jobs and is written at most once per `gather_s`.

Where values may be smaller than those that older versions have stored:

- Jobs of a page that has become too large move to other pages. Ends are facts, which only add up,
  so a job is first stored on its new page, and only then is the old one written without it. Until
  then the new page says of it what the old one says, so it doesn't matter which of them counts.
- A job that is too large for a page has one of its own, as older versions would store it, until
  the state service refuses that for its size. Then the limits have dropped, which they do only
  after an upgrade, and the job is cut into segments with a page each, which older versions ignore.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

from copperpass.core.jobs.job_table import Job, JobTable, pack_done, segment_key, split_segment
from copperpass.core.kvstore.keys import COMPLETIONS_PREFIX, FENCING_TOKEN_KEY
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.protocol.kvstore import PutKey

# What marks the key of a page that holds a segment.
SEGMENT = "s"


def _size(job: Job) -> int:
    """What a job may take of a record at most."""
    return len(job.spec.id) + 8 + (job.spec.tasks + 5) // 6 + 4


class CompletionPage:
    """One record of ends."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.jobs: dict[str, Job] = {}
        self.size = 2
        self.version = 0
        self.since: float | None = None
        self.writing = False
        # Jobs that are stored here but belong to other pages by now, and which of those are not
        # stored yet: until they are, this page is not written.
        self.leaving: dict[str, set[str]] = {}
        # Where such jobs have gone, until this page is written without them.
        self.gone: dict[str, list[CompletionPage]] = {}
        # Jobs that are on their way here: only what is stored elsewhere may be said of them.
        self.coming: set[str] = set()
        # The part of the mask, if it holds a segment.
        self.part: slice | None = None


class CompletionStore:
    """The writer of the records of ends; one an owner."""

    def __init__(
        self,
        jobs: JobTable,
        transactions: TransactionQueue,
        token_version: Callable[[], int],
        versions: dict[str, int],
        shard: int,
        room: float,
        gather_s: float,
        deadline_s: float,
        most_room: float | None = None,
    ) -> None:
        self.jobs, self.transactions, self.token_version = jobs, transactions, token_version
        self.room, self.gather_s, self.deadline_s = room, gather_s, deadline_s
        # What a page may hold at most until the service says otherwise.
        self.most_room = room if most_room is None else max(room, most_room)
        self.pages: dict[str, CompletionPage] = {}
        self.page_of: dict[str, CompletionPage] = {}
        # Pages of segments, by job; those that were found, by job and offset; those whose job is
        # over.
        self.segments: dict[str, list[CompletionPage]] = {}
        self.found: dict[str, dict[int, str]] = {}
        self.free: list[str] = []
        # Versions as the watch saw them; shared with the node, which keeps them up.
        self.versions = versions
        self.prefix = f"{COMPLETIONS_PREFIX}{shard}."
        self._load()

    def _load(self) -> None:
        """Take over the pages that are stored, and break up those that are too large."""
        twice: list[tuple[str, CompletionPage]] = []
        for key, held in sorted(self.jobs.pages.items()):
            if not key.startswith(self.prefix):
                continue
            if key.startswith(self.prefix + SEGMENT):
                self._load_segment(key, held)
                continue
            for job_id in held:
                job = self.jobs.jobs.get(job_id)
                if job is None:
                    continue
                page = self._page(key)
                if job_id in self.page_of:
                    twice.append((job_id, page))
                else:
                    self._put(job, page)
        for job_id, page in twice:
            # A move was interrupted: what only this page says goes to the other before it is
            # written without.
            self._leave(job_id, page, [self.page_of[job_id]])
        for page in list(self.pages.values()):
            self._relieve(page)

    def _load_segment(self, key: str, held: Iterable[str]) -> None:
        # Taken up when there is something to write: a cut may have been interrupted.
        for entry in held:
            job_id, offset = split_segment(entry)
            if job_id in self.jobs.jobs:
                self.found.setdefault(job_id, {})[offset] = key
                return
        self.free.append(key)

    def _relieve(self, page: CompletionPage) -> None:
        """Move jobs away until the page has a size that will always be allowed."""
        for job_id, job in list(page.jobs.items()):
            if page.size <= self.room or len(page.jobs) == 1:
                return
            self._take_off(job, page)
            target = self._choose(job)
            self._put(job, target)
            self._leave(job_id, page, [target])

    def _take_off(self, job: Job, page: CompletionPage) -> None:
        del page.jobs[job.spec.id]
        del self.page_of[job.spec.id]
        page.size -= _size(job)

    def _leave(self, job_id: str, page: CompletionPage, targets: list[CompletionPage]) -> None:
        """A page's job belongs to others from here on, and so does what was on its way here."""
        page.coming.discard(job_id)
        for other in [page, *self.pages.values()]:
            if other is page or page in other.gone.get(job_id, ()):
                other.leaving[job_id] = {target.key for target in targets}
                other.gone[job_id] = targets
                other.since = 0.0
        for target in targets:
            target.coming.add(job_id)
            target.since = 0.0

    def _page(self, key: str) -> CompletionPage:
        page = self.pages.get(key)
        if page is None:
            page = self.pages[key] = CompletionPage(key)
        return page

    def _choose(self, job: Job) -> CompletionPage:
        """A page with room for a job, or a new one."""
        for page in self.pages.values():
            if page.size + _size(job) <= self.room and not page.leaving:
                return page
        number = 0
        while f"{self.prefix}{number}" in self.pages:
            number += 1
        return self._page(f"{self.prefix}{number}")

    def _put(self, job: Job, page: CompletionPage) -> None:
        page.jobs[job.spec.id] = job
        page.size += _size(job)
        self.page_of[job.spec.id] = page

    def note(self, now: float, job: Job) -> None:
        """A job has ends that are not stored."""
        job_id = job.spec.id
        page = self.page_of.get(job_id)
        if page is None and job_id not in self.segments:
            if job_id in self.found or _size(job) + 2 > self.most_room:
                self._cut(job)
            else:
                page = self._choose(job)
                self._put(job, page)
        if page is not None and page.since is None:
            page.since = now
        changed = {index >> 3 for index in job.finished}
        for segment in self.segments.get(job_id, ()):
            part = segment.part or slice(0, 0)
            if segment.since is None and any(part.start <= byte < part.stop for byte in changed):
                segment.since = now

    def over(self, job: Job) -> None:
        """A job is over: its ends need no record any more."""
        job_id = job.spec.id
        page = self.page_of.pop(job_id, None)
        if page is not None:
            page.jobs.pop(job_id, None)
            page.size -= _size(job)
            page.coming.discard(job_id)
        for other in self.pages.values():
            other.leaving.pop(job_id, None)
            other.gone.pop(job_id, None)
        self.free.extend(p.key for p in self.segments.pop(job_id, ()))

    def tick(self, now: float) -> None:
        """Write what has waited for long enough."""
        segments = (page for pages in self.segments.values() for page in pages)
        for page in [*self.pages.values(), *segments]:
            due = page.since is not None and now >= page.since + self.gather_s
            if due and not page.writing and not page.leaving:
                self._write(now, page)

    # -- segments ------------------------------------------------------------------------

    def _segment_bytes(self) -> int:
        """How much of a mask goes into one page."""
        return max(3, int((self.room - 64) / 4) * 3)

    def _cut(self, job: Job) -> None:
        """Give a job that no page can hold a page for each part of its mask."""
        job_id, step = job.spec.id, self._segment_bytes()
        # A page that holds another cut's part of this job is left alone: its facts count.
        found = self.found.get(job_id, {})
        pages = self.segments[job_id] = []
        for offset in range(0, len(job.done), step):
            page = CompletionPage(
                found.get(offset) or (self.free.pop() if self.free else self._new_key())
            )
            page.jobs[job_id] = job
            page.part = slice(offset, offset + step)
            if any(job.done[page.part]):
                page.since = 0.0
            pages.append(page)

    def _new_key(self) -> str:
        """A key for a segment that holds no other."""
        taken = {key for held in self.found.values() for key in held.values()}
        taken |= {p.key for held in self.segments.values() for p in held} | set(self.free)
        keys = (f"{self.prefix}{SEGMENT}{n}" for n in itertools.count())
        return next(key for key in keys if key not in taken and key not in self.jobs.pages)

    def _avoid(self, page: CompletionPage) -> None:
        """Give a segment another key if an earlier owner has stored another job's part there."""
        for entry in self.jobs.pages.get(page.key, ()):
            job_id, offset = split_segment(entry)
            if job_id in self.jobs.jobs and job_id not in page.jobs:
                self.found.setdefault(job_id, {})[offset] = page.key
                page.key, page.version = self._new_key(), 0
                return

    def _resize(self, page: CompletionPage) -> None:
        """A page was refused for its size."""
        self.most_room = self.room
        self._relieve(page)
        for job_id, job in list(page.jobs.items()):
            if page.part is None and page.size > self.room:
                # Segments first; the page goes without the job once they are all stored.
                self._take_off(job, page)
                self._cut(job)
                self._leave(job_id, page, self.segments[job_id])

    # -- writing ---------------------------------------------------------------------------

    def _mask(self, page: CompletionPage, job: Job) -> bytearray:
        """What a page says of a job."""
        mask = bytearray(job.done) if job.spec.id in page.coming else job.mask()
        return mask if page.part is None else mask[page.part]

    def _value(self, page: CompletionPage) -> dict[str, str]:
        if page.part is not None:
            return {
                segment_key(job_id, page.part.start): pack_done(self._mask(page, job))
                for job_id, job in page.jobs.items()
            }
        return {
            job_id: pack_done(self._mask(page, job))
            for job_id, job in page.jobs.items()
            if job.done_count or job.finished
        }

    def _noted(self, page: CompletionPage) -> dict[str, tuple[Job, set[int]]]:
        """The ends that a write of a page makes certain."""
        noted: dict[str, tuple[Job, set[int]]] = {}
        for job_id, job in page.jobs.items():
            if job_id in page.coming:
                continue
            ends = set(job.finished)
            if page.part is not None:
                ends = {i for i in ends if page.part.start <= i >> 3 < page.part.stop}
            noted[job_id] = (job, ends)
        return noted

    def _take_late(self, now: float, page: CompletionPage) -> None:
        """Keep ends that an earlier owner stored here and the view brought after our beginning.

        A record written without them would lose them, although their machines may have been told
        to forget them. What belongs to other pages is stored there first.
        """
        if page.part is not None:
            self._avoid(page)
            return
        for job_id in self.jobs.pages.get(page.key, ()):
            job = self.jobs.jobs.get(job_id)
            if job is None or job_id in page.gone or job_id in page.jobs:
                continue
            known = job_id in self.page_of or job_id in self.segments
            if not known and page.size + _size(job) <= self.room:
                self._put(job, page)
                continue
            if not known:
                self.note(now, job)
            segments = self.segments.get(job_id)
            self._leave(job_id, page, segments or [self.page_of[job_id]])

    def _write(self, now: float, page: CompletionPage) -> None:
        self._take_late(now, page)
        if page.leaving:
            return
        page.writing, page.since = True, None
        noted = self._noted(page)
        jobs, gone = set(page.jobs), dict(page.gone)
        version = max(page.version, self.versions.get(page.key, 0))

        def on_done(n: float, outcome: TransactionOutcome, revision: int) -> None:
            page.writing = False
            if outcome is TransactionOutcome.APPLIED:
                page.version = max(page.version, revision)
                for job_id, (job, ends) in noted.items():
                    if self.jobs.jobs.get(job_id) is job:
                        job.stored(ends)
                self._arrived(page, jobs)
                self._left(n, page, gone)
                return
            if outcome is TransactionOutcome.INVALID:
                self._resize(page)
            if page.since is None:
                # Not stored, or not known to be: the watch brings the record's version.
                page.since = n

        self.transactions.submit(
            now,
            Operation(
                {FENCING_TOKEN_KEY: self.token_version(), page.key: version},
                [PutKey(page.key, self._value(page))],
                on_done,
                now + self.deadline_s,
                Priority.BATCHED,
            ),
        )

    def _arrived(self, page: CompletionPage, jobs: set[str]) -> None:
        """A page with these jobs is stored: where they were before may be written without them."""
        for other in self.pages.values():
            for job_id in jobs & set(other.leaving):
                other.leaving[job_id].discard(page.key)
                if not other.leaving[job_id]:
                    del other.leaving[job_id]

    def _left(
        self, now: float, page: CompletionPage, gone: dict[str, list[CompletionPage]]
    ) -> None:
        """A page is stored without these jobs: their new pages may say all that is known."""
        for job_id, targets in gone.items():
            page.gone.pop(job_id, None)
            for target in targets:
                if not any(target in p.gone.get(job_id, ()) for p in self.pages.values()):
                    target.coming.discard(job_id)
                    target.since = target.since or now

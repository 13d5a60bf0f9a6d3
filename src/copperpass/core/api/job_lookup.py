"""Linearizable reads of jobs' records: a later answer never contradicts an earlier one."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from copperpass.core.api.context import ApiContext
from copperpass.core.kvstore.keys import COMPLETED_JOBS_PREFIX, LIVE_JOBS_PREFIX
from copperpass.core.ports import Call, CallOutcome, ExternalService, OnCallDone
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import KeyValue, key_path
from copperpass.protocol.records import JobRecord

# The lowest limit on remembered terminal jobs. The limit is raised to cover all jobs that can have
# been completed while a read of one of them was in flight.
MIN_REMEMBERED_JOBS = 2000


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job's record and its version, which guards a cancellation."""

    record: JobRecord
    version: int


OnJobFound = Callable[[float, StoredJob | None], None]
OnLookupFailed = Callable[[float], None]


def _decode_job(outcome: CallOutcome) -> StoredJob | None:
    """Decode the response to a read; None without a response or if it is malformed."""
    item = decode(outcome.body, KeyValue) if outcome.status == 200 else None
    record = decode(bytes(item.value), JobRecord) if item else None
    return None if item is None or record is None else StoredJob(record, item.version)


class JobLookup:
    """Finds jobs in the key-value store and caches those that have reached a terminal state.

    A job's record moves once, from the live to the completed prefix, in one transaction. The live
    key is therefore read first: if it is missing, the completed key exists or the job never did.

    A live state that was read may be answered for `max_live_age_s` seconds from the sending of the
    read on, unless a final state is known by then: see `core.api.final_states`.
    """

    def __init__(self, context: ApiContext) -> None:
        self.outbox, self.max_live_age_s = context.outbox, context.max_live_age_s
        max_writes = context.cluster.max_writes_per_cancel_deadline
        self.max_remembered = max(MIN_REMEMBERED_JOBS, max_writes)
        self.watch_progress = context.watch_progress
        self.terminal_jobs: OrderedDict[str, StoredJob] = OrderedDict()
        # Jobs whose live records were removed, and a time by which that was certainly so; a removed
        # record is never written again.
        self.removed_jobs: OrderedDict[str, float] = OrderedDict()

    def find(
        self, now: float, job_id: str, on_found: OnJobFound, on_failed: OnLookupFailed
    ) -> None:
        """Read a job's record; call exactly one of the callbacks, possibly before returning."""
        terminal = self.terminal_jobs.get(job_id)
        if terminal is not None:
            on_found(now, terminal)
            return

        sent_at = now

        def on_live_read(now: float, outcome: CallOutcome) -> None:
            if outcome.status == 404:
                self._read_key(COMPLETED_JOBS_PREFIX + job_id, on_completed_read)
                return
            terminal = self.terminal_jobs.get(job_id)
            stored = _decode_job(outcome)
            if terminal is not None:
                # The read may be older than the terminal state with which this member has answered
                # since the read was sent; a live state must not be answered after that.
                on_found(now, terminal)
            elif job_id in self.removed_jobs:
                self._read_key(COMPLETED_JOBS_PREFIX + job_id, on_completed_read)
            elif stored is None or not self.may_answer_live(now, job_id, sent_at):
                on_failed(now)
            else:
                on_found(now, stored)

        def on_completed_read(now: float, outcome: CallOutcome) -> None:
            if outcome.status == 404:
                on_found(now, None)
                return
            stored = _decode_job(outcome)
            if stored is None:
                on_failed(now)
            else:
                self.remember(now, job_id, stored)
                on_found(now, stored)

        self._read_key(LIVE_JOBS_PREFIX + job_id, on_live_read)

    def may_answer_live(self, now: float, job_id: str, sent_at: float) -> bool:
        """Whether a user may be told of a live state that a request sent at `sent_at` has shown."""
        known_final = job_id in self.terminal_jobs or job_id in self.removed_jobs
        return not known_final and now - sent_at <= self.max_live_age_s

    def remember(self, now: float, job_id: str, job: StoredJob) -> None:
        """Cache a stored terminal record for later answers; it never changes."""
        self.terminal_jobs[job_id] = job
        while len(self.terminal_jobs) > self.max_remembered:
            self.terminal_jobs.popitem(last=False)
        self.on_job_removed(self._removed_by(now, job.version), job_id)

    def removal_known_since(self, now: float, job_id: str) -> float:
        """Return a time at which the terminal record of a job certainly was stored already."""
        return self.removed_jobs.get(job_id, now)

    def _removed_by(self, now: float, version: int) -> float:
        """Return a time by which a live record was removed, at `version`, that is read as removed.

        A removal that the watch has not shown came before the last listing, or so many removals
        ago that it is no longer remembered, unless the watch has not reached its version yet.
        """
        listed_at = self.watch_progress.last_listed_at
        if listed_at is None or version > self.watch_progress.revision:
            return now
        return listed_at

    def on_job_removed(self, removed_by: float, job_id: str) -> None:
        """Record that a live record was removed, so that reads in flight don't answer with it.

        `removed_by`: a time at which it was removed already; the first one known is kept.
        """
        self.removed_jobs.setdefault(job_id, removed_by)
        while len(self.removed_jobs) > self.max_remembered:
            self.removed_jobs.popitem(last=False)

    def _read_key(self, key: str, on_done: OnCallDone) -> None:
        path = key_path(key)
        call = Call(ExternalService.STATE, "GET", path, on_done, b"", self.max_live_age_s)
        self.outbox.calls.append(call)

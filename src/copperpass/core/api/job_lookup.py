"""Reads of jobs' records, linearised: what was answered once is never taken back."""

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

# Completed jobs that are remembered: at least so many, and all that can have been completed while a
# read of one of them was under way.
MIN_REMEMBERED_JOBS = 2000


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job's record, and its version: 0 for a terminal one, which never changes."""

    record: JobRecord
    version: int


OnJobFound = Callable[[float, StoredJob | None], None]
OnLookupFailed = Callable[[float], None]


def _parse(outcome: CallOutcome) -> StoredJob | None:
    """What a read brought, if it can be understood."""
    item = decode(outcome.body, KeyValue) if outcome.status == 200 else None
    record = decode(bytes(item.value), JobRecord) if item else None
    return None if item is None or record is None else StoredJob(record, item.version)


class JobLookup:
    """Finds jobs in the key-value store, and remembers those that have reached a terminal state.

    A job's record moves once, from the live to the completed prefix, in one transaction. So the
    live one is read first: if it is missing, the completed one is there, or the job never was.
    """

    def __init__(self, context: ApiContext) -> None:
        self.out, self.read_timeout_s = context.out, context.read_timeout_s
        span = context.cluster.max_writes_per_cancel_deadline
        self.max_remembered = max(MIN_REMEMBERED_JOBS, span)
        self.terminal_records: OrderedDict[str, JobRecord] = OrderedDict()
        # Jobs whose live records were removed, which never come back.
        self.removed_jobs: OrderedDict[str, None] = OrderedDict()

    def find(
        self, now: float, job_id: str, on_found: OnJobFound, on_failed: OnLookupFailed
    ) -> None:
        """Read a job's record; calls exactly one of the callbacks, maybe at once."""
        terminal = self.terminal_records.get(job_id)
        if terminal is not None:
            on_found(now, StoredJob(terminal, 0))
            return

        def live_read(now: float, outcome: CallOutcome) -> None:
            if outcome.status == 404:
                self._get(COMPLETED_JOBS_PREFIX + job_id, completed_read)
                return
            terminal = self.terminal_records.get(job_id)
            stored = _parse(outcome)
            if terminal is not None:
                # Guards against going back: this member has answered with the terminal state since
                # the read was sent.
                on_found(now, StoredJob(terminal, 0))
            elif job_id in self.removed_jobs:
                self._get(COMPLETED_JOBS_PREFIX + job_id, completed_read)
            elif stored is None:
                on_failed(now)
            else:
                on_found(now, stored)

        def completed_read(now: float, outcome: CallOutcome) -> None:
            if outcome.status == 404:
                on_found(now, None)
                return
            stored = _parse(outcome)
            if stored is None:
                on_failed(now)
            else:
                self.remember(job_id, stored.record)
                on_found(now, stored)

        self._get(LIVE_JOBS_PREFIX + job_id, live_read)

    def remember(self, job_id: str, record: JobRecord) -> None:
        """Keep a stored terminal record: it never changes, and may be answered again."""
        self.terminal_records[job_id] = record
        while len(self.terminal_records) > self.max_remembered:
            self.terminal_records.popitem(last=False)

    def on_job_removed(self, job_id: str) -> None:
        """The watch shows that a live record was removed: older reads of it are void."""
        self.removed_jobs[job_id] = None
        while len(self.removed_jobs) > self.max_remembered:
            self.removed_jobs.popitem(last=False)

    def _get(self, key: str, on_done: OnCallDone) -> None:
        call = Call(
            ExternalService.STATE, "GET", key_path(key), on_done, b"", self.read_timeout_s / 2
        )
        self.out.calls.append(call)

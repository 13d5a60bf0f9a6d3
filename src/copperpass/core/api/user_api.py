"""What users ask: submissions, polls and cancellations, decided by the state service alone."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from copperpass.core.kvstore.keys import COMPLETED_JOBS_PREFIX, LIVE_JOBS_PREFIX
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Call, CallOutcome, Outbox, Reply
from copperpass.core.scheduling.bin_packing.feasibility import feasible_on_type, fits_within
from copperpass.errors import RejectedJobError
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.json_codec import DECODE_ERRORS, decode, encode, error_body
from copperpass.protocol.kvstore import DeleteKey, KeyValue, PutKey, key_path
from copperpass.protocol.records import JobRecord, completed_job_value, submitted_job_value
from copperpass.protocol.users import (
    JOB_ID_PATTERN,
    MAX_BODY_BYTES,
    MAX_TASKS,
    JobAnswer,
    JobReference,
    JobSpec,
    JobState,
    decode_spec,
)
from copperpass.settings import Cluster, Team

RETRY_AFTER = 1
# Ended jobs that are remembered: at least so many, and all that can have ended while a question
# about one of them was under way.
MIN_REMEMBERED_JOBS = 2000
Found = Callable[[float, "JobRecord | None", int], None]


def check(spec: JobSpec, cluster: Cluster, types: dict[str, MachineType]) -> None:
    """Raise a `RejectedJobError` when the job is malformed or can never run."""
    if not JOB_ID_PATTERN.match(spec.id):
        raise RejectedJobError(400, "id: not of the form req-000000")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise RejectedJobError(400, "pages: outside 1..100000")
    amounts = {
        "cpus": spec.cpus,
        "cards": spec.gpus,
        "memory_gb": spec.memory_gb,
        "size_gb": spec.image_gb,
        "runtime_s": spec.estimate_s,
        "proof_s": spec.checkpoint_s,
        "flush_s": spec.save_s,
        "edition_s": spec.deadline_s or 0.0,
    }
    for name, amount in amounts.items():
        if not math.isfinite(amount) or amount < 0:
            raise RejectedJobError(400, f"{name}: not an amount")
    if not spec.job_class or not spec.image:
        raise RejectedJobError(400, "slot, master: must not be empty")
    team = next((t for t in cluster.teams if t.name == spec.team), None)
    if team is None:
        raise RejectedJobError(422, "desk: unknown team")
    if not fits_within(spec.cpus, team.cpus_limit) or not fits_within(spec.gpus, team.gpus_limit):
        raise RejectedJobError(422, "a task needs more than the team's limit")
    zones = {
        zone
        for machine_type in types.values()
        for zone in machine_type.zones
        if (spec.types is None or machine_type.name in spec.types)
        and spec.zone in (None, zone)
        and feasible_on_type(spec, machine_type)
    }
    if not zones:
        raise RejectedJobError(422, "a task fits no allowed machine type")
    if spec.gang:
        _check_gang(spec, team, zones)


def _check_gang(spec: JobSpec, team: Team, zones: set[str]) -> None:
    """Raise a `RejectedJobError` when a gang, whose tasks all run at once, can never run."""
    if not fits_within(spec.cpus * spec.tasks, team.cpus_limit) or not fits_within(
        spec.gpus * spec.tasks, team.gpus_limit
    ):
        raise RejectedJobError(422, "the gang needs more than the team's limit")
    if spec.spread and spec.tasks > 1 and (spec.one_zone or len(zones) < 2):
        raise RejectedJobError(422, "a gang can't be both in one zone and spread")


def _read(outcome: CallOutcome) -> tuple[JobRecord, int] | None:
    """The record and version that a read brought."""
    item = decode(outcome.body, KeyValue) if outcome.status == 200 else None
    record = decode(bytes(item.value), JobRecord) if item else None
    return None if item is None or record is None else (record, item.version)


class UserApi:
    """Answers users; the same on every node, whoever leads."""

    def __init__(
        self,
        cluster: Cluster,
        out: Outbox,
        transactions: TransactionQueue,
        read_timeout: float,
        wall_clock_offset: float = 0.0,
    ) -> None:
        # The time of day less the steady clock's.
        self.wall_clock_offset = wall_clock_offset
        self.cluster, self.out, self.transactions = cluster, out, transactions
        self.read_timeout = read_timeout
        self.max_remembered = max(MIN_REMEMBERED_JOBS, cluster.changes_per_cancellation_span)
        self.types: dict[str, MachineType] = {}
        self.terminal_records: OrderedDict[str, JobRecord] = OrderedDict()
        # Jobs whose live records have gone, which never come back.
        self.removed_jobs: OrderedDict[str, None] = OrderedDict()
        self.task_counts: Callable[[str], tuple[int, int]] = lambda job_id: (0, 0)
        # Whom to tell of a cancellation that is stored.
        self.on_cancelled: Callable[[float, str], None] = lambda now, job_id: None

    # -- requests -------------------------------------------------------------

    def submit(self, now: float, request: object, body: bytes) -> None:
        """POST /api/jobs."""
        if len(body) > MAX_BODY_BYTES:
            # Malformed: users give up at once on a 400, but repeat a 413 for a minute.
            self._answer(request, 400, error_body("body too large"))
            return
        try:
            spec = decode_spec(body)
        except DECODE_ERRORS as error:
            known = decode(body, JobReference)
            refusal = RejectedJobError(400, str(error))
            if known is None or not JOB_ID_PATTERN.match(known.id):
                self._answer(request, 400, error_body(refusal.reason))
            else:
                self._refuse(now, request, known.id, refusal)
            return
        if not JOB_ID_PATTERN.match(spec.id):
            self._answer(request, 400, error_body("id: not of the form req-000000"))
            return
        if not self.types:
            self._refuse(
                now, request, spec.id, RejectedJobError(503, "machine types not known yet")
            )
            return
        try:
            check(spec, self.cluster, self.types)
        except RejectedJobError as rejection:
            self._refuse(now, request, spec.id, rejection)
            return
        record = submitted_job_value(spec, round(now + self.wall_clock_offset, 1))
        room = self.cluster.state.least_value_bytes
        if len(encode(record)) > room and spec.types is not None:
            # Types named twice, or that don't exist, say nothing.
            spec.types = [t for t in dict.fromkeys(spec.types) if t in self.types]
            record["spec"] = msgspec.to_builtins(spec)
        size = len(encode(record))
        if size > room:
            self._refuse(
                now, request, spec.id, RejectedJobError(422, "can never be stored: too large")
            )
            return

        def stored(n: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.INVALID and size > 0.8 * room:
                # The service counts a value's bytes in a longer notation than ours.
                self._refuse(
                    n, request, spec.id, RejectedJobError(422, "can never be stored: too large")
                )
            else:
                self._submitted(n, outcome, request, spec.id)

        op = Operation(
            {LIVE_JOBS_PREFIX + spec.id: 0, COMPLETED_JOBS_PREFIX + spec.id: 0},
            [PutKey(LIVE_JOBS_PREFIX + spec.id, record)],
            stored,
            now + self.read_timeout,
            Priority.URGENT,
        )
        self.transactions.submit(now, op)

    def poll(self, now: float, request: object, job_id: str) -> None:
        """GET /api/jobs/{id}."""
        if not JOB_ID_PATTERN.match(job_id):
            self._answer(request, 404, error_body("no such job"))
            return
        self.lookup(
            now,
            job_id,
            lambda n, record, version: self._tell(request, job_id, record),
            lambda n: self._unavailable(request, "state service not reached"),
        )

    def cancel(self, now: float, request: object, job_id: str, tries: int = 6) -> None:
        """POST /api/jobs/{id}/cancel."""
        if not JOB_ID_PATTERN.match(job_id):
            self._answer(request, 404, error_body("no such job"))
            return

        def found(n: float, record: JobRecord | None, version: int) -> None:
            if record is None or record.final_state:
                self._tell(request, job_id, record)
                return
            count = self.task_counts(job_id)[0]
            final = completed_job_value(JobState.CANCELLED, count)

            def stored(m: float, outcome: TransactionOutcome, revision: int) -> None:
                if outcome is TransactionOutcome.APPLIED:
                    over = JobRecord(final_state=JobState.CANCELLED, completed_count=count)
                    self.remember_terminal_state(job_id, over)
                    self.on_cancelled(m, job_id)
                    self._tell(request, job_id, over)
                elif outcome is TransactionOutcome.CONFLICT and tries > 1:
                    # A task of the job ended in between: the record has moved on, look again.
                    self.cancel(m, request, job_id, tries - 1)
                else:
                    self._unavailable(request, "not stored")

            self.transactions.submit(
                n,
                Operation(
                    {LIVE_JOBS_PREFIX + job_id: version},
                    [
                        DeleteKey(LIVE_JOBS_PREFIX + job_id),
                        PutKey(COMPLETED_JOBS_PREFIX + job_id, final),
                    ],
                    stored,
                    n + self.read_timeout,
                    Priority.URGENT,
                ),
            )

        self.lookup(now, job_id, found, lambda n: self._unavailable(request, "state not reached"))

    # -- reads ----------------------------------------------------------------

    def lookup(
        self, now: float, job_id: str, found: Found, failed: Callable[[float], None]
    ) -> None:
        """Find a job's record by linearised reads: live first, since it only moves to over."""
        final = self.terminal_records.get(job_id)
        if final is not None:
            found(now, final, 0)
            return

        def live(n: float, outcome: CallOutcome) -> None:
            if outcome.status == 404:
                self._get(COMPLETED_JOBS_PREFIX + job_id, over)
                return
            final = self.terminal_records.get(job_id)
            read = _read(outcome)
            if final is not None:
                # Guards against going back: this node has told the job's end since it asked.
                found(n, final, 0)
            elif job_id in self.removed_jobs:
                self._get(COMPLETED_JOBS_PREFIX + job_id, over)
            elif read is None:
                failed(n)
            else:
                found(n, *read)

        def over(n: float, outcome: CallOutcome) -> None:
            if outcome.status == 404:
                found(n, None, 0)
                return
            read = _read(outcome)
            if read is None:
                failed(n)
            else:
                self.remember_terminal_state(job_id, read[0])
                found(n, *read)

        self._get(LIVE_JOBS_PREFIX + job_id, live)

    def on_job_removed(self, job_id: str) -> None:
        """The view has seen a live record go: an older answer about it is not to be told."""
        self.removed_jobs[job_id] = None
        while len(self.removed_jobs) > self.max_remembered:
            self.removed_jobs.popitem(last=False)

    def remember_terminal_state(self, job_id: str, record: JobRecord) -> None:
        """Final records never change, so a stored one may be kept and told again."""
        self.terminal_records[job_id] = record
        while len(self.terminal_records) > self.max_remembered:
            self.terminal_records.popitem(last=False)

    def _get(self, key: str, on_done: Callable[[float, CallOutcome], None]) -> None:
        self.out.calls.append(
            Call("state", "GET", key_path(key), on_done, b"", self.read_timeout / 2)
        )

    # -- answers --------------------------------------------------------------

    def _submitted(
        self, now: float, outcome: TransactionOutcome, request: object, job_id: str
    ) -> None:
        if outcome is TransactionOutcome.APPLIED:
            self._answer(request, 201, encode(JobAnswer(job_id, JobState.QUEUED)))
        elif outcome is TransactionOutcome.CONFLICT:
            self.poll(now, request, job_id)
        else:
            self._unavailable(request, "not stored")

    def _refuse(
        self, now: float, request: object, job_id: str, rejection: RejectedJobError
    ) -> None:
        """Refuse, unless the id is that of a job which was accepted before."""

        def found(n: float, record: JobRecord | None, version: int) -> None:
            if record is not None:
                self._tell(request, job_id, record)
            elif rejection.status == 503:
                self._unavailable(request, rejection.reason)
            else:
                self._answer(request, rejection.status, error_body(rejection.reason))

        self.lookup(now, job_id, found, lambda n: self._unavailable(request, "can't be decided"))

    def _tell(self, request: object, job_id: str, record: JobRecord | None) -> None:
        if record is None:
            self._answer(request, 404, error_body("no such job"))
            return
        if record.final_state:
            answer = JobAnswer(job_id, record.final_state, record.completed_count, 0)
        else:
            done, running = self.task_counts(job_id)
            state = JobState.RUNNING if running else JobState.QUEUED
            answer = JobAnswer(job_id, state, done, running)
        self._answer(request, 200, encode(answer))

    def _unavailable(self, request: object, reason: str) -> None:
        self.out.replies.append(Reply(request, 503, error_body(reason), RETRY_AFTER))

    def _answer(self, request: object, status: int, body: bytes) -> None:
        self.out.replies.append(Reply(request, status, body))

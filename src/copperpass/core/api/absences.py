"""When users may be told that a job is unknown: while no member can accept a job of its id.

The reads that show no record of a job may be out of date by the time of the answer: another member
may have accepted the job meanwhile and told its user. So a member first writes the job's absence, a
key on a short lease, in a transaction that is guarded by the absence of both records. Submissions
are guarded by the absence of this key. Until the lease may have ended, no member accepts the job.

docs/design.md, "Unknown jobs", has the argument.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from copperpass.core.election.timings import CLOCK_DRIFT
from copperpass.core.kvstore.keys import (
    ABSENT_JOBS_PREFIX,
    COMPLETED_JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
)
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.token_bucket import TokenBucket
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import Call, CallOutcome, ExternalService, Outbox
from copperpass.protocol.json_codec import decode, encode
from copperpass.protocol.kvstore import LEASES_PATH, LeaseCreated, PutKey

# The share of the store's write rate that written absences may use, and the least number at once.
WRITE_RATE_RATIO = 0.1
MIN_BURST = 2.0


class Absence(Enum):
    """What was found out about a job that reads have shown as absent."""

    # No member accepts the job until the answer has been sent.
    CERTAIN = "certain"
    # A record of the job, or another member's written absence of it, exists by now.
    CONTRADICTED = "contradicted"
    # The store did not answer in time, or may not be asked so often.
    UNDECIDED = "undecided"


OnAbsence = Callable[[float, Absence], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class AbsencesContext:
    """Collaborators of `Absences`.

    `lease_s`: how long a written absence keeps the job from being accepted, in seconds.
    `write_rps`: the writes per second that the store allows.
    """

    outbox: Outbox
    transactions: TransactionQueue
    lease_s: float
    write_rps: float


class Absences:
    """Writes the absences of jobs, and remembers them until their leases may have ended."""

    def __init__(self, context: AbsencesContext) -> None:
        self.context = context
        rate = WRITE_RATE_RATIO * context.write_rps
        self._budget = TokenBucket(rate, max(rate, MIN_BURST))
        # By job id: until when the absence that this member has written certainly holds.
        self._valid_until: dict[str, float] = {}
        # By job id: the callbacks that wait for an absence that is being written.
        self._waiting: dict[str, list[OnAbsence]] = {}

    def confirm(self, now: float, job_id: str, on_done: OnAbsence) -> None:
        """Call `on_done` once it is decided whether the job is absent; possibly at once."""
        if now < self._valid_until.get(job_id, float("-inf")):
            on_done(now, Absence.CERTAIN)
        elif job_id in self._waiting:
            self._waiting[job_id].append(on_done)
        elif not self._budget.take(now, 1.0):
            on_done(now, Absence.UNDECIDED)
        else:
            self._waiting[job_id] = [on_done]
            self._create_lease(now, job_id)

    def _finish(self, now: float, job_id: str, absence: Absence) -> None:
        for on_done in self._waiting.pop(job_id):
            on_done(now, absence)

    def _create_lease(self, now: float, job_id: str) -> None:
        context = self.context
        valid_until = now + context.lease_s * (1 - 2 * CLOCK_DRIFT)

        def on_created(created_at: float, outcome: CallOutcome) -> None:
            created = decode(outcome.body, LeaseCreated) if outcome.status == 200 else None
            if created is None or created_at >= valid_until:
                self._finish(created_at, job_id, Absence.UNDECIDED)
            else:
                self._write(created_at, job_id, created.lease, valid_until)

        body = encode({"ttl_ms": int(context.lease_s * 1000)})
        path, service = LEASES_PATH, ExternalService.STATE
        context.outbox.calls.append(Call(service, "POST", path, on_created, body, context.lease_s))

    def _write(self, now: float, job_id: str, lease: int, valid_until: float) -> None:
        """Write the absence of a job, on a lease that certainly runs until `valid_until`."""

        def on_written(written_at: float, outcome: TransactionOutcome, revision: int) -> None:
            if outcome is TransactionOutcome.CONFLICT:
                self._finish(written_at, job_id, Absence.CONTRADICTED)
            elif outcome is TransactionOutcome.APPLIED and written_at < valid_until:
                self._remember(written_at, job_id, valid_until)
                self._finish(written_at, job_id, Absence.CERTAIN)
            else:
                self._finish(written_at, job_id, Absence.UNDECIDED)

        absent_key = ABSENT_JOBS_PREFIX + job_id
        # Guarded by its own absence too: a second write would move the key to a lease that may end
        # before the first one.
        guards = {LIVE_JOBS_PREFIX + job_id: 0, COMPLETED_JOBS_PREFIX + job_id: 0, absent_key: 0}
        operation = Operation(
            guards, [PutKey(absent_key, True, lease)], on_written, valid_until, Priority.BATCHED
        )
        self.context.transactions.submit(now, operation)

    def _remember(self, now: float, job_id: str, valid_until: float) -> None:
        """Keep a written absence; forget those that have expired, which the budget makes few."""
        current = {known: until for known, until in self._valid_until.items() if now < until}
        self._valid_until = {**current, job_id: valid_until}

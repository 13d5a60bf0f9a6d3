"""Campaigns: a member's attempts to write the leader key, their timing and failure handling."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from copperpass.core.election.context import ElectionContext
from copperpass.core.election.leader_lease import LeaderLease
from copperpass.core.election.token_counter import FencingTokenCounter
from copperpass.core.kvstore.keys import FENCING_TOKEN_KEY, LEADER_KEY
from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.ports import Call, CallOutcome, ExternalService
from copperpass.protocol.json_codec import decode, encode
from copperpass.protocol.kvstore import LEASES_PATH, LeaseCreated, PutKey
from copperpass.protocol.records import LeaderRecord


@dataclass(frozen=True, slots=True)
class CampaignWin:
    """A won campaign: the record as written, its revision in the store, and when it started."""

    record: LeaderRecord
    revision: int
    started_at: float


class Campaign:
    """Creates a lease, then writes the leader key and the next token in one transaction.

    The transaction is guarded by the absence of the key and by the version of the token counter,
    so the store refuses a late one once any other campaign has been won.
    """

    def __init__(
        self,
        context: ElectionContext,
        leader_lease: LeaderLease,
        counter: FencingTokenCounter,
        on_won: Callable[[float, CampaignWin], None],
        now: float,
    ) -> None:
        self.context, self.leader_lease, self.counter = context, leader_lease, counter
        self.on_won = on_won
        self.in_progress = False
        self.lease_id: int | None = None
        # Leases of campaigns whose transaction got no answer and may still be applied.
        self.unresolved_leases: set[int] = set()
        self._started_at = 0.0
        # Each member starts at its own offset, so that campaigns seldom conflict.
        rank = sorted([context.member, *context.peers]).index(context.member)
        self._stagger_s = rank * context.timings.leader_ttl_s / 12
        self.next_campaign_at = now + self._stagger_s
        self._backoff_until = 0.0

    def is_due(self, now: float) -> bool:
        """Whether no campaign is in progress and both the schedule and the backoff allow one."""
        return not self.in_progress and now >= max(self.next_campaign_at, self._backoff_until)

    def postpone(self, now: float) -> None:
        """Retry shortly, because a vote of this member still forbids it to campaign."""
        self.next_campaign_at = now + self.context.timings.leader_ttl_s / 40

    def on_leader_key_deleted(self, now: float) -> None:
        """Schedule a campaign, staggered by member, after the leader key was deleted or expired."""
        jitter_s = self.context.rng.uniform(0, self.context.timings.leader_ttl_s / 40)
        self.next_campaign_at = max(now + self._stagger_s + jitter_s, self._backoff_until)

    def on_step_down(self, now: float, backoff_s: float) -> None:
        """Leave the election to other members for `backoff_s` seconds after stepping down."""
        self._backoff_until = max(self._backoff_until, now + backoff_s)
        self.next_campaign_at = (
            now + self.context.rng.uniform(0.2, 0.5) * self.context.timings.leader_ttl_s
        )

    def may_still_win(self) -> bool:
        """Whether a campaign in progress or a late transaction may still make this member win."""
        return self.in_progress or bool(self.unresolved_leases)

    def begin(self, now: float) -> None:
        """Start a campaign by creating the lease for the leader key."""
        self.in_progress = True
        self._started_at = now
        ttl_s = self.context.timings.leader_ttl_s
        body = encode({"ttl_ms": int(ttl_s * 1000)})
        self.context.outbox.calls.append(
            Call(
                ExternalService.STATE, "POST", LEASES_PATH, self._on_lease_created, body, ttl_s / 3
            )
        )

    def _on_lease_created(self, now: float, outcome: CallOutcome) -> None:
        created = decode(outcome.body, LeaseCreated) if outcome.status == 200 else None
        if created is None or self.leader_lease.holder is not None:
            if created is not None:
                self.leader_lease.revoke(created.lease)
            self._on_failed(now)
            return
        self.lease_id = created.lease
        token = self.counter.token + 1
        record = LeaderRecord(self.context.member, token, created.lease)

        def on_done(done_at: float, outcome: TransactionOutcome, revision: int) -> None:
            self._on_written(done_at, outcome, revision, record)

        self.context.transactions.submit(
            now,
            Operation(
                {LEADER_KEY: 0, FENCING_TOKEN_KEY: self.counter.version},
                [
                    PutKey(LEADER_KEY, msgspec.to_builtins(record), created.lease),
                    PutKey(FENCING_TOKEN_KEY, {"token": token, "member": self.context.member}),
                ],
                on_done,
                now + self.context.timings.leader_ttl_s / 3,
                Priority.URGENT,
            ),
        )

    def _on_written(
        self, now: float, outcome: TransactionOutcome, revision: int, record: LeaderRecord
    ) -> None:
        self.lease_id = None
        applied = outcome is TransactionOutcome.APPLIED
        if applied and now < self.leader_lease.valid_until_from(self._started_at):
            self.in_progress = False
            self.on_won(now, CampaignWin(record, revision, self._started_at))
            return
        # The transaction failed, its outcome is unknown, or it was applied after the lease may
        # have expired. Revoke the lease, so that the store refuses a late write of the key.
        if outcome is TransactionOutcome.UNKNOWN:
            self.unresolved_leases.add(record.lease)
        elif applied and revision > self.counter.version:
            self.counter.update(record.token, revision, self.context.member)
        self.leader_lease.revoke(record.lease)
        self._on_failed(now, conflict=outcome is TransactionOutcome.CONFLICT)

    def _on_failed(self, now: float, conflict: bool = False) -> None:
        self.in_progress = False
        ttl_s = self.context.timings.leader_ttl_s
        max_jitter_s = ttl_s / 10 if conflict else ttl_s / 4
        self.next_campaign_at = (
            now + self._stagger_s + self.context.rng.uniform(max_jitter_s / 2, max_jitter_s)
        )

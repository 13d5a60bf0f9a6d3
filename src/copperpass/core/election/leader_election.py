"""Who leads: a leased key, a token counter, and promises for outages.

The argument is in docs/design.md. In short, with ttl the life of the leader
key, P the length of promises, and B the longest extension of authority through an outage:

- The key is counted from the *sending* of the request that won or renewed it.
- A leader whose key may have ended keeps its authority only while *every* other
  member has promised not to campaign, and for at most B after its last renewal.
- A candidate must itself be free of promises, and refuses them while it campaigns;
  so no extension can run from the moment that any member campaigns.
- A member that has just started may have promised before: it keeps still for P,
  unless the last token was its own, since then the extension would have been its own.
- A win counts only if its answer comes in time; tokens only rise.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from copperpass.core.kvstore.keys import FENCING_TOKEN_KEY, LEADER_KEY
from copperpass.core.kvstore.transactions import (
    Operation,
    Priority,
    TransactionOutcome,
    TransactionQueue,
)
from copperpass.core.ports import Call, CallOutcome, Outbox
from copperpass.protocol.frames.messages import Frame, LeaseExtensionRequest, LeaseExtensionVote
from copperpass.protocol.json_codec import decode, encode
from copperpass.protocol.kvstore import (
    LEASES_PATH,
    LeaseCreated,
    PutKey,
    lease_path,
    renew_lease_path,
)
from copperpass.protocol.records import FencingTokenRecord, LeaderRecord
from copperpass.settings import Cluster, SettingsError

DRIFT = 0.0005
# The length of a grant, as a part of the leader key's life.
GRANT_TTL_RATIO = 0.6


@dataclass(frozen=True, slots=True)
class ElectionTimings:
    """The lengths that the safety argument is about."""

    leader_ttl_s: float
    vote_s: float
    max_extension_s: float
    worker_lease_s: float
    cancel_deadline_s: float

    def check(self) -> None:
        """Refuse lengths for which the argument does not hold."""
        slack = 1 + 4 * DRIFT
        if not 0 < self.vote_s * slack < self.leader_ttl_s:
            raise SettingsError("a vote must be shorter than the leader key's life")
        if (self.leader_ttl_s + 2 * self.vote_s) * slack >= self.worker_lease_s:
            raise SettingsError("workers.lease_s: too short for a change of leader")
        if (
            self.max_extension_s < 0
            or (self.max_extension_s + self.worker_lease_s) * slack > self.cancel_deadline_s
        ):
            raise SettingsError(
                "workers.cancel_s: too short for an extension of authority and a worker's lease"
            )


def election_timings(cluster: Cluster) -> ElectionTimings:
    """The lengths as ratios of the workers' figures."""
    lease, cancel = cluster.workers.lease_s, cluster.workers.cancel_s
    ttl = 0.22 * lease
    timings = ElectionTimings(
        leader_ttl_s=ttl,
        vote_s=0.35 * ttl,
        max_extension_s=max(0.0, 0.95 * (cancel - 1.01 * lease)),
        worker_lease_s=lease,
        cancel_deadline_s=cancel,
    )
    timings.check()
    return timings


def worker_lease_expiry_s(cluster: Cluster) -> float:
    """How long after an answer's receipt a worker's lease is over for certain."""
    workers = cluster.workers
    return workers.lease_s * (1 + 4 * DRIFT) + 0.05 * workers.report_s


class LeaderElection:
    """The election core of one node."""

    def __init__(
        self,
        member: str,
        others: list[str],
        times: ElectionTimings,
        out: Outbox,
        transactions: TransactionQueue,
        rng: random.Random,
        on_change: Callable[[float, bool, bool], None],
        now: float,
        consistent_at: Callable[[], float] = lambda: float("inf"),
        granted_s: float = 0.0,
    ) -> None:
        self.member, self.peers, self.timings = member, others, times
        self.leader_ttl_s = times.leader_ttl_s
        self.out, self.transactions, self.rng = out, transactions, rng
        self.on_change = on_change
        # What was confirmed before this moment is known here.
        self.consistent_at = consistent_at
        self.leader: LeaderRecord | None = None
        self.leader_version = 0
        self.token_counter = 0
        self.token_counter_version = 0
        self.token_counter_holder = ""
        self.records_synced = False
        # Until when the grants last that were given under this member's authority, in its present
        # run or an earlier one. Its key must not end sooner by its own doing: the next leader would
        # give away shards whose owners, under such a grant, still start tasks.
        self.grants_expire_at = now + granted_s
        # The key's lease, to be ended once those grants are over.
        self.lease_to_revoke: int | None = None
        # As a leader.
        self.is_leader = False
        self.token = 0
        self.election_revision = 0
        self.lease_until = 0.0
        self.extension_until = 0.0
        self.lease: int | None = None
        self.next_renewal = 0.0
        self.renewing = False
        self.next_vote_request = 0.0
        self.vote_request_number = rng.getrandbits(32)
        self.vote_requests: dict[int, float] = {}
        self.votes_until: dict[str, float] = {}
        # As a candidate.
        self.campaigning = False
        self.new_lease: int | None = None
        # Leases of campaigns without an answer, whose transactions may be carried out yet.
        self.unresolved_leases: set[int] = set()
        self.campaign_started_at = 0.0
        # Members campaign one after the other, so that they seldom meet.
        rank = sorted([member, *others]).index(member)
        self.campaign_stagger_s = rank * times.leader_ttl_s / 12
        self.next_campaign = now + self.campaign_stagger_s
        self.backoff_until = 0.0
        # As a member that promises. A restart forgets promises: keep still until any has run out.
        self.holdoff_until = now + times.vote_s * (1 + 4 * DRIFT)
        self.vote_until = 0.0
        self.highest_token = 0

    # -- what the watch saw ---------------------------------------------------

    def on_watch_event(self, now: float, key: str, raw: bytes | None, version: int) -> None:
        """Take in a change of the leader key or of the token counter."""
        if key == LEADER_KEY:
            if version < self.leader_version and raw is not None:
                return
            had = self.leader
            self.leader = decode(raw, LeaderRecord) if raw is not None else None
            self.leader_version = version if raw is not None else 0
            if self.leader is None:
                if had is not None:
                    soon = (
                        now + self.campaign_stagger_s + self.rng.uniform(0, self.leader_ttl_s / 40)
                    )
                    self.next_campaign = max(soon, self.backoff_until)
                if self.is_leader:
                    # The key has ended: from here on only promises carry the authority.
                    self.lease_until = min(self.lease_until, now)
                    self.lease = None
                return
            if self.is_leader and self.leader.token > self.token:
                self.step_down(now, "another leads")
            if self.leader.member == self.member and self.leader.lease not in (
                self.lease,
                self.new_lease,
            ):
                # Our own earlier run still holds the key: that process is gone, so end its lease.
                self._release_lease(now, self.leader.lease)
        elif key == FENCING_TOKEN_KEY and raw is not None and version > self.token_counter_version:
            record = decode(raw, FencingTokenRecord)
            # Every campaign is guarded by the counter's version: an older one can't win any more.
            self.unresolved_leases.clear()
            if record:
                self.token_counter, self.token_counter_version = record.token, version
                self.token_counter_holder = record.member

    def watch_cache_valid_until(self) -> float:
        """Until when this node's view is fresh enough to command anybody.

        Guards cancelled jobs: a key that is renewed, or a grant that is pulled, says nothing of
        what this node has seen. Who acts on an older view may keep alive what it never saw end.
        """
        return self.consistent_at() + self.timings.max_extension_s * (1 - 2 * DRIFT)

    def has_authority(self, now: float) -> bool:
        """Whether this node may act for the controllers at this moment."""
        backed = now < self.lease_until or self.has_quorum_extension(now)
        return self.is_leader and backed and now < self.watch_cache_valid_until()

    def remaining_authority_s(self, now: float) -> float:
        """For how long the authority certainly lasts from here on."""
        if not self.is_leader:
            return 0.0
        promised = min((self.votes_until.get(o, 0.0) for o in self.peers), default=float("inf"))
        backed = max(self.lease_until, min(promised, self.extension_until))
        return max(0.0, min(backed, self.watch_cache_valid_until()) - now)

    def has_quorum_extension(self, now: float) -> bool:
        """Whether the others' promises carry the authority without the key."""
        backed = all(now < self.votes_until.get(other, 0.0) for other in self.peers)
        return self.is_leader and backed and now < self.extension_until

    def is_on_extension(self, now: float) -> bool:
        """Whether only promises carry the authority."""
        return self.is_leader and now >= self.lease_until

    def leader_name(self) -> str | None:
        """The member that leads, as far as this node knows."""
        return self.leader.member if self.leader else None

    # -- time -----------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Campaign, renew, ask for promises or step down as the time asks for."""
        if self.is_leader:
            if not self.has_authority(now):
                self.step_down(now, "authority ran out")
                return
            if self.lease is not None and now >= self.next_renewal and not self.renewing:
                self._renew(now)
            if now >= self.next_vote_request:
                self._request_votes(now)
        if self.lease_to_revoke is not None and now >= self.grants_expire_at:
            self._revoke_lease(self.lease_to_revoke)
            self.lease_to_revoke = None
        free = self.records_synced and self.leader is None and not self.campaigning
        if free and now >= max(self.next_campaign, self.backoff_until):
            self._campaign(now)

    def step_down(self, now: float, reason: str, backoff_s: float = 0.0) -> None:
        """Give the authority up at once; `backoff_s` keeps this node from campaigning."""
        if self.is_leader:
            self.out.log("info", "stepping down", reason=reason, token=self.token)
            self.is_leader = False
            self.lease_until = self.extension_until = 0.0
            self.votes_until.clear()
            self.vote_requests.clear()
            self.on_change(now, False, False)
        if self.lease is not None:
            self._release_lease(now, self.lease)
            self.lease = None
        self.backoff_until = max(self.backoff_until, now + backoff_s)
        self.next_campaign = now + self.rng.uniform(0.2, 0.5) * self.leader_ttl_s

    def _release_lease(self, now: float, lease: int) -> None:
        """End the lease that holds the key, at once or when no grant under it runs any more."""
        if now >= self.grants_expire_at:
            self._revoke_lease(lease)
        else:
            self.lease_to_revoke = lease

    def _revoke_lease(self, lease: int) -> None:
        def on_done(now: float, outcome: CallOutcome) -> None:
            if outcome.status in (200, 404):
                # A late write of the key is refused from now on.
                self.unresolved_leases.discard(lease)

        self.out.calls.append(
            Call("state", "DELETE", lease_path(lease), on_done, b"", self.leader_ttl_s)
        )

    # -- frames from the others -----------------------------------------------

    def on_frame(self, now: float, sender: str, frame: Frame) -> None:
        """Take a frame of the election."""
        if isinstance(frame, LeaseExtensionRequest):
            granted = self._may_vote(frame.token)
            if granted:
                self.vote_until = now + self.timings.vote_s
                self.highest_token = max(self.highest_token, frame.token)
            self.out.send(sender, LeaseExtensionVote(frame.token, frame.number, granted))
        elif isinstance(frame, LeaseExtensionVote):
            sent = self.vote_requests.get(frame.number)
            if frame.granted and sent is not None and frame.token == self.token and self.is_leader:
                until = sent + self.timings.vote_s * (1 - 2 * DRIFT)
                self.votes_until[sender] = max(self.votes_until.get(sender, 0.0), until)

    def _may_vote(self, token: int) -> bool:
        # Until the counter is known, a higher token may have been won, by this very node too.
        known = self.records_synced and token >= max(self.highest_token, self.token_counter)
        # A campaign that may yet be carried out would make this member the winner of the last
        # token, and one that has won it keeps no promise over a restart.
        free = not self.is_leader and not self.campaigning and not self.unresolved_leases
        return known and free

    def _may_campaign(self, now: float) -> bool:
        if now < self.vote_until:
            return False
        return now >= self.holdoff_until or self.token_counter_holder in ("", self.member)

    # -- promises ---------------------------------------------------------------

    def _request_votes(self, now: float) -> None:
        self.next_vote_request = now + self.timings.vote_s / 4
        self.vote_request_number += 1
        self.vote_requests[self.vote_request_number] = now
        for old in [n for n, at in self.vote_requests.items() if now - at > self.timings.vote_s]:
            del self.vote_requests[old]
        for other in self.peers:
            self.out.send(other, LeaseExtensionRequest(self.token, self.vote_request_number))

    # -- campaign -----------------------------------------------------------------

    def _campaign(self, now: float) -> None:
        if not self._may_campaign(now):
            self.next_campaign = now + self.leader_ttl_s / 40
            return
        self.campaigning = True
        self.campaign_started_at = now
        body = encode({"ttl_ms": int(self.leader_ttl_s * 1000)})
        self.out.calls.append(
            Call("state", "POST", LEASES_PATH, self._on_lease_created, body, self.leader_ttl_s / 3)
        )

    def _on_lease_created(self, now: float, outcome: CallOutcome) -> None:
        made = decode(outcome.body, LeaseCreated) if outcome.status == 200 else None
        if made is None or self.leader is not None:
            if made is not None:
                self._revoke_lease(made.lease)
            self._campaign_failed(now)
            return
        self.new_lease = made.lease
        token = self.token_counter + 1
        record = LeaderRecord(self.member, token, made.lease)
        self.transactions.submit(
            now,
            Operation(
                {LEADER_KEY: 0, FENCING_TOKEN_KEY: self.token_counter_version},
                [
                    PutKey(LEADER_KEY, msgspec.to_builtins(record), made.lease),
                    PutKey(FENCING_TOKEN_KEY, {"token": token, "member": self.member}),
                ],
                lambda n, outcome, revision: self._on_campaign_done(
                    n, outcome, revision, token, made.lease
                ),
                now + self.leader_ttl_s / 3,
                Priority.URGENT,
            ),
        )

    def _on_campaign_done(
        self, now: float, outcome: TransactionOutcome, revision: int, token: int, lease: int
    ) -> None:
        valid = self.campaign_started_at + self.leader_ttl_s * (1 - 2 * DRIFT)
        self.new_lease = None
        if outcome is TransactionOutcome.APPLIED and now < valid:
            continued = self.has_authority(now)
            self.campaigning = False
            self.is_leader = True
            self.token, self.election_revision, self.lease = token, revision, lease
            self.leader = LeaderRecord(self.member, token, lease)
            self.leader_version = revision
            self.token_counter, self.token_counter_version = token, revision
            self.token_counter_holder = self.member
            self.highest_token = max(self.highest_token, token)
            self.votes_until.clear()
            self.vote_requests.clear()
            self.lease_until = valid
            self.extension_until = self.campaign_started_at + self.timings.max_extension_s
            self.next_renewal = self.campaign_started_at + self.leader_ttl_s / 4
            self.next_vote_request = now
            self.out.log("info", "leading", token=token, continued=continued)
            self.on_change(now, True, continued)
            return
        # Unknown outcome or too late: end the lease, so that a late write of the key is refused.
        if outcome is TransactionOutcome.UNKNOWN:
            self.unresolved_leases.add(lease)
        elif outcome is TransactionOutcome.APPLIED and revision > self.token_counter_version:
            self.token_counter, self.token_counter_version = token, revision
            self.token_counter_holder = self.member
        self._revoke_lease(lease)
        self._campaign_failed(now, quick=outcome is TransactionOutcome.CONFLICT)

    def _campaign_failed(self, now: float, quick: bool = False) -> None:
        self.campaigning = False
        spread = self.leader_ttl_s / 10 if quick else self.leader_ttl_s / 4
        self.next_campaign = now + self.campaign_stagger_s + self.rng.uniform(spread / 2, spread)

    # -- the key --------------------------------------------------------------------

    def _renew(self, now: float) -> None:
        if self.lease is None:
            return
        self.renewing = True
        lease = self.lease
        self.next_renewal = now + self.leader_ttl_s / 4
        self.out.calls.append(
            Call(
                "state",
                "POST",
                renew_lease_path(lease),
                lambda n, o: self._on_renewed(n, o, lease, now),
                b"{}",
                self.leader_ttl_s / 3,
            )
        )

    def _on_renewed(self, now: float, outcome: CallOutcome, lease: int, sent: float) -> None:
        self.renewing = False
        if not self.is_leader or lease != self.lease:
            return
        if outcome.status == 200:
            self.lease_until = max(self.lease_until, sent + self.leader_ttl_s * (1 - 2 * DRIFT))
            self.extension_until = max(self.extension_until, sent + self.timings.max_extension_s)
        elif outcome.status == 404:
            self.lease, self.lease_until = None, min(self.lease_until, now)
        else:
            self.next_renewal = now + self.leader_ttl_s / 12

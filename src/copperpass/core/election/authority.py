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
    lease_path,
    put_key,
    renew_lease_path,
)
from copperpass.protocol.records import FencingTokenRecord, LeaderRecord
from copperpass.settings import Cluster, SettingsError

DRIFT = 0.0005
# The length of a grant, as a part of the leader key's life.
GRANT_PER_TTL = 0.6


@dataclass(frozen=True, slots=True)
class Times:
    """The lengths that the safety argument is about."""

    ttl: float
    promise: float
    extension: float
    lease: float
    cancel: float

    def check(self) -> None:
        """Refuse lengths for which the argument does not hold."""
        slack = 1 + 4 * DRIFT
        if not 0 < self.promise * slack < self.ttl:
            raise SettingsError("promise must be shorter than the leader key's life")
        if (self.ttl + 2 * self.promise) * slack >= self.lease:
            raise SettingsError("workers.lease_s: too short for a change of leader")
        if self.extension < 0 or (self.extension + self.lease) * slack > self.cancel:
            raise SettingsError(
                "workers.cancel_s: too short for an extension of authority and a worker's lease"
            )


def times_of(cluster: Cluster) -> Times:
    """The lengths as ratios of the workers' figures."""
    lease, cancel = cluster.workers.lease_s, cluster.workers.cancel_s
    ttl = 0.22 * lease
    times = Times(ttl, 0.35 * ttl, max(0.0, 0.95 * (cancel - 1.01 * lease)), lease, cancel)
    times.check()
    return times


def certain_lease_s(cluster: Cluster) -> float:
    """How long after an answer's receipt a worker's lease is over for certain."""
    workers = cluster.workers
    return workers.lease_s * (1 + 4 * DRIFT) + 0.05 * workers.report_s


class Authority:
    """The election core of one node."""

    def __init__(
        self,
        member: str,
        others: list[str],
        times: Times,
        out: Outbox,
        transactions: TransactionQueue,
        rng: random.Random,
        on_change: Callable[[float, bool, bool], None],
        now: float,
        fresh_at: Callable[[], float] = lambda: float("inf"),
        granted_s: float = 0.0,
    ) -> None:
        self.member, self.others, self.times = member, others, times
        self.ttl = times.ttl
        self.out, self.transactions, self.rng = out, transactions, rng
        self.on_change = on_change
        # What was confirmed before this moment is known here.
        self.fresh_at = fresh_at
        self.lead: LeaderRecord | None = None
        self.lead_version = 0
        self.counter = 0
        self.counter_version = 0
        self.counter_holder = ""
        self.known = False
        # Until when the grants last that were given under this member's authority, in its present
        # run or an earlier one. Its key must not end sooner by its own doing: the next leader would
        # give away shards whose owners, under such a grant, still start tasks.
        self.granted_until = now + granted_s
        # The key's lease, to be ended once those grants are over.
        self.ending: int | None = None
        # As a leader.
        self.leading = False
        self.token = 0
        self.win_revision = 0
        self.lease_until = 0.0
        self.extension_until = 0.0
        self.lease: int | None = None
        self.next_renewal = 0.0
        self.renewing = False
        self.next_ask = 0.0
        self.number = rng.getrandbits(32)
        self.asked: dict[int, float] = {}
        self.promised: dict[str, float] = {}
        # As a candidate.
        self.campaigning = False
        self.new_lease: int | None = None
        # Leases of campaigns without an answer, whose transactions may be carried out yet.
        self.doubtful: set[int] = set()
        self.new_lease_sent = 0.0
        # Members campaign one after the other, so that they seldom meet.
        rank = sorted([member, *others]).index(member)
        self.turn = rank * times.ttl / 12
        self.next_campaign = now + self.turn
        self.shun_until = 0.0
        # As a member that promises. A restart forgets promises: keep still until any has run out.
        self.quiet_until = now + times.promise * (1 + 4 * DRIFT)
        self.promise_until = 0.0
        self.highest = 0

    # -- what the watch saw ---------------------------------------------------

    def saw(self, now: float, key: str, raw: bytes | None, version: int) -> None:
        """Take in a change of the leader key or of the token counter."""
        if key == LEADER_KEY:
            if version < self.lead_version and raw is not None:
                return
            had = self.lead
            self.lead = decode(raw, LeaderRecord) if raw is not None else None
            self.lead_version = version if raw is not None else 0
            if self.lead is None:
                if had is not None:
                    soon = now + self.turn + self.rng.uniform(0, self.ttl / 40)
                    self.next_campaign = max(soon, self.shun_until)
                if self.leading:
                    # The key has ended: from here on only promises carry the authority.
                    self.lease_until = min(self.lease_until, now)
                    self.lease = None
                return
            if self.leading and self.lead.token > self.token:
                self.step_down(now, "another leads")
            if self.lead.member == self.member and self.lead.lease not in (
                self.lease,
                self.new_lease,
            ):
                # Our own earlier run still holds the key: that process is gone, so end its lease.
                self._end_key(now, self.lead.lease)
        elif key == FENCING_TOKEN_KEY and raw is not None and version > self.counter_version:
            record = decode(raw, FencingTokenRecord)
            # Every campaign is guarded by the counter's version: an older one can't win any more.
            self.doubtful.clear()
            if record:
                self.counter, self.counter_version = record.token, version
                self.counter_holder = record.member

    def fresh_until(self) -> float:
        """Until when this node's view is fresh enough to command anybody.

        Guards cancelled jobs: a key that is renewed, or a grant that is pulled, says nothing of
        what this node has seen. Who acts on an older view may keep alive what it never saw end.
        """
        return self.fresh_at() + self.times.extension * (1 - 2 * DRIFT)

    def entitled(self, now: float) -> bool:
        """Whether this node may act for the controllers at this moment."""
        backed = now < self.lease_until or self.extended(now)
        return self.leading and backed and now < self.fresh_until()

    def remaining(self, now: float) -> float:
        """For how long the authority certainly lasts from here on."""
        if not self.leading:
            return 0.0
        promised = min((self.promised.get(o, 0.0) for o in self.others), default=float("inf"))
        backed = max(self.lease_until, min(promised, self.extension_until))
        return max(0.0, min(backed, self.fresh_until()) - now)

    def extended(self, now: float) -> bool:
        """Whether the others' promises carry the authority without the key."""
        backed = all(now < self.promised.get(other, 0.0) for other in self.others)
        return self.leading and backed and now < self.extension_until

    def extending(self, now: float) -> bool:
        """Whether only promises carry the authority."""
        return self.leading and now >= self.lease_until

    def leader_name(self) -> str | None:
        """The member that leads, as far as this node knows."""
        return self.lead.member if self.lead else None

    # -- time -----------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Campaign, renew, ask for promises or step down as the time asks for."""
        if self.leading:
            if not self.entitled(now):
                self.step_down(now, "authority ran out")
                return
            if self.lease is not None and now >= self.next_renewal and not self.renewing:
                self._renew(now)
            if now >= self.next_ask:
                self._ask(now)
        if self.ending is not None and now >= self.granted_until:
            self._drop(self.ending)
            self.ending = None
        free = self.known and self.lead is None and not self.campaigning
        if free and now >= max(self.next_campaign, self.shun_until):
            self._campaign(now)

    def step_down(self, now: float, why: str, shun: float = 0.0) -> None:
        """Give the authority up at once; `shun` keeps this node from campaigning."""
        if self.leading:
            self.out.log("info", "stepping down", why=why, token=self.token)
            self.leading = False
            self.lease_until = self.extension_until = 0.0
            self.promised.clear()
            self.asked.clear()
            self.on_change(now, False, False)
        if self.lease is not None:
            self._end_key(now, self.lease)
            self.lease = None
        self.shun_until = max(self.shun_until, now + shun)
        self.next_campaign = now + self.rng.uniform(0.2, 0.5) * self.ttl

    def _end_key(self, now: float, lease: int) -> None:
        """End the lease that holds the key, at once or when no grant under it runs any more."""
        if now >= self.granted_until:
            self._drop(lease)
        else:
            self.ending = lease

    def _drop(self, lease: int) -> None:
        def then(now: float, outcome: CallOutcome) -> None:
            if outcome.status in (200, 404):
                # A late write of the key is refused from now on.
                self.doubtful.discard(lease)

        self.out.calls.append(Call("state", "DELETE", lease_path(lease), then, b"", self.ttl))

    # -- frames from the others -----------------------------------------------

    def received(self, now: float, sender: str, frame: Frame) -> None:
        """Take a frame of the election."""
        if isinstance(frame, LeaseExtensionRequest):
            granted = self._may_promise(frame.token)
            if granted:
                self.promise_until = now + self.times.promise
                self.highest = max(self.highest, frame.token)
            self.out.send(sender, LeaseExtensionVote(frame.token, frame.number, granted))
        elif isinstance(frame, LeaseExtensionVote):
            sent = self.asked.get(frame.number)
            if frame.granted and sent is not None and frame.token == self.token and self.leading:
                until = sent + self.times.promise * (1 - 2 * DRIFT)
                self.promised[sender] = max(self.promised.get(sender, 0.0), until)

    def _may_promise(self, token: int) -> bool:
        # Until the counter is known, a higher token may have been won, by this very node too.
        known = self.known and token >= max(self.highest, self.counter)
        # A campaign that may yet be carried out would make this member the winner of the last
        # token, and one that has won it keeps no promise over a restart.
        free = not self.leading and not self.campaigning and not self.doubtful
        return known and free

    def _may_campaign(self, now: float) -> bool:
        if now < self.promise_until:
            return False
        return now >= self.quiet_until or self.counter_holder in ("", self.member)

    # -- promises ---------------------------------------------------------------

    def _ask(self, now: float) -> None:
        self.next_ask = now + self.times.promise / 4
        self.number += 1
        self.asked[self.number] = now
        for old in [n for n, at in self.asked.items() if now - at > self.times.promise]:
            del self.asked[old]
        for other in self.others:
            self.out.send(other, LeaseExtensionRequest(self.token, self.number))

    # -- campaign -----------------------------------------------------------------

    def _campaign(self, now: float) -> None:
        if not self._may_campaign(now):
            self.next_campaign = now + self.ttl / 40
            return
        self.campaigning = True
        self.new_lease_sent = now
        body = encode({"ttl_ms": int(self.ttl * 1000)})
        self.out.calls.append(Call("state", "POST", LEASES_PATH, self._leased, body, self.ttl / 3))

    def _leased(self, now: float, outcome: CallOutcome) -> None:
        made = decode(outcome.body, LeaseCreated) if outcome.status == 200 else None
        if made is None or self.lead is not None:
            if made is not None:
                self._drop(made.lease)
            self._lost(now)
            return
        self.new_lease = made.lease
        token = self.counter + 1
        record = LeaderRecord(self.member, token, made.lease)
        self.transactions.submit(
            now,
            Operation(
                {LEADER_KEY: 0, FENCING_TOKEN_KEY: self.counter_version},
                [
                    put_key(LEADER_KEY, msgspec.to_builtins(record), made.lease),
                    put_key(FENCING_TOKEN_KEY, {"token": token, "member": self.member}),
                ],
                lambda n, outcome, revision: self._campaigned(
                    n, outcome, revision, token, made.lease
                ),
                now + self.ttl / 3,
                Priority.URGENT,
            ),
        )

    def _campaigned(
        self, now: float, outcome: TransactionOutcome, revision: int, token: int, lease: int
    ) -> None:
        valid = self.new_lease_sent + self.ttl * (1 - 2 * DRIFT)
        self.new_lease = None
        if outcome is TransactionOutcome.APPLIED and now < valid:
            continued = self.entitled(now)
            self.campaigning = False
            self.leading = True
            self.token, self.win_revision, self.lease = token, revision, lease
            self.lead = LeaderRecord(self.member, token, lease)
            self.lead_version = revision
            self.counter, self.counter_version = token, revision
            self.counter_holder = self.member
            self.highest = max(self.highest, token)
            self.promised.clear()
            self.asked.clear()
            self.lease_until = valid
            self.extension_until = self.new_lease_sent + self.times.extension
            self.next_renewal = self.new_lease_sent + self.ttl / 4
            self.next_ask = now
            self.out.log("info", "leading", token=token, continued=continued)
            self.on_change(now, True, continued)
            return
        # Unknown outcome or too late: end the lease, so that a late write of the key is refused.
        if outcome is TransactionOutcome.UNKNOWN:
            self.doubtful.add(lease)
        elif outcome is TransactionOutcome.APPLIED and revision > self.counter_version:
            self.counter, self.counter_version = token, revision
            self.counter_holder = self.member
        self._drop(lease)
        self._lost(now, quick=outcome is TransactionOutcome.CONFLICT)

    def _lost(self, now: float, quick: bool = False) -> None:
        self.campaigning = False
        spread = self.ttl / 10 if quick else self.ttl / 4
        self.next_campaign = now + self.turn + self.rng.uniform(spread / 2, spread)

    # -- the key --------------------------------------------------------------------

    def _renew(self, now: float) -> None:
        if self.lease is None:
            return
        self.renewing = True
        lease = self.lease
        self.next_renewal = now + self.ttl / 4
        self.out.calls.append(
            Call(
                "state",
                "POST",
                renew_lease_path(lease),
                lambda n, o: self._renewed(n, o, lease, now),
                b"{}",
                self.ttl / 3,
            )
        )

    def _renewed(self, now: float, outcome: CallOutcome, lease: int, sent: float) -> None:
        self.renewing = False
        if not self.leading or lease != self.lease:
            return
        if outcome.status == 200:
            self.lease_until = max(self.lease_until, sent + self.ttl * (1 - 2 * DRIFT))
            self.extension_until = max(self.extension_until, sent + self.times.extension)
        elif outcome.status == 404:
            self.lease, self.lease_until = None, min(self.lease_until, now)
        else:
            self.next_renewal = now + self.ttl / 12

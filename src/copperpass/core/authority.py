"""Who leads: a leased key and a token counter, changed in one transaction.

The lease is counted from the moment the request that won or renewed it was
sent, on this process's steady clock, less drift, so that this node's belief
always ends before the key can vanish. Tokens only rise.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from copperpass import wire
from copperpass.core.ledger import APPLIED, CONFLICT, Ledger, Op
from copperpass.core.ports import Call, Outbox, Outcome

DRIFT = 0.0005
LEAD, TOKEN = "c/lead", "c/token"


class Authority:
    """The election core of one node."""

    def __init__(
        self,
        member: str,
        ttl: float,
        out: Outbox,
        ledger: Ledger,
        rng: random.Random,
        on_change: Callable[[float, bool], None],
    ) -> None:
        self.member, self.ttl, self.out, self.ledger, self.rng = member, ttl, out, ledger, rng
        self.on_change = on_change
        self.lead: wire.LeadRecord | None = None
        self.lead_version = 0
        self.counter = 0
        self.counter_version = 0
        self.known = False
        self.leading = False
        self.token = 0
        self.win_revision = 0
        self.valid_until = 0.0
        self.lease: int | None = None
        self.lease_sent = 0.0
        self.campaigning = False
        self.next_campaign = 0.0
        self.next_renewal = 0.0
        self.renewing = False
        self.shun_until = 0.0

    # -- what the watch saw ---------------------------------------------------

    def saw(self, now: float, key: str, raw: bytes | None, version: int) -> None:
        """Take in a change of the leader key or of the token counter."""
        if key == LEAD:
            if version < self.lead_version and raw is not None:
                return
            had = self.lead
            self.lead = wire.decode(raw, wire.LeadRecord) if raw is not None else None
            self.lead_version = version if raw is not None else 0
            if had is not None and self.lead is None:
                self.next_campaign = max(now + self.rng.uniform(0, self.ttl / 20), self.shun_until)
            if self.leading and self.lead_is_gone():
                self.step_down(now, "leader key lost")
            if self.lead and self.lead.member == self.member and self.lead.lease != self.lease:
                # Our own earlier run still holds the key: that process is gone, so end its lease.
                self._drop(self.lead.lease)
        elif key == TOKEN and raw is not None and version > self.counter_version:
            record = wire.decode(raw, wire.TokenRecord)
            if record:
                self.counter, self.counter_version = record.token, version

    def lead_is_gone(self) -> bool:
        """Whether a watch newer than our win shows the key with somebody else, or gone."""
        if self.lead is None:
            return True
        return self.lead.lease != self.lease

    def entitled(self, now: float) -> bool:
        """Whether this node may act for the controllers at this moment."""
        return self.leading and now < self.valid_until

    def leader_name(self) -> str | None:
        """The member that leads, as far as this node knows."""
        return self.lead.member if self.lead else None

    # -- time -----------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Campaign, renew or step down as the time asks for."""
        if self.leading:
            if now >= self.valid_until:
                self.step_down(now, "lease ran out")
            elif now >= self.next_renewal and not self.renewing:
                self._renew(now)
            return
        free = self.known and self.lead is None and not self.campaigning
        if free and now >= max(self.next_campaign, self.shun_until):
            self._campaign(now)

    def step_down(self, now: float, why: str, shun: float = 0.0) -> None:
        """Give the authority up at once; `shun` keeps this node from campaigning."""
        if self.leading:
            self.out.log("info", "stepping down", why=why, token=self.token)
            self.leading = False
            self.valid_until = 0.0
            self.on_change(now, False)
        if self.lease is not None:
            self._drop(self.lease)
            self.lease = None
        self.shun_until = max(self.shun_until, now + shun)
        self.next_campaign = now + self.rng.uniform(0.2, 0.5) * self.ttl

    def _drop(self, lease: int) -> None:
        self.out.calls.append(
            Call("state", "DELETE", wire.path_lease(lease), lambda n, o: None, b"", self.ttl)
        )

    def _campaign(self, now: float) -> None:
        self.campaigning = True
        self.lease_sent = now
        body = wire.encode({"ttl_ms": int(self.ttl * 1000)})
        self.out.calls.append(
            Call("state", "POST", wire.PATH_LEASES, self._leased, body, self.ttl / 2)
        )

    def _leased(self, now: float, outcome: Outcome) -> None:
        made = wire.decode(outcome.body, wire.LeaseMade) if outcome.status == 200 else None
        if made is None or self.lead is not None:
            if made is not None:
                self._drop(made.lease)
            self._lost(now)
            return
        self.lease = made.lease
        token = self.counter + 1
        record = wire.LeadRecord(self.member, token, made.lease)
        self.ledger.submit(
            now,
            Op(
                {LEAD: 0, TOKEN: self.counter_version},
                [
                    wire.put(LEAD, msgspec.to_builtins(record), made.lease),
                    wire.put(TOKEN, {"token": token}),
                ],
                lambda n, how, rev: self._campaigned(n, how, rev, token),
                now + self.ttl / 2,
            ),
        )

    def _campaigned(self, now: float, how: str, revision: int, token: int) -> None:
        valid = self.lease_sent + self.ttl * (1 - 2 * DRIFT)
        if how == APPLIED and now < valid and self.lease is not None:
            self.campaigning = False
            self.leading = True
            self.token = token
            self.win_revision = revision
            self.lead = wire.LeadRecord(self.member, token, self.lease)
            self.lead_version = revision
            self.counter, self.counter_version = token, revision
            self.valid_until = valid
            self.next_renewal = self.lease_sent + self.ttl / 4
            self.out.log("info", "leading", token=token)
            self.on_change(now, True)
            return
        # Unknown outcome: end the lease, so that a late write of the key is refused or removed.
        if self.lease is not None:
            self._drop(self.lease)
            self.lease = None
        self._lost(now, quick=how == CONFLICT)

    def _lost(self, now: float, quick: bool = False) -> None:
        self.campaigning = False
        spread = self.ttl / 10 if quick else self.ttl / 4
        self.next_campaign = now + self.rng.uniform(spread / 2, spread)

    def _renew(self, now: float) -> None:
        if self.lease is None:
            return
        self.renewing = True
        lease = self.lease
        self.next_renewal = now + self.ttl / 4
        self.out.calls.append(
            Call(
                "state", "POST", wire.path_extend(lease),
                lambda n, o: self._renewed(n, o, lease, now), b"{}", self.ttl / 3,
            )
        )

    def _renewed(self, now: float, outcome: Outcome, lease: int, sent: float) -> None:
        self.renewing = False
        if not self.leading or lease != self.lease:
            return
        if outcome.status == 200:
            self.valid_until = max(self.valid_until, sent + self.ttl * (1 - 2 * DRIFT))
        elif outcome.status == 404:
            self.step_down(now, "lease ended")
        else:
            self.next_renewal = now + self.ttl / 12

"""One controller: the state machine that the reactor side feeds and drains."""

from __future__ import annotations

import random
from typing import Any

from copperpass import wire
from copperpass.core.authority import LEAD, TOKEN, Authority
from copperpass.core.jobs import LIVE, JobTable
from copperpass.core.ledger import Ledger
from copperpass.core.ports import Call, Outbox, Outcome
from copperpass.core.steward import FLEET, Steward
from copperpass.core.users import UserDesk
from copperpass.core.view import View
from copperpass.settings import Settings

TTL_PER_LEASE = 0.28
SHUN_PER_LEASE = 1.0


class Node:
    """Takes inputs; leaves calls, replies and log lines in its outbox."""

    def __init__(self, settings: Settings, seed: int) -> None:
        cluster = settings.cluster
        self.settings, self.cluster = settings, cluster
        self.rng = random.Random(seed)
        self.out = Outbox()
        self.ttl = cluster.workers.lease_s * TTL_PER_LEASE
        timeout = self.ttl / 3
        self.ledger = Ledger(self.out, cluster.state.write_rps, cluster.state.txn_ops, timeout)
        self.desk = UserDesk(cluster, self.out, self.ledger, 1.6)
        self.desk.running = self.running_of
        self.jobs = JobTable()
        self.records: dict[str, tuple[list[Any], int]] = {}
        self.authority = Authority(
            settings.name, self.ttl, self.out, self.ledger, self.rng, self._authority_changed
        )
        self.view = View(self.out, self._saw, min(10.0, 2 * self.ttl), timeout)
        self.steward: Steward | None = None
        self.types: dict[str, wire.MachineType] = {}
        self.next_types = 0.0
        self.fetching_types = False
        self.healthy_until = 0.0

    # -- inputs ------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """The passing of time; to be called many times a second."""
        self.view.tick(now)
        if self.view.listed:
            self.authority.known = True
        self.authority.tick(now)
        self.ledger.pump(now)
        if not self.fetching_types and now >= self.next_types:
            self._fetch_types(now)
        steward = self.steward
        if steward is not None:
            if not steward.ready and self.view.revision >= self.authority.win_revision:
                steward.begin(now)
            steward.tick(now)
            self._mind_isolation(now, steward)

    def report(self, now: float, body: bytes) -> tuple[int, bytes]:
        """POST /v1/report."""
        report = wire.decode(body, wire.Report)
        if report is None:
            return 400, wire.error("malformed report")
        steward = self.steward
        if steward is None or not self.authority.entitled(now):
            leader = self.authority.leader_name()
            return 421, wire.referral(leader if leader != self.settings.name else None)
        answer = steward.report(now, report)
        if answer is None:
            return 503, wire.error("not commanded here")
        return 200, wire.encode(answer)

    def healthy(self, now: float) -> bool:
        """Whether this node can take requests now."""
        if not self.types or not self.view.listed:
            return False
        # A watch waits for up to wait_s when nothing changes: only beyond that it is silence.
        return now - self.view.last_contact < self.view.wait_s + self.ttl

    def running_of(self, job_id: str) -> int:
        """How many tasks of a job run, as far as this node knows; for display."""
        job = self.jobs.jobs.get(job_id)
        return len(job.placed) if job else 0

    # -- what happens inside -------------------------------------------------------------

    def _saw(self, now: float, key: str, raw: bytes | None, version: int) -> None:
        if key in (LEAD, TOKEN):
            self.authority.saw(now, key, raw, version)
        elif key.startswith(LIVE):
            job, over = self.jobs.saw(now, key, raw, version)
            if self.steward is not None:
                if over and job is not None:
                    self.steward.job_over(now, job)
                self.steward.dirty = True
        elif key.startswith(FLEET):
            name = key[len(FLEET):]
            record = wire.decode(raw, list) if raw is not None else None
            if record is None:
                self.records.pop(name, None)
            else:
                self.records[name] = (record, version)
            if self.steward is not None:
                self.steward.saw_record(now, name, raw)

    def _authority_changed(self, now: float, leading: bool) -> None:
        for job in self.jobs.jobs.values():
            job.placed.clear()
            job.finished.clear()
            job.again.clear()
            job.next_index = 0
            job.storing = False
            job.failed_on.clear()
            job.failures = 0
            job.hold_until = 0.0
        if not leading:
            self.steward = None
            return
        authority = self.authority
        self.steward = Steward(
            self.cluster, self.out, self.ledger, self.jobs, self.types, self.records,
            authority.token, authority.win_revision, authority.entitled, now, self.rng,
        )

    def _mind_isolation(self, now: float, steward: Steward) -> None:
        """Step down when no worker can be heard: they may well hear the others."""
        up = sum(1 for m in steward.machines.values() if m.up or m.recorded)
        quiet = now - max(steward.last_report, steward.won_at)
        if up and quiet > max(2.5 * self.cluster.workers.report_s, self.ttl):
            shun = self.cluster.workers.lease_s * SHUN_PER_LEASE
            self.authority.step_down(now, "no worker heard", shun)

    def _fetch_types(self, now: float) -> None:
        self.fetching_types = True

        def then(n: float, outcome: Outcome) -> None:
            self.fetching_types = False
            offer = wire.decode(outcome.body, wire.MachineTypes) if outcome.status == 200 else None
            if offer is None:
                self.next_types = n + 1.0 + self.rng.random()
                return
            first = not self.types
            self.types.update({t.name: t for t in offer.types})
            self.desk.types = self.types
            if first and self.steward is not None:
                self.steward.boot_s = max(t.boot_s for t in self.types.values())
            # Only the leader needs prices that follow the market.
            self.next_types = n + (30.0 if self.steward is not None else 300.0)

        self.out.calls.append(Call("cloud", "GET", wire.PATH_TYPES, then, b"", 3.0))

"""One controller: the state machine that the reactor side feeds and drains."""

from __future__ import annotations

import random
from collections import OrderedDict

import msgspec

from copperpass import peer, wire
from copperpass.core.authority import LEAD, TOKEN, Authority, times_of
from copperpass.core.jobs import ENDS, LIVE, JobTable
from copperpass.core.ledger import GATHERED, Ledger, Op
from copperpass.core.ports import Call, Outbox, Outcome, Reply
from copperpass.core.relay import KNOWN_GUESTS, Relay
from copperpass.core.roster import FLEET
from copperpass.core.steward import Steward
from copperpass.core.users import UserDesk
from copperpass.core.view import View
from copperpass.settings import Settings
from copperpass.tuning import Tuning

SHUN_PER_LEASE = 1.0
TYPES = "c/types"


class Node:
    """Takes inputs; leaves calls, replies and log lines in its outbox."""

    def __init__(
        self, settings: Settings, seed: int, now: float, tuning: Tuning | None = None
    ) -> None:
        cluster = settings.cluster
        self.settings, self.cluster = settings, cluster
        self.rng = random.Random(seed)
        self.tuning = tuning or Tuning()
        self.out = Outbox()
        self.times = times_of(cluster)
        self.ttl = self.times.ttl
        timeout = self.ttl / 3
        self.ledger = Ledger(self.out, cluster.state.write_rps, cluster.state.txn_ops, timeout)
        self.desk = UserDesk(cluster, self.out, self.ledger, 1.6)
        self.desk.counts = self.counts_of
        self.jobs = JobTable()
        self.fleet: tuple[wire.FleetRecord | None, int] = (None, 0)
        self.versions: dict[str, int] = {}
        self.authority = Authority(
            settings.name, [m.name for m in settings.members], self.times, self.out,
            self.ledger, self.rng, self._authority_changed, now,
        )
        self.relay = Relay(self.out, cluster.workers.lease_s, cluster.workers.report_s)
        self.heard: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.view = View(self.out, self._saw, self.ttl / 2, timeout)
        self.last_state = now
        self.last_worker = float("-inf")
        self.peer_state: dict[str, float] = {}
        self.peer_worker: dict[str, float] = {}
        self.peer_heard: dict[str, float] = {}
        self.alone_token = -1
        self.peer_counts: dict[str, int] = {}
        self.next_beat = now
        self.next_counts = now
        self.steward: Steward | None = None
        self.types: dict[str, wire.MachineType] = {}
        self.next_types = 0.0
        self.fetching_types = False
        self.stored_types = b""

    # -- inputs ------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """The passing of time; to be called many times a second."""
        self.view.tick(now)
        self.relay.tick(now)
        if self.view.listed:
            self.authority.known = True
        self.authority.tick(now)
        self.ledger.pump(now)
        if self.steward is not None and not self.stored_types and self.types:
            # Refetch at once so that the first leader stores the offer.
            self.next_types = min(self.next_types, now + self.ttl)
        if not self.fetching_types and now >= self.next_types:
            self._fetch_types(now)
        steward = self.steward
        if steward is not None:
            if not steward.ready and self.view.revision >= self.authority.win_revision:
                steward.begin(now)
            steward.tick(now)
            self._mind_isolation(now, steward)
        if now >= self.next_beat:
            self._beat(now)

    def received(self, now: float, sender: str, frame: peer.Frame) -> None:
        """A frame from another controller."""
        self.peer_heard[sender] = now
        if isinstance(frame, peer.Beat):
            if frame.state_age_ms != peer.NEVER:
                self.peer_state[sender] = now - frame.state_age_ms / 1000
            if frame.worker_age_ms != peer.NEVER:
                self.peer_worker[sender] = now - frame.worker_age_ms / 1000
        elif isinstance(frame, peer.Counts):
            self.peer_counts = frame.running
        elif isinstance(frame, peer.Handed):
            report = wire.decode(frame.body, wire.Report)
            if report is not None:
                status, body = self._answer(now, report, True)
                self.out.send(sender, peer.Answered(frame.number, status, body))
        elif isinstance(frame, peer.Answered):
            self.relay.answered(frame)
        else:
            self.authority.received(now, sender, frame)

    def state_answered(self, now: float) -> None:
        """The state service has answered a request of this node."""
        self.last_state = now

    def report(self, now: float, request: object, body: bytes) -> None:
        """POST /v1/report."""
        report = wire.decode(body, wire.Report)
        if report is None:
            self.out.replies.append(Reply(request, 400, wire.error("malformed report")))
            return
        leader = self.authority.leader_name()
        if self._commands(now) or leader is None or leader == self.settings.name:
            self.out.replies.append(Reply(request, *self._answer(now, report, False)))
            return
        self._heard(now, report)
        linked = now - self.peer_heard.get(leader, float("-inf")) < self.ttl
        if linked and self.relay.hands_on(now, report.machine):
            self.relay.hand_on(now, request, body, leader)
        else:
            self.out.replies.append(Reply(request, 421, wire.referral(leader)))

    def _commands(self, now: float) -> bool:
        return self.steward is not None and self.authority.entitled(now)

    def _answer(self, now: float, report: wire.Report, handed: bool) -> tuple[int, bytes]:
        """What this node itself answers a report with."""
        if self.steward is None or not self.authority.entitled(now):
            return 421, wire.referral(None)
        answer = self.steward.report(now, report, handed)
        if answer is None:
            return 503, wire.error("not commanded here")
        if self.steward.last_report == now:
            self.last_worker = now
        return 200, wire.encode(answer)

    def _heard(self, now: float, report: wire.Report) -> None:
        """Note that a worker can be heard, unless it may be a late copy: only news counts."""
        stamp = (report.session, report.seq)
        before = self.heard.get(report.machine)
        if before is not None and stamp > before:
            self.last_worker = now
        if before is None or stamp > before:
            self.heard[report.machine] = stamp
            self.heard.move_to_end(report.machine)
            if len(self.heard) > KNOWN_GUESTS:
                self.heard.popitem(last=False)

    def healthy(self, now: float) -> bool:
        """Whether this node can take requests now."""
        if not self.types or not self.view.listed:
            return False
        # In an outage all nodes are alike, and leaving would only delay the return. A node that
        # is refused alone, while others are served, should take no requests.
        return not self._behind(now)

    def _behind(self, now: float) -> bool:
        """Whether another node has reached the state service well after this one last did."""
        latest = max(self.peer_state.values(), default=float("-inf"))
        return latest - self.last_state > self.ttl

    def counts_of(self, job_id: str) -> tuple[int, int]:
        """How many tasks of a job are done and run, as far as this node knows; for display."""
        job = self.jobs.jobs.get(job_id)
        done = job.done_count if job else 0
        if self.steward is None:
            return done, self.peer_counts.get(job_id, 0)
        return done, len(job.placed) if job else 0

    # -- what happens inside -------------------------------------------------------------

    def _saw(self, now: float, key: str, raw: bytes | None, version: int) -> None:
        if key in (LEAD, TOKEN):
            self.authority.saw(now, key, raw, version)
        elif key == TYPES and raw is not None:
            # A node that has just started can judge submissions and command workers before
            # the cloud has answered it.
            offer = wire.decode(raw, wire.MachineTypes)
            self.stored_types = raw
            if offer is not None and not self.types:
                self._use_types(offer)
        elif key.startswith(LIVE):
            job, over = self.jobs.saw(now, key, raw, version)
            if self.steward is not None:
                if over and job is not None:
                    self.steward.job_over(now, job)
                self.steward.dirty = True
        elif key.startswith(ENDS):
            self.jobs.saw_ends(key, raw)
            self.versions[key] = version if raw is not None else 0
        elif key == FLEET:
            self.fleet = (wire.decode(raw, wire.FleetRecord) if raw is not None else None, version)
            if self.steward is not None:
                self.steward.saw_fleet(*self.fleet)

    def _authority_changed(self, now: float, leading: bool, continued: bool) -> None:
        if leading and continued and self.steward is not None:
            # Nobody else can have commanded in between: only the token rises.
            self.steward.raise_token(self.authority.token, self.authority.win_revision)
            return
        for job in self.jobs.jobs.values():
            job.placed.clear()
            job.finished.clear()
            job.results.clear()
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
            self.cluster, self.out, self.ledger, self.jobs, self.types, self.fleet,
            self.versions, authority.token, authority.win_revision, authority.entitled, now,
            self.tuning,
        )

    def _mind_isolation(self, now: float, steward: Steward) -> None:
        """Step down when no worker can be heard that others may well hear."""
        up = sum(1 for m in steward.machines.values() if m.up or m.recorded)
        heard = max(steward.last_report, steward.won_at)
        quiet = now - heard
        if up and quiet > max(2.5 * self.cluster.workers.report_s, self.ttl):
            shun = self.cluster.workers.lease_s * SHUN_PER_LEASE
            others = [at for at in self.peer_heard.values() if now - at < self.ttl]
            # With the last machine dead no node hears a worker: to step down then would only
            # pass the authority round, and nobody would hold it for long enough to replace it.
            if others:
                latest = max(self.peer_worker.values(), default=float("-inf"))
                if latest > heard + self.cluster.workers.report_s:
                    self.authority.step_down(now, "workers report elsewhere", shun)
            elif self.authority.others and self.alone_token != self.authority.token - 1:
                # Cut off from everybody. If nobody has led by the next time, there is nobody.
                self.alone_token = self.authority.token
                self.authority.step_down(now, "nobody heard", shun)
        if self.authority.bridging(now) and self._behind(now):
            # The state service refuses this node alone: another can lead with it.
            self.authority.step_down(now, "refused alone by the state service", self.ttl)

    def _beat(self, now: float) -> None:
        self.next_beat = now + self.times.promise / 4

        def age(at: float) -> int:
            return min(peer.NEVER - 1, int((now - at) * 1000)) if at > 0 else peer.NEVER

        beat = peer.Beat(self.authority.counter, age(self.last_state), age(self.last_worker))
        for other in self.authority.others:
            self.out.send(other, beat)
        if self.steward is not None and now >= self.next_counts:
            self.next_counts = now + 1.0
            counts = {j: len(job.placed) for j, job in self.jobs.jobs.items() if job.placed}
            for other in self.authority.others:
                self.out.send(other, peer.Counts(counts))

    def _fetch_types(self, now: float) -> None:
        self.fetching_types = True

        def then(n: float, outcome: Outcome) -> None:
            self.fetching_types = False
            offer = wire.decode(outcome.body, wire.MachineTypes) if outcome.status == 200 else None
            if offer is None:
                self.next_types = n + 1.0 + self.rng.random()
                return
            self._use_types(offer)
            self._store_types(n, offer)
            # Only the leader needs prices that follow the market.
            self.next_types = n + (30.0 if self.steward is not None else 300.0)

        self.out.calls.append(Call("cloud", "GET", wire.PATH_TYPES, then, b"", 3.0))

    def _use_types(self, offer: wire.MachineTypes) -> None:
        self.types.update({t.name: t for t in offer.types})
        self.desk.types = self.types
        if self.steward is not None:
            self.steward.boot_s = max(t.boot_s for t in self.types.values())

    def _store_types(self, now: float, offer: wire.MachineTypes) -> None:
        if self.steward is None or len(self.stored_types) > 0:
            return
        self.ledger.submit(
            now,
            Op({TOKEN: self.authority.win_revision}, [wire.put(TYPES, msgspec.to_builtins(offer))],
               lambda n, how, rev: None, now + self.ttl, GATHERED),
        )

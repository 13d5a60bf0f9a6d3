"""The leader's work: who owns which teams and machines, what is rented and what goes back."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from copperpass import peer, wire
from copperpass.core import allocation, dispatch, rental
from copperpass.core.authority import DRIFT, GRANT_PER_TTL, TOKEN, Authority, certain_lease_s
from copperpass.core.directory import (
    ANYBODY,
    EMPTY,
    MOST_HANDOVERS,
    OWN_POOL,
    UNPOOLED,
    Contact,
    Entry,
    Feed,
    Inbox,
    Status,
    Table,
    base_token,
)
from copperpass.core.fleet_store import FLEET, FleetStore, StoredFleet, page_number
from copperpass.core.jobs import Job, JobTable
from copperpass.core.ports import NO_ANSWER, Call, Outbox, Outcome
from copperpass.core.transactions import Budget, TransactionQueue
from copperpass.settings import Cluster
from copperpass.tuning import Tuning

Place = rental.Place
POOL_WINDOW = 2.4
# The part of patient work's room that doesn't count as warm room for work that can't wait.
PATIENT_PART = 1.0
UNKNOWN_REVISION = (1 << 62) - 1


@dataclass(slots=True)
class ManagedMachine:
    """A rented machine, as the leader sees it."""

    entry: Entry
    type: wire.MachineType
    rented_at: float
    status: Status
    up_at: float = 0.0
    idle_since: float = 0.0
    used_cpus: float = 0.0
    listed: bool = False
    releasing: bool = False
    release_sent: float = float("-inf")
    # The pool that it is asked back for; None: to be returned.
    back_for: int | None = None
    back_until: float = 0.0

    @property
    def place(self) -> Place:
        """What it was rented as."""
        return (self.entry.type, self.entry.zone, self.entry.spot)

    @property
    def spare(self) -> bool:
        """Whether it could be used elsewhere or returned now."""
        return (
            self.status.idle
            and self.status.settled
            and not self.releasing
            and not self.status.release
            and not self.entry.failed
        )


@dataclass(slots=True)
class Pool:
    """Teams that share an owner and its machines."""

    number: int
    teams: list[str]
    owner: str = ""
    serial: int = 0
    revision: int = UNKNOWN_REVISION
    # How far the table had come when the pool was given.
    at: int = 0
    reading: bool = False
    free_at: float = 0.0
    wants: list[tuple[Job, int, float]] = field(default_factory=list)
    wants_at: float = float("-inf")
    # The zones that jobs in it are tied to, as the owner says.
    ties: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Grantee:
    """A member that may own pools."""

    incarnation: int = 0
    # When this run of the member first asked.
    since: float = float("inf")
    heard: float = float("-inf")
    granted_until: float = float("-inf")
    feed: Feed[Entry] | None = None
    inbox: Inbox = field(default_factory=Inbox)


class ClusterManager:
    """Acts under one authority; a new one is made for each win that isn't a continuation."""

    def __init__(
        self,
        cluster: Cluster,
        out: Outbox,
        transactions: TransactionQueue,
        jobs: JobTable,
        types: dict[str, wire.MachineType],
        authority: Authority,
        fleet: StoredFleet,
        pools: dict[str, int],
        hints: dict[str, Entry],
        owners: dict[int, str],
        incarnation: int,
        linked: Callable[[float, str], bool],
        now: float,
        tuning: Tuning,
        proven: Callable[[], bool] = lambda: False,
    ) -> None:
        self.cluster, self.out, self.transactions, self.jobs = cluster, out, transactions, jobs
        self.types, self.authority, self.tuning = types, authority, tuning
        self.member = authority.member
        self.epoch = authority.token
        self.pool_of = pools
        # What the term before knew: whose each machine was, and who owned which pool.
        self.hints, self.owners = hints, owners
        self.linked = linked
        self.won_at = now
        self.ready = False
        self.grant_s = GRANT_PER_TTL * authority.ttl
        self.report_s = cluster.workers.report_s
        self.lease_s = certain_lease_s(cluster)
        self.table: Table[Entry] = Table()
        self.machines: dict[str, ManagedMachine] = {}
        self.gone: dict[str, float] = {}
        self.handover = 0
        # The table's number when a machine was last added to each pool.
        self.added: dict[int, int] = {}
        self.grantees: dict[str, Grantee] = {}
        self.grantees[self.member] = Grantee(incarnation, now, now, float("inf"))
        self.pools: dict[int, Pool] = {}
        for team, number in pools.items():
            self.pools.setdefault(number, Pool(number, [])).teams.append(team)
        self.serial = 0
        # When a pool last changed hands of the leader's own will.
        self.passed_at = now
        state = cluster.state
        self.fleet_store = FleetStore(
            transactions,
            self.token_version,
            state.value_kb * 1024,
            4 / state.least_write_rps,
            cluster.workers.lease_s,
            state.least_value_bytes,
            state.least_txn_ops,
            proven,
            state.next is not None,
        )
        self.saw_fleet(fleet)
        self.fleet_store.on_stored = self._marked_up
        self.paged = self.fleet_store.paged
        self.aims = dispatch.Aims(cluster.objectives, tuning.patience_s)
        self.scarce = dispatch.Scarce(types, tuning.keep_scarce_s)
        self.refusals = rental.Refusals()
        self.boot_s = rental.longest_boot(types)
        self.peak = rental.Peak(tuning.warm_window_boots * self.boot_s)
        self.cheap_peak = rental.Peak(tuning.cheap_window_boots * self.boot_s)
        # A pool's own peak is kept for longer: the fewer its jobs, the more they vary.
        window = POOL_WINDOW * tuning.warm_window_boots * self.boot_s
        self.peaks = {n: rental.Peak(window) for n in self.pools}
        # Urgent work that may use ordinary machines only, by pool: now, its peak, what there is.
        self.ordinary_left: dict[int, float] = {}
        self.ordinary_peaks = {
            n: rental.Peak(tuning.warm_window_boots * self.boot_s) for n in self.pools
        }
        self.ordinary_have: dict[int, float] = {}
        self.calls = Budget(0.9 * cluster.cloud.rps, max(1.8 * cluster.cloud.rps, 2.0))
        self.dear_excess = True
        self.patient_left = self.taken = 0.0
        self.allocations: allocation.Allocation | None = None
        self.booking = 0
        self.renting: dict[str, tuple[Place, int, int]] = {}
        self.next_list = self.next_plan = self.next_summary = now
        self.listing = False

    def token_version(self) -> int:
        """The version of the token counter that guards this term's writes."""
        return self.authority.win_revision

    # -- start of a term ---------------------------------------------------------------

    def begin(self, now: float) -> None:
        """The view has caught up with the win: know the machines that may hold tasks."""
        self.ready = True
        for name, place in self.fleet_store.places.items():
            if place[0] in self.types and name not in self.gone:
                hint = self.hints.get(name)
                known = hint is not None and not hint.gone
                pool = hint.pool if hint is not None and known else UNPOOLED
                contact = hint.contact if hint is not None and known else None
                self._add(now, name, place, pool, ANYBODY, contact)
        for request, (place, count) in list(self.fleet_store.booked.items()):
            # It may have been carried out: asked again, it names what it brought.
            pool = self._neediest()
            self.renting[request] = (place, count, pool)
            self._book(now, place, count, request, 3)
        self.fleet_store.begin(now)

    def saw_fleet(self, fleet: StoredFleet, key: str = FLEET, version: int = 0) -> None:
        """The watch brings a change of the fleet's records.

        Until this term begins it may be a late write of an earlier leader's; afterwards only this
        leader can have made it.
        """
        number = page_number(key)
        if not self.ready:
            self.fleet_store.load(fleet.record, fleet.version, fleet.pages)
        elif number is None:
            self.fleet_store.saw(fleet.version)
        else:
            self.fleet_store.saw_page(number, version, number in fleet.pages)

    def _marked_up(self, now: float, names: set[str]) -> None:
        for name in names:
            held = self.machines.get(name)
            if held is not None:
                self._set(held, recorded=True)

    def _set(self, held: ManagedMachine, **changes: object) -> None:
        held.entry = replace(held.entry, **changes)  # type: ignore[arg-type]
        self.table.put(held.entry)

    def _next_base(self) -> int:
        self.handover += 1
        return base_token(self.epoch, self.handover)

    def _add(
        self,
        now: float,
        name: str,
        place: Place,
        pool: int,
        may_hold: int,
        contact: Contact | None = None,
    ) -> ManagedMachine:
        recorded = name in self.fleet_store.stored
        base = self._next_base()
        entry = Entry(
            name,
            place[0],
            place[1],
            place[2],
            pool,
            base,
            may_hold if recorded else EMPTY,
            recorded,
            contact=contact,
        )
        held = ManagedMachine(entry, self.types[place[0]], now, Status(name, base))
        self.machines[name] = held
        self.table.put(entry)
        self.added[pool] = self.table.seq
        return held

    # -- grants ------------------------------------------------------------------------

    def pulled(self, now: float, sender: str, pull: peer.GrantRequest) -> peer.Grant | None:
        """A member asks to have its grants extended."""
        if pull.epoch != self.epoch or not self.authority.entitled(now):
            return None
        grantee = self.grantees.setdefault(sender, Grantee())
        if grantee.incarnation != pull.incarnation or grantee.feed is None:
            # It has just started, or has just come under this term: it holds nothing.
            if grantee.incarnation not in (0, pull.incarnation):
                # Its old grants are waited out all the same: a pull held back on an old connection
                # looks just like a restart.
                for pool in self.pools.values():
                    if pool.owner == sender:
                        self._disown(now, pool, grantee.granted_until)
            grantee.incarnation, grantee.since = pull.incarnation, now
            grantee.feed, grantee.inbox = Feed(self.table), Inbox()
        grantee.heard = now
        grantee.feed.acknowledged(pull.applied)
        self._share_out(now)
        # A grant never outlasts the authority behind it.
        length = max(0.0, min(self.grant_s, self.authority.remaining(now) * (1 - 2 * DRIFT)))
        # Recorded whether or not it owns a pool: a later grant may add one to the same time.
        grantee.granted_until = max(grantee.granted_until, now + length * (1 + 4 * DRIFT))
        if len(self.pools) > 1:
            granted = max(self.authority.granted_until, grantee.granted_until)
            self.authority.granted_until = granted
        return peer.Grant(
            self.epoch,
            pull.incarnation,
            pull.number,
            int(length * 1000),
            self.token_version(),
            self.dear_excess,
            grantee.inbox.applied,
            self.shares(),
        )

    def shares(self) -> tuple[peer.Share, ...]:
        """Who owns what."""
        return tuple(
            peer.Share(p.number, p.owner, p.serial, p.revision, p.at)
            for p in self.pools.values()
            if p.owner
        )

    def _disown(self, now: float, pool: Pool, free_at: float) -> None:
        """A pool has lost its owner: every machine of it needs a higher token."""
        self.out.log("info", "pool without owner", pool=pool.number, owner=pool.owner)
        pool.owner, pool.revision, pool.free_at = "", UNKNOWN_REVISION, free_at
        pool.wants, pool.reading, pool.ties = [], False, {}
        for held in list(self.machines.values()):
            if held.entry.pool == pool.number:
                may_hold = held.entry.may_hold
                if held.entry.recorded and may_hold == EMPTY:
                    may_hold = OWN_POOL
                self._rebase(now, held, pool.number, may_hold)

    def _rebase(
        self,
        now: float,
        held: ManagedMachine,
        pool: int,
        may_hold: int,
        status: Status | None = None,
    ) -> None:
        """Change who commands a machine, under a higher token."""
        base = self._next_base()
        held.back_for, held.back_until = None, 0.0
        proven = status is not None and may_hold == EMPTY and status.contact is not None
        contact = status.contact if status is not None and proven else held.entry.contact
        held.status = Status(held.entry.name, base, up=held.status.up)
        self._set(
            held,
            pool=pool,
            base=base,
            may_hold=may_hold,
            back=False,
            vacate=False,
            proven=proven,
            contact=contact,
        )
        self.added[pool] = self.table.seq

    def wait_out(self, before: ClusterManager) -> None:
        """Give no pool while a grant of one's own earlier term may run."""
        until = max(
            (t.granted_until for n, t in before.grantees.items() if n != self.member),
            default=float("-inf"),
        )
        for pool in self.pools.values():
            pool.free_at = max(pool.free_at, until)

    def _live(self, now: float) -> list[str]:
        return [
            name
            for name, t in self.grantees.items()
            if name == self.member or now - t.heard < 0.75 * self.grant_s
        ]

    def _share_out(self, now: float) -> None:
        """Give pools without an owner to live members, those with the fewest first."""
        live = self._live(now)
        early = now - self.won_at < 0.5 * self.grant_s
        coming = any(m not in live and self.linked(now, m) for m in self.authority.others)
        if len(self.pools) > 1 and coming and early:
            # Members whose beats come in will pull in a moment.
            return
        for pool in self.pools.values():
            if pool.owner or now < pool.free_at or not self.ready:
                continue
            if len(self.pools) == 1:
                chosen = self.member
            else:
                loads = {n: sum(p.owner == n for p in self.pools.values()) for n in live}
                before = self.owners.get(pool.number)
                chosen = min(live, key=lambda n: (loads[n], n == self.member, n != before, n))
            self.serial += 1
            # Kept for it until it has had time to ask.
            grantee = self.grantees[chosen]
            grantee.granted_until = max(grantee.granted_until, now + self.grant_s)
            pool.owner, pool.serial, pool.at = chosen, self.serial, self.table.seq
            if pool.free_at <= self.won_at:
                pool.revision = self.token_version()
            else:
                self._read_revision(now, pool)
            self.out.log("info", "pool given", pool=pool.number, owner=chosen, serial=pool.serial)

    def _relieve(self, now: float) -> None:
        """Give a pool of the leader's own to a member that has none.

        The first member to lead may have all pools before the others have asked, and one that was
        down comes back with none: without this the leader's processor would serve the whole fleet
        for good. The leader's own pools alone can pass at once, without waiting for a grant's end;
        each passing has its price, so it waits until all is quiet, or is done before any machine
        is up.
        """
        mine = [p for p in self.pools.values() if p.owner == self.member]
        if not mine or len(self.pools) == 1 or not self.ready:
            return
        busy = {p.owner for p in self.pools.values()}
        live = [n for n in self._live(now) if n not in busy]
        up = any(h.status.up or h.entry.may_hold != EMPTY for h in self.machines.values())
        if up:
            settled = all(h.status.settled or not h.status.up for h in self.machines.values())
            quiet = now - max(self.passed_at, self.won_at) > self.lease_s
            if not settled or not quiet:
                return
            live = [n for n in live if now - self.grantees[n].since > self.lease_s]
        if live:
            self.passed_at = now
            self._disown(now, mine[0], now)

    def _read_revision(self, now: float, pool: Pool) -> None:
        """Learn a revision that is certainly after all that the last owner can have seen."""
        if pool.reading:
            return
        pool.reading, serial = True, pool.serial

        def then(n: float, outcome: Outcome) -> None:
            applied = wire.decode(outcome.body, wire.Applied) if outcome.status == 200 else None
            if pool.serial == serial:
                pool.reading = False
                if applied is not None:
                    pool.revision = applied.revision

        self.out.calls.append(
            Call(
                "state",
                "POST",
                wire.PATH_TXN,
                then,
                wire.transaction({TOKEN: self.token_version()}, []),
                self.authority.ttl / 3,
            )
        )

    # -- what owners tell -----------------------------------------------------------------

    def told(self, now: float, sender: str, statuses: Iterable[Status]) -> None:
        """An owner's table has news."""
        for status in statuses:
            held = self.machines.get(status.name)
            if held is None or status.base != held.entry.base:
                continue
            if self._owner_of(held) != sender:
                continue
            self._take(now, held, status)

    def _owner_of(self, held: ManagedMachine) -> str:
        pool = self.pools.get(held.entry.pool)
        return pool.owner if pool is not None else ""

    def _take(self, now: float, held: ManagedMachine, status: Status) -> None:
        if held.status.up and not status.up:
            # A new owner has not heard it yet; that doesn't make it one that never came up, which
            # would be deleted with all that runs there.
            status = replace(status, up=True)
        if status.up and not held.status.up:
            held.up_at = held.idle_since = now
            self.fleet_store.came_up(now, held.entry.name, held.place)
        if status.idle and not held.status.idle:
            held.idle_since = now
        before, held.status = held.status, status
        held.used_cpus = status.used_cpus
        if status.settled and not before.settled and held.entry.may_hold != EMPTY:
            self._set(held, may_hold=EMPTY)
        if status.contact is not None and not status.given:
            self._heard(held, status.contact.address, status.contact.session)
        if status.given:
            self._given(now, held, status)
            return
        if held.entry.back and not held.entry.vacate and (not status.idle or now > held.back_until):
            held.back_for = None
            self._set(held, back=False)
        if status.release and not held.releasing:
            self._release(now, [held])

    def _heard(self, held: ManagedMachine, address: str, session: int) -> None:
        """Where a machine answers; kept for whoever commands it next."""
        known = held.entry.contact
        if known is None or (known.address, known.session) != (address, session):
            self._set(held, contact=Contact(address, session, 0))

    def _given(self, now: float, held: ManagedMachine, status: Status) -> None:
        """An owner has given a machine back: nobody commands it now."""
        if status.pool != UNPOOLED:
            # It holds tasks of another pool.
            self._rebase(now, held, status.pool, held.entry.may_hold or OWN_POOL)
        elif held.back_for is not None:
            self._rebase(now, held, held.back_for, EMPTY, status)
        else:
            self._rebase(now, held, UNPOOLED, EMPTY, status)
            self._release(now, [held])

    def _ask_back(
        self, now: float, held: ManagedMachine, pool: int | None, vacate: bool = False
    ) -> None:
        if held.entry.pool == UNPOOLED:
            return
        held.back_for, held.back_until = pool, now + self.report_s
        self._set(held, back=True, vacate=vacate)

    def tied(self, frame: peer.ZoneTies) -> None:
        """An owner says in which zone jobs must find room; older owners don't."""
        pool = self.pools.get(frame.pool)
        if pool is not None:
            pool.ties = dict(frame.zones)

    def asked(self, now: float, wants: peer.MachineRequests) -> None:
        """An owner has tasks that its machines have no room for in time."""
        pool = self.pools.get(wants.pool)
        if pool is None or wants.applied < self.added.get(pool.number, 0):
            return
        jobs = self.jobs.jobs
        pool.wants = [(jobs[j], n, left) for j, n, left in wants.wants if j in jobs]
        pool.wants_at = now
        if pool.wants and len(self.pools) > 1 and self.ready:
            # Idle machines of others can serve at once; renting waits for the next plan.
            _, tight = self._demand(now)
            self.peaks[pool.number].add(now, tight[pool.number])
            self._serve_wants(now, pool, self._serving(), {}, {}, rent=False)

    # -- machines that nobody owns ----------------------------------------------------------

    def unowned(self, now: float, report: wire.Report) -> None:
        """A machine reports that is in nobody's pool: find out whose it is."""
        held = self.machines.get(report.machine)
        if held is None:
            if report.machine in self.gone or report.type not in self.types:
                return
            # Unexpected: rented by a request that was carried out late, or a late copy about a
            # machine that is gone. Whoever owns it will see whether answers reach it.
            place = (report.type, report.zone, report.spot)
            held = self._add(now, report.machine, place, UNPOOLED, EMPTY)
        if held.entry.pool != UNPOOLED or held.releasing:
            return
        counts: dict[int, int] = {}
        for task in report.tasks:
            job = self.jobs.jobs.get(task.task.rpartition("/")[0])
            if job is not None and job.spec.team in self.pool_of:
                number = self.pool_of[job.spec.team]
                counts[number] = counts.get(number, 0) + 1
        pool = max(counts, key=lambda n: counts[n]) if counts else self._neediest()
        self._rebase(now, held, pool, held.entry.may_hold)

    def _neediest(self) -> int:
        """The pool whose tasks have the least room for their number."""

        def pressure(pool: Pool) -> tuple[float, int]:
            want = sum(n * job.spec.cpus for job, n, _ in pool.wants)
            return (-want, pool.number)

        return min(self.pools.values(), key=pressure).number

    # -- time --------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Everything that the passing of time asks for."""
        if not self.ready or not self.authority.entitled(now):
            return
        if self.handover >= MOST_HANDOVERS - len(self.machines) - 1000:
            # Only a new term has tokens for more handovers.
            self.authority.step_down(now, "handovers used up")
            return
        if self.fleet_store.stuck():
            self.authority.step_down(now, "a write of the fleet's record is in doubt")
            return
        for pool in self.pools.values():
            grantee = self.grantees.get(pool.owner)
            if (
                pool.owner
                and pool.owner != self.member
                and (grantee is None or now > grantee.granted_until)
            ):
                self._disown(now, pool, now)
            if pool.owner and pool.revision == UNKNOWN_REVISION:
                self._read_revision(now, pool)
        self._relieve(now)
        self._share_out(now)
        self.fleet_store.tick(now)
        if self.fleet_store.paged and not self.paged:
            # From here on there is no going back to a version that knows `c/fleet` alone.
            self.paged = True
            self.out.log("info", "fleet moved", pages=len(self.fleet_store.pages))
        if now >= self.next_list and not self.listing:
            self._list(now)
        if now >= self.next_plan and self.types:
            self.next_plan = now + max(self.report_s / 4, 2.0 / self.cluster.cloud.rps)
            self._plan(now)
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        for held in list(self.machines.values()):
            slow = 5 * held.type.boot_s
            never = not held.status.up and now - held.rented_at > slow
            again = held.releasing and now - held.release_sent > 2.0
            if again or (never and not held.releasing):
                self._release(now, [held])
            unclaimed = held.entry.may_hold != EMPTY and held.entry.pool == UNPOOLED
            if unclaimed and now - self.won_at > self.lease_s + self.grant_s:
                # Nobody has answered it in this term, nor under a grant of the term before, so its
                # session is over; it is gone.
                self._set(held, may_hold=EMPTY)
                self._release(now, [held])
        keep = 20 * self.cluster.cloud.list_lag_s + 4 * self.lease_s
        for name in [n for n, at in self.gone.items() if now - at > keep]:
            del self.gone[name]

    # -- rental ------------------------------------------------------------------------------

    def _serving(self) -> list[ManagedMachine]:
        return [
            h
            for h in self.machines.values()
            if not h.releasing and not h.status.release and not h.entry.failed
        ]

    def _demand(self, now: float) -> tuple[float, dict[int, float]]:
        """CPUs of work that can't wait for a boot, in all and by pool."""
        tight: dict[int, float] = dict.fromkeys(self.pools, 0.0)
        ordinary: dict[int, float] = dict.fromkeys(self.pools, 0.0)
        patient = 0.0
        jobs = list(self.jobs.jobs.values())
        dispatch.judge_guarantees(jobs, {t.name: t.cpus for t in self.cluster.teams})
        self.scarce.note(now, jobs)
        guarantee = self.aims.guarantee
        for job in jobs:
            wait = self.aims.tightest_wait(job.spec.job_class)
            within = wait is not None and wait < self.boot_s
            if guarantee is not None and guarantee < self.boot_s:
                within = within or job.guaranteed
            if within and job.spec.team in self.pool_of:
                left = job.spec.tasks - job.done_count - len(job.finished)
                number = self.pool_of[job.spec.team]
                tight[number] += left * job.spec.cpus
                if not job.spec.spot:
                    ordinary[number] += left * job.spec.cpus
            else:
                patient += (job.spec.tasks - job.done_count) * job.spec.cpus
        self.patient_left, self.ordinary_left = patient, ordinary
        return sum(tight.values()), tight

    def _plan(self, now: float) -> None:
        """Compute shares, move what idles to where it is needed, rent the rest, return."""
        total, tight = self._demand(now)
        limit = sum(t.cpus_max for t in self.cluster.teams)
        self.peak.add(now, min(total, limit))
        self.cheap_peak.add(now, min(total, limit))
        for number, cpus in tight.items():
            self.peaks[number].add(now, cpus)
            self.ordinary_peaks[number].add(now, self.ordinary_left[number])
        warm = rental.Warm(self.peak.value(), self.cheap_peak.value())
        serving = self._serving()
        self.ordinary_have = dict.fromkeys(self.pools, 0.0)
        for held in serving:
            if not held.entry.spot and not held.entry.back and held.entry.pool in self.pools:
                self.ordinary_have[held.entry.pool] += held.type.cpus
        room = sum(h.type.cpus for h in serving)
        used = sum(h.used_cpus for h in serving)
        # Where a class can't wait for a boot: else nothing is gained by keeping room beside work
        # that can wait, and a good deal is paid for it.
        apart = PATIENT_PART if self.aims.urgent(self.boot_s) else 0.0
        self.taken = apart * min(self.patient_left, max(0.0, used - total))
        self.dear_excess = room - self.taken > warm.any
        mixes = self._mixes()
        self.allocations = self._allocate(serving, mixes)
        order = sorted(self.pools.values(), key=lambda p: self._fullness(p, serving, mixes))
        if not any(h.entry.may_hold == ANYBODY for h in serving):
            wanted: dict[tuple[Place, int], int] = {}
            zones: dict[str, int] = {}
            for held in serving:
                zones[held.entry.zone] = zones.get(held.entry.zone, 0) + 1
            for pool in order:
                self._serve_wants(now, pool, serving, wanted, zones)
            self._keep_warm(now, warm, serving, room, wanted, zones)
            self._balance(now, serving)
            for (place, number), count in wanted.items():
                if not any(p == place for p, _, _ in self.renting.values()):
                    self._rent(now, place, min(count, 50), number)
        if now >= self.next_summary:
            self.next_summary = now + 5 * self.report_s
            self._summary(warm.any, total)
        self._return_idle(now, warm)

    def _may_leave(self, held: ManagedMachine) -> bool:
        """Whether a machine's pool keeps enough ordinary room for its urgent work without it."""
        if held.entry.spot or held.entry.pool not in self.pools:
            return True
        number = held.entry.pool
        need = self.ordinary_peaks[number].value()
        return need <= 0 or self.ordinary_have.get(number, 0.0) - held.type.cpus >= need

    def _leaves(self, held: ManagedMachine) -> None:
        if not held.entry.spot and held.entry.pool in self.ordinary_have:
            self.ordinary_have[held.entry.pool] -= held.type.cpus

    def _gang_zone(
        self,
        now: float,
        spec: wire.Spec,
        count: int,
        rooms: list[rental.Room],
        spare: list[ManagedMachine],
    ) -> str | None:
        """The zone where most of a gang's tasks find room already and the rest can be rented."""
        slots: dict[str, int] = {}
        offers = rooms + [rental.new_room(h.type, h.place) for h in spare]
        for room in offers:
            slots[room.zone] = slots.get(room.zone, 0) + room.slots(spec, count, self.boot_s)
        for zone in sorted(slots, key=lambda z: (-slots[z], z)):
            if slots[zone] > 0 and (
                slots[zone] >= count
                or rental.choose_place(
                    spec, 1, self.types, {}, self.refusals, now, False, set(), zone
                )
            ):
                return zone
        return None

    def _mixes(self) -> dict[str, list[float]]:
        """What is left to do of each team: tasks, their CPUs, their GPUs or memory."""
        mixes: dict[str, list[float]] = {}
        for job in self.jobs.jobs.values():
            left = job.spec.tasks - job.done_count
            second = job.spec.gpus if self.cluster.gpus_matter else job.spec.memory_gb
            mix = mixes.setdefault(job.spec.team, [0.0, 0.0, 0.0])
            mix[0] += left
            mix[1] += left * job.spec.cpus
            mix[2] += left * second
        return mixes

    def _allocate(
        self, serving: list[ManagedMachine], mixes: dict[str, list[float]]
    ) -> allocation.Allocation:
        """Bottleneck-aware allocation of all machines among the teams that ask."""
        gpus_matter = self.cluster.gpus_matter
        claims = []
        for team in self.cluster.teams:
            tasks, cpus, other = mixes.get(team.name, (0.0, 0.0, 0.0))
            if tasks <= 0:
                continue
            cap = min(tasks, team.cpus_max * tasks / cpus) if cpus > 0 else tasks
            weight = team.gpus if gpus_matter and team.gpus > 0 else team.cpus
            claims.append(
                allocation.Claim(team.name, (cpus / tasks, other / tasks), max(weight, 1e-3), cap)
            )
        return allocation.allocate(
            claims,
            (
                sum(h.type.cpus for h in serving),
                sum(h.type.gpus if gpus_matter else h.type.memory_gb for h in serving),
            ),
        )

    def _fullness(
        self, pool: Pool, serving: list[ManagedMachine], mixes: dict[str, list[float]]
    ) -> float:
        """A pool's machines as a part of its allocation: the furthest below comes first."""
        have = sum(h.type.cpus for h in serving if h.entry.pool == pool.number)
        mine = [mixes[t] for t in pool.teams if t in mixes]
        left, cpus = sum(mix[0] for mix in mine), sum(mix[1] for mix in mine)
        given = self.allocations.tasks if self.allocations else {}
        share = sum(given.get(t, 0.0) for t in pool.teams)
        target = cpus * share / left if left > 0 else 0.0
        return have / target if target > 0 else float("inf")

    def _serve_wants(
        self,
        now: float,
        pool: Pool,
        serving: list[ManagedMachine],
        wanted: dict[tuple[Place, int], int],
        zones: dict[str, int],
        rent: bool = True,
    ) -> None:
        """Find room for what a pool's owner has none for: idle machines first, then new ones."""
        if now - pool.wants_at > 2 * self.report_s:
            return
        rooms = [
            rental.new_room(self.types[place[0]], place)
            for place, count, number in self.renting.values()
            if number == pool.number
            for _ in range(count)
        ]
        coming = [h for h in serving if h.back_for == pool.number and h.entry.back]
        rooms += [rental.new_room(h.type, h.place) for h in coming]
        spare = [
            h
            for h in serving
            if h.spare
            and h.entry.pool != pool.number
            and not h.entry.back
            and h.entry.pool != UNPOOLED
        ]
        spare.sort(key=lambda h: dispatch.price_of(h.type, h.entry.spot) / h.type.cpus)
        cover = self._cover(serving)
        theirs: list[rental.Room] | None = None
        for job, count, horizon in pool.wants:
            spec = rental.tied(job.spec, [z for z in (pool.ties.get(job.spec.id),) if z])
            closed = self.scarce.closed_to(spec)
            zone: str | None = None
            if spec.gang and spec.one_zone:
                # All of it in one zone: what the pool has there, then what is moved or rented. The
                # owner asks for the whole: only the leader can complete what one zone has.
                if theirs is None:
                    theirs = [
                        rental.left_room(h.type, h.place, h.used_cpus)
                        for h in serving
                        if h.entry.pool == pool.number
                    ]
                zone = spec.zone or self._gang_zone(now, spec, count, rooms + theirs, spare)
                here = [r for r in rooms + theirs if r.zone == zone]
                left = rental.fill(here, spec, count, horizon, closed)
            else:
                left = rental.fill(rooms, spec, count, horizon, closed)
            # Work that can wait for longer than a boot asks only for the cheap kind at first.
            # Not for the rest of a gang, for which other machines are kept idle meanwhile.
            patient = (
                horizon > self.tuning.patient_boots * self.boot_s and spec.spot and (zone is None)
            )
            for held in list(spare):
                if left <= 0:
                    break
                own = held.entry.pool
                if (zone is not None and held.entry.zone != zone) or not self._may_leave(held):
                    continue
                if (
                    held.type.name in closed
                    or (patient and self.dear_excess and not held.entry.spot)
                    or not cover.may_lend(own, pool.number, held.type.cpus)
                ):
                    continue
                room = rental.new_room(held.type, held.place)
                taken = room.take(spec, left, horizon)
                if taken > 0:
                    left -= taken
                    cover.move(own, pool.number, held.type.cpus)
                    rooms.append(room)
                    spare.remove(held)
                    self._leaves(held)
                    self._ask_back(now, held, pool.number)
            while rent and left > 0 and sum(wanted.values()) < 50 and not self.fleet_store.full():
                place = rental.choose_place(
                    spec, left, self.types, zones, self.refusals, now, patient, closed, zone
                )
                if place is None:
                    break
                if spec.gang and spec.one_zone:
                    zone = place[1]
                room = rental.new_room(self.types[place[0]], place)
                taken = room.take(spec, left, horizon)
                if taken <= 0:
                    break
                left -= taken
                rooms.append(room)
                zones[place[1]] = zones.get(place[1], 0) + 1
                wanted[(place, pool.number)] = wanted.get((place, pool.number), 0) + 1
            if rent and left > 0 and horizon <= self.boot_s:
                # Nothing can be rented: what others keep for later serves who needs it now.
                for held in spare:
                    if (
                        left > 0
                        and held.type.name not in closed
                        and (zone in (None, held.entry.zone) and self._may_leave(held))
                    ):
                        taken = rental.new_room(held.type, held.place).take(spec, left, horizon)
                        if taken > 0:
                            left -= taken
                            self._leaves(held)
                            self._ask_back(now, held, pool.number)
                spare = [h for h in spare if not h.entry.back]
            if rent and left > 0 and job.guaranteed and horizon <= self.boot_s:
                self._reclaim(now, pool, job, left, serving)

    def _reclaim(
        self, now: float, pool: Pool, job: Job, count: int, serving: list[ManagedMachine]
    ) -> None:
        """Give a pool its guarantee out of what another has beyond its own."""
        spec = job.spec
        for other in self.pools.values():
            theirs = [h for h in serving if h.entry.pool == other.number]
            own = sum(t.cpus for t in self.cluster.teams if t.name in other.teams)
            spare = sum(h.used_cpus for h in theirs) - own
            for held in sorted(theirs, key=lambda h: h.used_cpus):
                if other is pool or count <= 0 or spare < held.used_cpus or held.entry.back:
                    break
                room = rental.new_room(held.type, held.place)
                taken = room.take(spec, count, 0.0)
                if taken > 0 and held.type.name not in self.scarce.closed_to(spec):
                    count -= taken
                    spare -= held.used_cpus
                    self._ask_back(now, held, pool.number, vacate=True)

    def _keep_warm(
        self,
        now: float,
        warm: rental.Warm,
        serving: list[ManagedMachine],
        room: float,
        wanted: dict[tuple[Place, int], int],
        zones: dict[str, int],
    ) -> None:
        total = room - self.taken
        total += sum(self.types[p[0]].cpus * n for p, n, _ in self.renting.values())
        total += sum(self.types[place[0]].cpus * n for (place, _), n in wanted.items())
        dear = {name for names in self.scarce.seen for name in names}
        cover = self._cover(serving)
        for cpus, spot_only in ((warm.any, False), (warm.cheap, True)):
            while total < cpus and sum(wanted.values()) < 50 and not self.fleet_store.full():
                place = rental.choose_place(
                    None, 1, self.types, zones, self.refusals, now, spot_only, dear
                )
                if place is None:
                    break
                total += self.types[place[0]].cpus
                number = cover.least()
                cover.have[number] += self.types[place[0]].cpus
                zones[place[1]] = zones.get(place[1], 0) + 1
                wanted[(place, number)] = wanted.get((place, number), 0) + 1
        for number in self.pools:
            self._keep_ordinary(now, number, serving, wanted, dear)

    def _keep_ordinary(
        self,
        now: float,
        number: int,
        serving: list[ManagedMachine],
        wanted: dict[tuple[Place, int], int],
        closed: set[str],
    ) -> None:
        """Rent ordinary room for a pool's urgent work that may use no other.

        In the zone that has most of it, since a gang needs room in one zone; elsewhere when that
        zone has no more.
        """
        need = self.ordinary_peaks[number].value()
        zones: dict[str, float] = {}
        for held in serving:
            if held.entry.pool == number and not held.entry.spot:
                zones[held.entry.zone] = zones.get(held.entry.zone, 0.0) + held.type.cpus
        coming = [(place, count) for place, count, n in self.renting.values() if n == number]
        coming += [(place, count) for (place, n), count in wanted.items() if n == number]
        for place, count in coming:
            if not place[2]:
                cpus = self.types[place[0]].cpus * count
                zones[place[1]] = zones.get(place[1], 0.0) + cpus
        while (
            sum(zones.values()) < need and sum(wanted.values()) < 50 and not self.fleet_store.full()
        ):
            most = max(sorted(zones), key=lambda z: zones[z], default=None)
            found: Place | None = None
            for within in dict.fromkeys((most, None)):
                found = found or rental.choose_place(
                    None,
                    1,
                    self.types,
                    {},
                    self.refusals,
                    now,
                    False,
                    closed,
                    within,
                    dear_only=True,
                )
            if found is None:
                break
            zones[found[1]] = zones.get(found[1], 0.0) + self.types[found[0]].cpus
            wanted[(found, number)] = wanted.get((found, number), 0) + 1

    def _cover(self, serving: list[ManagedMachine]) -> rental.Cover:
        """How far each pool's machines, with those on their way, cover its urgent peak."""
        have = dict.fromkeys(self.pools, 0.0)
        for held in serving:
            number = held.entry.pool
            if held.entry.back and held.back_for is not None:
                number = held.back_for
            if number in have:
                have[number] += held.type.cpus
        for place, count, number in self.renting.values():
            have[number] += self.types[place[0]].cpus * count
        return rental.Cover(have, {n: peak.value() for n, peak in self.peaks.items()})

    def _balance(self, now: float, serving: list[ManagedMachine]) -> None:
        """Move idle machines to the pool whose peak is covered least, before it asks."""
        if len(self.pools) == 1:
            return
        cover = self._cover(serving)
        scarce = {name for names in self.scarce.seen for name in names}
        for held in serving:
            short, own = cover.least(), held.entry.pool
            if cover.of(short) >= 1.0:
                break
            spare = held.spare and not held.entry.back and own in cover.have and own != short
            if (
                spare
                and held.type.name not in scarce
                and self._may_leave(held)
                and (cover.may_lend(own, short, held.type.cpus))
            ):
                self._leaves(held)
                cover.move(own, short, held.type.cpus)
                self._ask_back(now, held, short)

    def _return_idle(self, now: float, warm: rental.Warm) -> None:
        """Ask back the dearest idle machines beyond the warm room."""
        serving = self._serving()
        total = sum(h.type.cpus for h in serving) - self.taken
        idle_s = self.tuning.idle_boots * self.boot_s
        idle = [
            h
            for h in serving
            if h.spare and not h.entry.back and now - max(h.idle_since, h.up_at) >= idle_s
        ]
        idle.sort(key=lambda h: -dispatch.price_of(h.type, h.entry.spot) / h.type.cpus)
        for held in idle:
            beyond = total - held.type.cpus >= (warm.cheap if held.entry.spot else warm.any)
            if beyond and self._may_leave(held):
                self._leaves(held)
                total -= held.type.cpus
                self._ask_back(now, held, None)

    def _summary(self, warm: float, tight: float) -> None:
        """Say for the log how the fleet stands."""
        kinds: dict[str, list[float]] = {}
        for h in self.machines.values():
            kind = "spot" if h.entry.spot else "ordinary"
            state = "up" if h.status.up else "starting"
            key = f"{h.entry.pool} {h.type.name} {kind} {state}"
            sums = kinds.setdefault(key, [0, 0.0, 0])
            sums[0] += 1
            sums[1] += h.type.cpus
            sums[2] += h.status.idle
        factors = self.allocations.factors if self.allocations else (0.0, 0.0)
        self.out.log(
            "info",
            "fleet",
            warm=round(warm),
            tight=round(tight),
            machines={k: [round(x) for x in v] for k, v in sorted(kinds.items())},
            owners={p.number: p.owner for p in self.pools.values()},
            factors=[round(f, 3) for f in factors],
        )

    def _rent(self, now: float, place: Place, count: int, pool: int) -> None:
        self.booking += 1
        # The token is this authority's alone, so the name is never used again by any node.
        request = f"b-{self.epoch}-{self.booking}"
        self.renting[request] = (place, count, pool)

        def stored(n: float, ok: bool) -> None:
            if ok and self.authority.entitled(n):
                self._book(n, place, count, request, 3)
            else:
                self.renting.pop(request, None)
                self.fleet_store.ended(n, request, [])

        self.fleet_store.book(now, request, place, count, stored)

    def _book(self, now: float, place: Place, count: int, request: str, tries: int) -> None:
        def then(n: float, outcome: Outcome) -> None:
            if outcome.status == 200:
                _, _, pool = self.renting.pop(request, (place, count, self._neediest()))
                rented = wire.decode(outcome.body, wire.Rented)
                names = rented.machines if rented else []
                if len(names) < count:
                    self.refusals.refused(place, n, self.boot_s / 2)
                else:
                    self.refusals.granted(place)
                self.out.log("info", "rented", place=str(place), count=len(names), pool=pool)
                self.fleet_store.ended(n, request, names)
                for name in names:
                    if name not in self.machines and name not in self.gone:
                        self._add(n, name, place, pool, EMPTY)
                return
            if outcome.status in (NO_ANSWER, 429) and tries > 1 and self.authority.entitled(n):
                self._book(n, place, count, request, tries - 1)
                return
            self.renting.pop(request, None)
            self.refusals.refused(place, n, self.boot_s / 2)
            if outcome.status != NO_ANSWER:
                self.fleet_store.ended(n, request, [])

        body = wire.rental(request, place[0], place[1], place[2], count)
        self.out.calls.append(Call("cloud", "POST", wire.PATH_RENTALS, then, body, 3.0))

    def _release(self, now: float, machines: list[ManagedMachine]) -> None:
        if not self.authority.entitled(now):
            return
        for held in machines:
            held.releasing = True
        waiting = [h for h in self.machines.values() if h.releasing and now - h.release_sent > 2.0][
            :100
        ]
        if not waiting or not self.calls.take(now, 1.0):
            return
        for held in waiting:
            held.release_sent = now

        def then(n: float, outcome: Outcome) -> None:
            if outcome.status == 200:
                for held in waiting:
                    self._gone(n, held)

        names = [h.entry.name for h in waiting]
        self.out.calls.append(
            Call("cloud", "POST", wire.PATH_RELEASE, then, wire.release(names), 3.0)
        )

    def _gone(self, now: float, held: ManagedMachine) -> None:
        """The cloud has confirmed: the machine and all on it are gone."""
        name = held.entry.name
        if self.machines.get(name) is not held:
            return
        del self.machines[name]
        self.gone[name] = now
        self._set(held, gone=True, may_hold=EMPTY)
        self.fleet_store.gone(now, name)

    def _list(self, now: float) -> None:
        if not self.calls.take(now, 1.0):
            return
        self.listing = True
        self.next_list = now + max(self.cluster.cloud.list_lag_s / 2, 4 / self.cluster.cloud.rps)
        self._page(now, "")

    def _page(self, now: float, after: str) -> None:
        def then(n: float, outcome: Outcome) -> None:
            page = wire.decode(outcome.body, wire.MachineList) if outcome.status == 200 else None
            if page is None or not self.ready:
                self.listing = False
                return
            self._listed(n, page.machines)
            if page.more and page.machines:
                self._page(n, page.machines[-1].id)
                return
            self.listing = False

        self.out.calls.append(Call("cloud", "GET", wire.path_machines(after), then, b"", 3.0))

    def _listed(self, now: float, machines: list[wire.ListedMachine]) -> None:
        for item in machines:
            if item.id in self.gone or item.type not in self.types:
                continue
            held = self.machines.get(item.id)
            if held is None:
                place = (item.type, item.zone, item.spot)
                held = self._add(now, item.id, place, UNPOOLED, EMPTY)
                held.rented_at = now - item.age_s
                self.fleet_store.rented(now, item.id, place)
            held.listed = True
            if item.address and held.entry.contact is None:
                self._heard(held, item.address, 0)
            if item.state == "failed" and not held.entry.failed:
                # It has stopped on its own: nothing runs there any more.
                self._set(held, failed=True, may_hold=EMPTY)
                self._release(now, [held])

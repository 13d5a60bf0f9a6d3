"""An owner's work: its teams' tasks on its machines, from reports to orders and rounds."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from copperpass import wire
from copperpass.core import allocation, dispatch, rental
from copperpass.core.authority import GRANT_PER_TTL, certain_lease_s, times_of
from copperpass.core.completions import CompletionStore
from copperpass.core.directory import (
    ANYBODY,
    EMPTY,
    HANDOVER_SHIFT,
    UNPOOLED,
    Contact,
    Entry,
    Status,
)
from copperpass.core.fleet import (
    NO_PRIORITY,
    UNIDENTIFIED,
    Machine,
    Placement,
    Tally,
    allows,
    type_fits,
    zone_allows,
)
from copperpass.core.jobs import EPS, LIVE, OVER, Job, JobTable, fits, parse_task, task_id
from copperpass.core.ports import NOT_SENT, Call, Outbox, Outcome
from copperpass.core.transactions import APPLIED, Op, TransactionQueue
from copperpass.settings import Cluster, Team
from copperpass.tuning import Tuning

# Attempts are told apart by term, then by ownership within the term, then counted.
EPOCH_SHIFT, SERIAL_SHIFT = 44, 28
# The part of a pool's room that overdue work gets before work that can still be in time.
LATE_PART = 0.5
# The part of its patience after which a job none of whose tasks has started finds any room.
KEPT_PART = 0.6
# A zone that is silent as a whole is waited for as many leases before its machines are deleted.
CUT_LEASES = 4.0
Images = dict[str, "OrderedDict[str, float]"]


class Silence:
    """How many of the machines that should be heard are silent, in all and in each zone."""

    def __init__(
        self, machines: Iterable[Machine], unsettled: set[str], now: float, silence: float
    ) -> None:
        self.zones: dict[str, list[int]] = {}
        for machine in machines:
            if machine.up or machine.name in unsettled:
                counts = self.zones.setdefault(machine.zone, [0, 0])
                counts[0] += now - machine.contact > silence
                counts[1] += 1
        self.silent = sum(counts[0] for counts in self.zones.values())
        self.all = sum(counts[1] for counts in self.zones.values())

    def few(self, zone: str) -> bool:
        """Whether most others can be heard, in all and in the zone."""
        return self.silent * 3 <= self.all and not self.cut(zone)

    def cut(self, zone: str) -> bool:
        """Whether most of a zone can't be heard, and it is more than a machine or two."""
        silent, known = self.zones.get(zone, (0, 0))
        return silent * 2 > known and silent > 2


class PoolScheduler:
    """Commands the machines of one pool of teams; a new one is made for each ownership."""

    def __init__(
        self,
        cluster: Cluster,
        out: Outbox,
        transactions: TransactionQueue,
        jobs: JobTable,
        types: dict[str, wire.MachineType],
        versions: dict[str, int],
        *,
        pool: int,
        pools: dict[str, int],
        epoch: int,
        serial: int,
        revision: int,
        token_version: Callable[[], int],
        entitled: Callable[[float], bool],
        now: float,
        tuning: Tuning | None = None,
        images: Images | None = None,
        fresh_at: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self.cluster, self.out, self.transactions, self.jobs = cluster, out, transactions, jobs
        self.types = types
        # The pool of each team; `teams` are ours.
        self.pool, self.pools = pool, pools
        self.teams: list[Team] = [t for t in cluster.teams if pools[t.name] == pool]
        self.epoch, self.serial = epoch, serial
        # Jobs created after this revision can't have been started by an earlier owner.
        self.revision = revision
        self.entitled = entitled
        # What was confirmed before this moment is in the view.
        self.fresh_at = fresh_at
        self.tuning = tuning or Tuning()
        self.images: Images = images if images is not None else {}
        self.scarce = dispatch.Scarce(types, self.tuning.keep_scarce_s)
        self.since = now
        self.ready = False
        # Set when the ownership has passed: answers that come later must not touch the jobs.
        self.over = False
        # What the leader should be told at once: tasks in need of machines, machines given back.
        self.needs_machines = self.returning = False
        # Jobs in need of machines that may only run in the zone where others of their tasks are.
        self.ties: dict[str, str] = {}
        self.urgent: set[str] = set()
        self.machines: dict[str, Machine] = {}
        self.tally = Tally()
        self.unsettled: set[str] = set()
        # Machines of other pools where tasks of this pool may be, by the leader's word.
        self.elsewhere: dict[str, tuple[str, str, bool]] = {}
        # Machines given back: their last status is told until the leader has moved them.
        self.given: dict[str, Status] = {}
        self.where: dict[str, set[str]] = {}
        self.aims = dispatch.Aims(cluster.objectives, self.tuning.patience_s)
        self.dirty = False
        self.report_s = cluster.workers.report_s
        self.lease_s = certain_lease_s(cluster)
        # A leader of an older version that gives up, or comes back within a moment, ends its key
        # before its grants: an owner of that term that hasn't seen it may answer workers for as
        # long as a grant.
        parted = len(set(pools.values())) > 1
        self.overlap_s = GRANT_PER_TTL * times_of(cluster).ttl if parted else 0.0
        self.silence = self.tuning.silence_reports * self.report_s
        # A worker that loses its way is back, over another node, after this long at most: to delete
        # its machine sooner would cost its tasks.
        self.lost_s = max(
            1.5 * self.silence, 1.25 * self.report_s + wire.REPORT_WAIT_S + 3 * wire.NEXT_NODE_S
        )
        self.last_report = now
        # Orders that are being sent straight to workers, and how many may be at once.
        self.directs = 0
        self.most_directs = max(
            8, cluster.resources.max_connections // (8 * len(set(pools.values())))
        )
        self.allocations: allocation.Allocation | None = None
        self.recent: dict[str, deque[tuple[float, float, float]]] = {
            t.name: deque(maxlen=64) for t in self.teams
        }
        self.boot_s = rental.longest_boot(types)
        # Whether dear machines could go back: else they stay up, and any work may use them.
        self.dear_excess = True
        # Ordinary machines that are kept for work that may use no other.
        self.kept: frozenset[str] = frozenset()
        self.ordinary_peak = rental.Peak(self.tuning.warm_window_boots * self.boot_s)
        self.gang_notice_s = cluster.workers.gang_notice_s
        self.gang_wait_s = cluster.workers.gang_wait_s or 2 * cluster.workers.lease_s
        self.next_scan = now
        self.next_round = now
        self.by_team = {t.name: t for t in self.teams}
        state = cluster.state
        self.completions = CompletionStore(
            jobs,
            transactions,
            token_version,
            versions,
            pool,
            0.8 * state.least_value_bytes,
            max(self.report_s / 2, 4 / state.least_write_rps),
            cluster.workers.lease_s,
            0.8 * state.value_kb * 1024,
        )
        self.gpus_matter = cluster.gpus_matter
        for job in jobs.jobs.values():
            if job.spec.team in self.by_team:
                job.forget_tasks()

    def mine(self) -> list[Job]:
        """The jobs of this pool's teams."""
        return [j for j in self.jobs.jobs.values() if j.spec.team in self.by_team]

    # -- start of an ownership -----------------------------------------------------

    def begin(self, now: float) -> None:
        """The view has caught up: what is not in it is over."""
        self.ready = True
        for machine in self.machines.values():
            for p in list(machine.tasks.values()):
                self._match_job(now, machine, p)
        self.dirty = True

    def learn(self, now: float, entry: Entry) -> None:
        """The leader's table has an entry for a machine."""
        name, machine = entry.name, self.machines.get(entry.name)
        told = self.given.get(name)
        if told is not None and (entry.base != told.base or entry.gone):
            del self.given[name]
        if entry.pool != self.pool or entry.gone:
            if entry.gone and machine is not None:
                self._gone(now, machine)
            elsewhere = entry.may_hold == ANYBODY and entry.pool != self.pool and not entry.gone
            if elsewhere and not entry.failed:
                self.elsewhere[name] = (entry.type, entry.zone, entry.spot)
            elif self.elsewhere.pop(name, None) is not None:
                self.dirty = True
            return
        self.elsewhere.pop(name, None)
        if machine is not None and entry.base > machine.base and not self.ready:
            # The share came before the table: what was known of the machine was of an earlier
            # ownership, and under that token it would not be heard ever again.
            for p in list(machine.tasks.values()):
                self._remove(now, machine, p)
            self.tally.drop(machine)
            self.unsettled.discard(name)
            del self.machines[name]
            machine = None
        if machine is None and name not in self.given:
            machine = self._add(now, entry)
        if machine is None:
            return
        if entry.recorded and not machine.recorded:
            machine.recorded, self.dirty = True, True
        if entry.failed and not machine.failed:
            # It has stopped on its own: nothing runs there any more.
            machine.failed = True
            self.unsettled.discard(name)
            self._session_over(now, machine)
        if entry.back:
            self._give_back(now, machine, entry.vacate)

    def _add(self, now: float, entry: Entry) -> Machine | None:
        machine_type = self.types.get(entry.type)
        if machine_type is None:
            return None
        machine = Machine(entry.name, machine_type, entry.zone, entry.spot, entry.base)
        machine.token = entry.base
        machine.idle_since = now
        machine.recorded = entry.recorded
        machine.images = self.images.setdefault(entry.name, machine.images)
        self.machines[entry.name] = machine
        self.dirty = True
        if entry.contact is not None:
            machine.address, machine.session = entry.contact.address, entry.contact.session
        if entry.proven and entry.contact is not None:
            # It can be commanded at once.
            machine.seq = entry.contact.seq
            machine.settled = machine.up = True
            machine.up_at = machine.last_report = machine.last_answer = now
        elif entry.recorded and entry.may_hold != EMPTY:
            # An earlier commander may have answered the worker up to this moment, or may yet.
            machine.last_answer = now + self.overlap_s
            self.unsettled.add(entry.name)
        return machine

    def _give_back(self, now: float, machine: Machine, vacate: bool) -> None:
        """The leader wants a machine for others: give it back if it is proven empty."""
        if machine.empty() and machine.settled and machine.deaf_since is None:
            contact = Contact(machine.address, machine.session, machine.seq)
            self._part(
                machine,
                Status(
                    machine.name,
                    machine.base,
                    up=True,
                    settled=True,
                    idle=True,
                    given=True,
                    contact=contact,
                ),
            )
        elif vacate:
            machine.vacating = True
            for p in list(machine.starts):
                self._remove(now, machine, p)
            for p in list(machine.tasks.values()):
                if p.active and p.stop is None:
                    self._stop(now, p, "reclaimed")
            self._send_direct(now, machine)

    def _part(self, machine: Machine, last: Status) -> None:
        del self.machines[machine.name]
        self.tally.drop(machine)
        self.unsettled.discard(machine.name)
        self.given[machine.name] = last
        self.returning = self.dirty = True

    def _gone(self, now: float, machine: Machine) -> None:
        """The cloud has confirmed: the machine and all on it are gone."""
        machine.vacating = False
        self.unsettled.discard(machine.name)
        self._session_over(now, machine)
        self.tally.drop(machine)
        self.machines.pop(machine.name, None)
        self.images.pop(machine.name, None)

    def statuses(self, now: float) -> list[Status]:
        """What the leader should know of the machines and has not been told."""
        told = list(self.given.values())
        for m in self.machines.values():
            # What is held for somebody must not be taken for idle and given back.
            idle = m.up and m.recorded and m.empty() and now >= m.wanted_until
            settled = m.settled and not m.foreign
            last = m.told
            if (
                last is None
                or last.base != m.base
                or last.up != m.up
                or last.idle != idle
                or last.settled != settled
                or last.release != m.releasing
                or last.used_cpus != m.used_cpus
                or m.told_session != m.session
            ):
                contact = Contact(m.address, m.session, 0) if m.address and m.up else None
                m.told_session = m.session
                m.told = Status(
                    m.name,
                    m.base,
                    m.up,
                    settled,
                    idle,
                    release=m.releasing,
                    used_cpus=m.used_cpus,
                    contact=contact,
                )
                told.append(m.told)
        return told

    def wants(self, now: float) -> list[tuple[str, int, float]]:
        """Tasks that the machines have no room for in time: job, count, seconds left."""
        waiting = [job for job in self.mine() if job.waiting() > 0]
        if not waiting:
            return []
        rooms = rental.rooms_of(self.machines.values(), now, self.silence)
        unmet = []
        self.ties.clear()
        taken = {team: self.tally.of(team)[0] for team in self.by_team}
        for job in dispatch.task_order(waiting, self.aims, now, self.boot_s / 2):
            spec, count = job.spec, job.waiting()
            room = self.by_team[spec.team].cpus_max - taken[spec.team]
            # Tasks that may be running where we have not looked yet need no machines.
            if not self._startable(job, now):
                continue
            if len(job.failed_on) >= 3 and not spec.gang:
                # Probably it has a mistake; but it must find room to try again while it is wanted.
                count = 1
            taken[spec.team] += count * spec.cpus
            if spec.cpus > 0:
                under = max(0, int(room / spec.cpus + EPS))
                if spec.gang and under < count:
                    # Its team's limit has no room for the whole, so it needs no machines.
                    continue
                count = min(count, under)
            horizon = max(0.0, self.aims.needed(job, now) - now)
            if spec.gang and job.placed:
                # The rest of a gang waits for it: what they take isn't free before.
                horizon = 0.0
            where = (self.machines[m].zone for m in job.placed.values() if m in self.machines)
            spec = rental.tied(spec, where)
            if spec.one_zone and spec.zone is not None:
                self.ties[spec.id] = spec.zone
            fill = rental.fill_gang if spec.gang else rental.fill
            left = fill(rooms, spec, count, horizon, self.scarce.closed_to(spec))
            if left > 0:
                unmet.append((spec.id, left, horizon))
        return unmet

    # -- reports --------------------------------------------------------------------

    def report(
        self, now: float, report: wire.Report, handed: bool = False
    ) -> wire.ReportAnswer | None:
        """Take a worker's report; None when it must not be answered with 200.

        `handed`: it came over another controller, since its worker doesn't reach this one.
        """
        machine = self.machines.get(report.machine)
        if machine is None or report.token >> HANDOVER_SHIFT > machine.base >> HANDOVER_SHIFT:
            return None
        if (report.session, report.seq) <= (machine.session, machine.seq):
            # A late copy: it changes nothing, and its answer carries no orders. What its answer
            # could renew was sent before the newest message that we know of came in.
            newest = max(machine.last_report, machine.last_message)
            machine.last_answer = max(machine.last_answer, newest)
            return wire.ReportAnswer(machine.token, [])
        # A worker that has found its way here can be told directly again: a new machine's first
        # report often comes to another controller.
        machine.handed_until = now + 2 * self.report_s if handed else float("-inf")
        self._take(now, machine, report, True)
        if self._doubtful(now, machine):
            return None
        if machine.settled:
            # Only two-way contact counts as hearing workers: a report alone may be a late copy.
            self.last_report = now
        machine.last_answer = max(machine.last_answer, now)
        commands = self._orders(now, machine, report)
        return wire.ReportAnswer(machine.token, commands)

    def _take(self, now: float, machine: Machine, report: wire.Report, full: bool) -> None:
        """Bring what we know of a machine up to a newer report."""
        if report.session != machine.session:
            if machine.session:
                # Its earlier tasks are gone. Whether the new session is ours alone only a token
                # can show: an earlier commander may have known it already.
                self._session_over(now, machine)
            machine.session = report.session
            # Its lease began before this was said. Counted from the last answer in the session
            # before, the end of that lease would free the tasks of the new one.
            machine.last_answer = max(machine.last_answer, now)
        machine.seq = report.seq
        machine.address = report.address
        machine.last_message = now
        if full or not machine.up:
            # Guards against a machine that can be commanded but can't report: nothing renews its
            # lease, so all that it is given is lost, and it must count as silent.
            machine.last_report = now
        if not machine.up:
            machine.up, machine.up_at, machine.idle_since = True, now, now
            self.dirty = True
        if report.notice_s is not None and machine.notice_until is None:
            machine.notice_until = now + report.notice_s
            self._noticed(now, machine)
        if machine.deaf_since is not None and report.token >= machine.probe:
            machine.deaf_since, self.dirty = None, True
        if not machine.settled and report.token >= machine.base:
            machine.settled = True
            self.unsettled.discard(machine.name)
            self.dirty = True
        listed = set()
        for task in report.tasks:
            name = parse_task(task.task)
            if name is None:
                continue
            key = (name[0], name[1], task.attempt)
            listed.add(key)
            p = machine.tasks.get(key)
            if p is None:
                p = self._adopt(now, machine, key)
            self._update(now, machine, p, task)
        belied = False
        for p in list(machine.tasks.values()):
            if p.key not in listed and self._proven_gone(machine, p, report, full):
                belied = belied or not p.seen
                self._remove(now, machine, p)
        if belied:
            self._strike(now, machine)
        if machine.stale:
            self.tally.recount(machine)
        if machine.tasks:
            machine.idle_since = now
            self._mind_foreign(now, machine)
        else:
            machine.foreign = False
            if machine.vacating and not machine.starts:
                self._give_back(now, machine, False)

    def _mind_foreign(self, now: float, machine: Machine) -> None:
        """Tasks of another pool are here: the leader didn't know whose machine it is."""
        foreign = [p for p in machine.tasks.values() if p.foreign]
        machine.foreign = bool(foreign)
        if not foreign:
            return
        if len(foreign) == len(machine.tasks) and not machine.do_in_flight:
            pool = next((p.pool for p in foreign if p.pool != UNPOOLED), UNPOOLED)
            if pool != UNPOOLED:
                self._part(
                    machine, Status(machine.name, machine.base, up=True, given=True, pool=pool)
                )
                return
        for p in foreign:
            if p.active and p.stop is None:
                p.stop, p.stopping_for = 0.0, "foreign"

    def _strike(self, now: float, machine: Machine) -> None:
        """What was sent has not arrived for certain, although reports do: it may be deaf.

        Such a machine would swallow starts again and again. It gets no new work until it shows a
        token that only an answer of ours can have brought it, which takes a report if all is well.
        """
        machine.token += 1
        machine.probe = machine.token
        if machine.deaf_since is None:
            machine.deaf_since = now
            self.out.log("debug", "machine may be deaf", machine=machine.name)

    def _proven_gone(self, machine: Machine, p: Placement, report: wire.Report, full: bool) -> bool:
        """Whether a report without the task proves that it is not, and will not be, there."""
        if p.seen:
            return True
        if p in machine.starts:
            return False
        if p.barrier:
            # The start went unanswered: only a report that has seen a higher token passes it.
            return report.token >= p.barrier
        if p.sent_seq >= 0:
            # Sent with an answer: the next report shows whether the answer was taken.
            return full and report.seq > p.sent_seq
        return False

    def _adopt(self, now: float, machine: Machine, key: tuple[str, int, int]) -> Placement:
        """A task of an earlier authority."""
        p = Placement(
            key[0],
            key[1],
            key[2],
            machine.name,
            UNIDENTIFIED,
            "",
            0,
            0.0,
            0.0,
            0.0,
            "",
            0.0,
            seen=True,
            sent_at=now,
        )
        machine.tasks[key] = p
        machine.stale = True
        self.where.setdefault(p.job_id, set()).add(machine.name)
        self._match_job(now, machine, p)
        return p

    def _match_job(self, now: float, machine: Machine, p: Placement) -> None:
        job = self.jobs.jobs.get(p.job_id)
        if job is not None:
            if self.pools.get(job.spec.team, self.pool) != self.pool:
                p.foreign, p.pool = True, self.pools[job.spec.team]
                return
            if p.team == UNIDENTIFIED:
                spec = job.spec
                p.team, p.job_class = spec.team, spec.job_class
                p.priority = wire.PRIORITIES[spec.priority]
                p.cpus, p.gpus, p.memory_gb = spec.cpus, spec.gpus, spec.memory_gb
                p.image, p.estimate_s = spec.image, spec.estimate_s
                machine.touch_image(spec.image, spec.image_gb)
                self.tally.recount(machine)
            if p.active and job.announce_cancelled:
                p.stop, p.stopping_for = 0.0, "called off"
            if p.active and p.index < job.spec.tasks:
                other = job.placed.get(p.index)
                if other is None and not job.is_done(p.index):
                    job.placed[p.index] = machine.name
                elif other != machine.name:
                    p.stop, p.stopping_for = 0.0, "duplicate"
            return
        if self._knows_over(p):
            if p.active:
                p.stop, p.stopping_for = 0.0, "job over"
            else:
                p.stored = True

    def _knows_over(self, p: Placement) -> bool:
        """Whether a task whose job is not in the view is certainly of a job that is over.

        The view is newer than our win, or than the report that showed the task: when it was
        started its job was there.
        """
        return self.ready or self.fresh_at() > p.sent_at

    def _doubtful(self, now: float, machine: Machine) -> bool:
        """Whether a machine has tasks of which nobody here knows if their job is over.

        To renew its lease would keep them alive. One owner may do so for a moment, until its view
        has caught up; but owners that follow one another while the state service is away would do
        it for good, and a job cancelled before that would go on past any bound.
        """
        if self.ready or now - self.fresh_at() < self.lease_s / 4:
            return False
        return any(
            p.team == UNIDENTIFIED and p.active and not p.foreign and p.stop is None
            for p in machine.tasks.values()
        )

    def _update(self, now: float, machine: Machine, p: Placement, task: wire.TaskReport) -> None:
        was_active = p.active
        p.seen = True
        if p.foreign:
            p.state = task.state
            machine.stale = True
            return
        job = self.jobs.jobs.get(p.job_id)
        if task.state != wire.EXITED:
            if was_active:
                if task.state in (wire.TASK_RUNNING, wire.SAVING) and not p.running_at:
                    p.running_at = now
                p.state = task.state
                if job is not None and job.spec.gang:
                    self._gang_seen(now, job, p)
                if job is None and p.stop is None and self._knows_over(p):
                    p.stop, p.stopping_for = 0.0, "job over"
            return
        if not was_active:
            return
        p.state, p.why = wire.EXITED, task.why or ""
        machine.stale = True
        if p.why != wire.WHY_DONE:
            self.out.log(
                "debug",
                "task ended",
                task=task.task,
                why=p.why,
                asked=p.stopping_for,
                machine=machine.name,
                ran=round(now - p.running_at, 1) if p.running_at else 0,
            )
        if p.team == UNIDENTIFIED and job is None:
            p.stored = self._knows_over(p)
            return
        self.dirty = True
        mine = (
            job is not None
            and job.placed.get(p.index) == machine.name
            and (self._alone(machine, p))
        )
        if job is None:
            p.stored = True
            return
        if p.why == wire.WHY_DONE and job.spec.gang:
            # They complete together: if one is done, all are. The others' machines may be lost with
            # their reports, and nothing is left that could run again.
            job.finished.update(i for i in range(job.spec.tasks) if not job.is_done(i))
        if p.why == wire.WHY_DONE:
            machine.errors.clear()
            job.failed_on.clear()
            job.failures = 0
            if mine:
                job.placed.pop(p.index, None)
            if job.is_done(p.index):
                p.stored = True
            else:
                job.finished.add(p.index)
                job.results.setdefault(p.index, []).append(p)
                self._store(now, job)
            return
        p.stored = True
        if mine:
            job.release(p.index)
        if p.why == wire.WHY_ERROR:
            self._failed(now, machine, job)
        elif p.why in (wire.WHY_NO_ROOM, wire.WHY_BUSY):
            machine.hold_until = now + self.report_s
        elif p.why == wire.WHY_UNKNOWN:
            # The worker fetches the description itself and may have been told nothing yet.
            job.hold_until = now + self.report_s
        if job.spec.gang:
            self._gang_exit(now, job, p)

    # -- gangs ---------------------------------------------------------------------

    def _gang_seen(self, now: float, job: Job, p: Placement) -> None:
        """A task of a gang is reported as active."""
        if not job.attempt and not job.ending:
            # Taken over from an earlier owner: what is missing joins its attempt.
            job.attempt = p.attempt
        if p.attempt != job.attempt:
            # Of another attempt, which only a leftover can be: neither may be added to.
            self._end_gang(now, job, "two attempts", 0.0)
        elif p.state in (wire.TASK_RUNNING, wire.SAVING):
            job.begun = True

    def _gang_exit(self, now: float, job: Job, p: Placement) -> None:
        """A task of a gang has ended without being done."""
        if job.ended():
            return
        if p.attempt == job.attempt and not job.ending:
            refused = p.why in (wire.WHY_NO_ROOM, wire.WHY_BUSY, wire.WHY_UNKNOWN)
            waiting = not job.begun and (
                refused or p.stop is not None or (p.why == wire.WHY_ERROR and not p.running_at)
            )
            if not waiting:
                # Whatever the rest does now, it can't complete under this attempt.
                self._end_gang(now, job, p.why, 0.0)
        job.settle_gang()

    def _end_gang(self, now: float, job: Job, why: str, grace: float) -> None:
        """An attempt is over: all its tasks go, told as close together as can be.

        Another begins only when every one of them is proven gone.
        """
        if job.ending:
            return
        job.ending = True
        self.out.log("info", "gang stopped", job=job.spec.id, why=why, begun=job.begun)
        for name in list(self.where.get(job.spec.id, ())):
            machine = self.machines.get(name)
            if machine is None:
                continue
            for p in list(machine.tasks.values()):
                if p.job_id != job.spec.id or not p.active:
                    continue
                if p in machine.starts:
                    self._remove(now, machine, p)
                elif p.stop is None:
                    p.stop, p.stopping_for, p.stop_sent = grace, why, 0.0
            self._send_direct(now, machine)
        job.settle_gang()

    def _stop(self, now: float, p: Placement, why: str) -> None:
        """Stop a task in order; of a gang that has begun all tasks, so that they save together."""
        job = self.jobs.jobs.get(p.job_id)
        if job is None or not job.spec.gang or not job.begun or job.ending:
            # A gang that hasn't begun waits for a replacement under the same attempt.
            p.stop, p.stopping_for, p.stop_sent = self._save_s(p), why, 0.0
        else:
            self._end_gang(now, job, why, self._save_s(p))

    def _gang_reached(self, now: float, job: Job) -> bool:
        """Whether all tasks of a gang can be told to stop within the time that saving takes."""
        for name in job.placed.values():
            machine = self.machines.get(name)
            if (
                machine is None
                or machine.deaf_since is not None
                or (now - machine.last_report > min(self.silence, self.gang_notice_s))
            ):
                return False
        return True

    @staticmethod
    def _alone(machine: Machine, p: Placement) -> bool:
        """Whether no other attempt of the task runs on the machine.

        Guards the attempt that runs: an ended one that was not cleared yet would free its task.
        """
        return not any(
            q is not p and q.active and q.index == p.index and q.job_id == p.job_id
            for q in machine.tasks.values()
        )

    def _failed(self, now: float, machine: Machine, job: Job) -> None:
        """Tell a sick machine (many jobs fail there) from a job with a mistake."""
        job.failures += 1
        job.failed_on.add(machine.name)
        machine.errors.add(job.spec.id)
        if len(job.failed_on) >= 3:
            # Guards the fleet against a job that fails everywhere: back off, longer each time.
            wait = self.report_s * 2 ** min(job.failures, 6)
            job.hold_until = max(job.hold_until, now + min(wait, self.lease_s))
        suspects = [
            j
            for j in machine.errors
            if j in self.jobs.jobs and len(self.jobs.jobs[j].failed_on) <= 2
        ]
        # A gang that fails here alone, again, while its other machines do well, finds nowhere else
        # to go: it is the machine. One with a mistake fails on others too.
        alone = job.spec.gang and job.failures >= 2 and job.failed_on == {machine.name}
        if (len(suspects) >= 2 or alone) and not machine.fenced:
            machine.fenced = True
            self.out.log("info", "machine fenced", machine=machine.name, jobs=len(suspects))
            for p in machine.tasks.values():
                if p.active and p.stop is None and not p.running_at:
                    p.stop, p.stopping_for, p.stop_sent = 0.0, "sick machine", 0.0
            for p in list(machine.starts):
                self._remove(now, machine, p)
        elif not machine.fenced:
            machine.hold_until = now + 2 * self.report_s

    def _noticed(self, now: float, machine: Machine) -> None:
        """The cloud takes the machine soon: let end what can end, move the rest in time."""
        assert machine.notice_until is not None
        left = machine.notice_until - now
        self.dirty = True
        for p in list(machine.starts):
            self._remove(now, machine, p)
        for p in list(machine.tasks.values()):
            if not p.active or p.stop is not None:
                continue
            job = self.jobs.jobs.get(p.job_id)
            if (
                job is not None
                and job.spec.gang
                and job.begun
                and (job.spec.save_s > left or not self._gang_reached(now, job))
            ):
                # It can't be saved in time: to run on may still complete it.
                continue
            if dispatch.remaining(p, now) > 1.5 * left:
                self._stop(now, p, "notice")

    def _save_s(self, p: Placement) -> float:
        """What a task is given to save itself when it is stopped."""
        job = self.jobs.jobs.get(p.job_id)
        return 1.2 * job.spec.save_s if job and job.spec.checkpoint_s > 0 else 0.0

    def _remove(self, now: float, machine: Machine, p: Placement) -> None:
        """A task is proven not to be on its machine."""
        machine.tasks.pop(p.key, None)
        if p in machine.starts:
            machine.starts.remove(p)
        job = self.jobs.jobs.get(p.job_id)
        placed = p.active and job is not None and job.placed.get(p.index) == machine.name
        if placed and job is not None and self._alone(machine, p):
            job.release(p.index)
            if job.spec.gang:
                if job.begun and p.attempt == job.attempt and not job.ended():
                    # The others notice and exit; what they did since the last checkpoint is lost.
                    self._end_gang(now, job, "task lost", 0.0)
                job.settle_gang()
        self.dirty = True
        self.tally.recount(machine)

    def _session_over(self, now: float, machine: Machine) -> None:
        for p in list(machine.tasks.values()):
            self._remove(now, machine, p)
        machine.starts.clear()
        machine.images.clear()
        if machine.vacating:
            self._give_back(now, machine, False)

    # -- orders ------------------------------------------------------------------------

    def _orders(self, now: float, machine: Machine, report: wire.Report) -> list[wire.Command]:
        """What the answer to a report tells the worker to do."""
        if not self.entitled(now):
            return []
        commands: list[wire.Command] = []
        raise_token = False
        for p in machine.tasks.values():
            name = task_id(p.job_id, p.index)
            if p.state == wire.EXITED:
                if not p.stored or not p.seen:
                    continue
                if p.direct and p.start_token >= report.token:
                    # A repeat of the start could still arrive: pass it with a higher token first.
                    raise_token = raise_token or machine.token <= p.start_token
                    continue
                commands.append(wire.Command(wire.FORGET, name, p.attempt))
            elif p.stop is not None and p.seen:
                commands.append(wire.Command(wire.STOP, name, p.attempt, p.stop))
                p.stop_sent = now
        if not machine.do_in_flight:
            if raise_token:
                machine.token += 1
            for p in machine.starts:
                p.sent_seq, p.direct, p.sent_at = report.seq, False, now
                p.start_token = machine.token
                commands.append(wire.Command(wire.START, task_id(p.job_id, p.index), p.attempt))
            machine.starts.clear()
        return commands

    def _send_direct(self, now: float, machine: Machine) -> None:
        """Send starts and stops at once, one request at a time for each machine."""
        if (
            machine.do_in_flight
            or not machine.address
            or machine.session == 0
            or now < max(machine.do_broken_until, machine.handed_until)
            or not self.entitled(now)
            or machine.releasing
            # Beyond the sockets that are kept for this, orders go with answers to reports.
            or self.directs >= self.most_directs
        ):
            return
        stops = [
            p
            for p in machine.tasks.values()
            if p.active and p.seen and p.stop is not None and p.stop_sent == 0.0
        ]
        if stops or machine.starts:
            self._direct(now, machine, stops, list(machine.starts))

    def _direct(
        self, now: float, machine: Machine, stops: list[Placement], starts: list[Placement]
    ) -> None:
        commands = []
        for p in stops:
            p.stop_sent = now
            commands.append(wire.Command(wire.STOP, task_id(p.job_id, p.index), p.attempt, p.stop))
        for p in starts:
            p.sent_at, p.direct, p.start_token = now, True, machine.token
            commands.append(wire.Command(wire.START, task_id(p.job_id, p.index), p.attempt))
        machine.starts.clear()
        machine.do_in_flight = True
        self.directs += 1
        body = wire.encode(wire.Direct(machine.token, max(1, machine.session), commands))
        self.out.calls.append(
            Call(
                "worker",
                "POST",
                wire.PATH_DO,
                lambda n, o: self._sent_direct(n, o, machine, starts, bool(commands)),
                body,
                self.report_s / 2 + 0.25,
                machine.address,
            )
        )

    def _probe(self, now: float) -> None:
        """Ask machines taken over what they hold, without waiting for their reports.

        Orders without commands bring a worker the new token, after which nothing of an earlier
        commander can be carried out, and its answer names all that is there: as good a proof as a
        report, and there within milliseconds. Until it is there, no older job may start.
        """
        for name in self.unsettled:
            if self.directs >= self.most_directs:
                break
            machine = self.machines[name]
            if (
                machine.settled
                or machine.do_in_flight
                or machine.releasing
                or not machine.address
                or now < max(machine.next_probe, machine.handed_until)
            ):
                continue
            machine.next_probe = now + self.report_s
            self._direct(now, machine, [], [])

    def _sent_direct(
        self,
        now: float,
        outcome: Outcome,
        machine: Machine,
        starts: list[Placement],
        orders: bool,
    ) -> None:
        machine.do_in_flight = False
        self.directs -= 1
        if self.over:
            return
        report = None
        if outcome.status in (200, 409):
            report = wire.decode(outcome.body, wire.Report)
        mine = [p for p in starts if machine.tasks.get(p.key) is p and not p.seen]
        if outcome.status == NOT_SENT and orders:
            # No connection: whatever is there can't be reached, so it gets nothing new for now.
            machine.do_broken_until = now + 2 * self.report_s
            self._strike(now, machine)
        if outcome.status in (400, 409, NOT_SENT):
            # Nothing was executed, for certain.
            for p in mine:
                self._remove(now, machine, p)
        elif (outcome.status != 200 or report is None) and orders:
            # Unanswered: it may be executed at any later time, until the worker has seen a
            # higher token or begun another session.
            machine.do_broken_until = now + 2 * self.report_s
            self._strike(now, machine)
            for p in mine:
                p.barrier = machine.token
        newer = report is not None and (
            (report.session, report.seq) > (machine.session, machine.seq)
            and report.token >> HANDOVER_SHIFT <= machine.base >> HANDOVER_SHIFT
        )
        if report is not None and newer:
            if report.session != machine.session:
                # It was asked under a session that is over; now the right one is known.
                machine.next_probe = now
            self._take(now, machine, report, False)
        if outcome.status == 200:
            for p in mine:
                if not p.seen and machine.tasks.get(p.key) is p:
                    p.sent_seq = machine.seq
        self.dirty = True
        self._send_direct(now, machine)

    # -- results -----------------------------------------------------------------------

    def _store(self, now: float, job: Job) -> None:
        """Store ends: the last makes the job done at once, the others are gathered."""
        if job.storing:
            return
        if not job.ended():
            if job.finished:
                self.completions.note(now, job)
            return
        job.storing = True
        key = LIVE + job.spec.id
        final = {"final": wire.DONE, "count": job.spec.tasks}

        def then(n: float, how: str, revision: int) -> None:
            job.storing = False
            if how == APPLIED:
                job.version = max(job.version, revision)
                job.stored(list(job.finished))
                self.jobs.jobs.pop(job.spec.id, None)
                self.job_ended(n, job)
            # On a conflict the watch brings the newer record; the next scan tries again.

        writes = [wire.remove(key), wire.put(OVER + job.spec.id, final)]
        self.transactions.submit(now, Op({key: job.version}, writes, then, now + 2 * self.lease_s))

    def job_ended(self, now: float, job: Job) -> None:
        """The job's record is gone: nothing of it may start, and all of it must go."""
        if self.pools.get(job.spec.team, self.pool) != self.pool:
            return
        self.completions.over(job)
        self._stop_all(now, job, "job over")
        self.where.pop(job.spec.id, None)
        self.dirty = True

    def mark_cancelled(self, now: float, job: Job) -> None:
        """A job's cancellation is stored, whatever the view shows: its tasks go, none starts."""
        if self.pools.get(job.spec.team, self.pool) == self.pool:
            self._stop_all(now, job, "called off")
            self.dirty = True

    def _stop_all(self, now: float, job: Job, why: str) -> None:
        """Take back a job's starts, and stop all that is or may be there."""
        for name in list(self.where.get(job.spec.id, ())):
            machine = self.machines.get(name)
            if machine is None:
                continue
            touched = False
            for p in list(machine.tasks.values()):
                if p.job_id != job.spec.id:
                    continue
                touched = True
                if p in machine.starts:
                    self._remove(now, machine, p)
                elif p.active:
                    p.stop, p.stopping_for = 0.0, why
                    p.stop_sent = 0.0
                elif job.spec.id not in self.jobs.jobs:
                    p.stored = True
            if touched:
                self._send_direct(now, machine)

    # -- time --------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Everything that the passing of time asks for."""
        if not self.ready or not self.entitled(now):
            return
        if now >= self.next_scan:
            self.next_scan = now + self.report_s / 4
            self._scan(now)
        if self.unsettled:
            self._probe(now)
        self.completions.tick(now)
        if self.dirty and now >= self.next_round:
            self.round(now)

    def _scan(self, now: float) -> None:
        silence = Silence(self.machines.values(), self.unsettled, now, self.silence)
        for machine in list(self.machines.values()):
            ended = float("-inf") < machine.last_answer < now - self.lease_s
            if ended and (machine.tasks or machine.name in self.unsettled):
                self.out.log("info", "lease over", machine=machine.name)
                self.unsettled.discard(machine.name)
                self._session_over(now, machine)
            if machine.releasing:
                continue
            why = self._hopeless(now, machine, ended, silence)
            if why:
                self.out.log("info", "machine given up", machine=machine.name, why=why)
                machine.releasing = True
        for job in self.mine():
            # Also a job all of whose ends an earlier owner stored without ending it.
            if (job.finished or job.ended()) and not job.storing:
                self._store(now, job)
        self.dirty = True

    def _hopeless(self, now: float, machine: Machine, ended: bool, silence: Silence) -> str:
        """Why a machine should be deleted, if it should."""
        few, cut = silence.few(machine.zone), silence.cut(machine.zone)
        patience = CUT_LEASES * self.lease_s if cut else self.lease_s
        quiet = now - machine.contact
        waited = now - max(machine.last_answer - self.overlap_s, self.since)
        lost = machine.name in self.unsettled and waited > self.lost_s and few
        if not machine.up and machine.recorded and (lost or (ended and waited > patience)):
            # Known by its record alone, and silent for longer than a worker takes to find its way
            # while others are heard, or for a whole lease: it is gone or cut off. Its record would
            # hold up all older jobs, and the next change of leader too.
            return "never heard"
        if machine.up and quiet > self.lost_s and (few or quiet > patience):
            # A silent machine among speaking ones: have the cloud end it, which frees its tasks
            # sooner than its lease would. A whole zone is rather cut off than dead: its machines
            # are worth more when it is back than new ones, which would report to nobody either.
            return "silent"
        if machine.up and not machine.settled and now - machine.up_at > self.lease_s:
            # It speaks, but for a whole lease no answer has reached it: its session is over by
            # then, and a machine that can be commanded is worth more.
            return "deaf"
        return "sick" if machine.fenced and machine.empty() else ""

    # -- dispatch ------------------------------------------------------------------------

    def _usage(self) -> dict[str, tuple[float, float]]:
        """What each team's tasks take or may take."""
        unidentified = [0.0, 0.0]
        for name in self.unsettled | self.tally.unidentified:
            # What is there is not known: count all that could be, against every team.
            cpus, gpus, _ = self.machines[name].room()
            unidentified[0] += max(0.0, cpus)
            unidentified[1] += max(0.0, gpus)
        for kind, _, _ in self.elsewhere.values():
            if kind in self.types:
                unidentified[0] += self.types[kind].cpus
                unidentified[1] += self.types[kind].gpus
        used = {t.name: self.tally.of(t.name) for t in self.teams}
        return {name: (u[0] + unidentified[0], u[1] + unidentified[1]) for name, u in used.items()}

    def _startable(self, job: Job, now: float) -> bool:
        if now < job.hold_until or job.ending or job.announce_cancelled:
            return False
        if job.created > self.revision or not (self.unsettled or self.elsewhere):
            return True
        # Tasks of a job from before our time may still run where we have not looked yet, but only
        # on machines that the job allows and that can hold one of its tasks.
        return not any(
            kind not in self.types
            or (
                allows(job.spec, self.types[kind], zone, spot)
                and type_fits(job.spec, self.types[kind])
            )
            for kind, zone, spot in self._unseen()
        )

    def _unseen(self) -> set[tuple[str, str, bool]]:
        """The kinds of machines that may hold tasks which we have not seen."""
        unseen = set(self.elsewhere.values())
        for name in self.unsettled:
            machine = self.machines[name]
            unseen.add((machine.type.name, machine.zone, machine.spot))
        return unseen

    def _claims(self) -> list[allocation.Claim]:
        claims = []
        demand: dict[str, int] = {}
        for job in self.mine():
            waiting = job.waiting() + len(job.placed)
            demand[job.spec.team] = demand.get(job.spec.team, 0) + waiting
        for team in self.teams:
            recent = self.recent[team.name]
            if not recent or not demand.get(team.name):
                continue
            n = len(recent)
            cpus = sum(r[0] for r in recent) / n
            gpus = sum(r[1] for r in recent) / n
            memory = sum(r[2] for r in recent) / n
            cap = float(demand[team.name])
            if cpus > 0:
                cap = min(cap, team.cpus_max / cpus)
            weight = team.gpus if self.gpus_matter and team.gpus > 0 else team.cpus
            second = gpus if self.gpus_matter else memory
            claims.append(allocation.Claim(team.name, (cpus, second), max(weight, 1e-3), cap))
        return claims

    def round(self, now: float) -> None:
        """One dispatch round."""
        self.dirty = False
        jobs = self.mine()
        for job in jobs:
            if job.placed:
                job.last_placed = now
        self.scarce.note(now, jobs)
        if all(job.waiting() <= 0 for job in jobs):
            # Most reports of a quiet hour change nothing that could be started.
            self.needs_machines, self.urgent = False, set()
            self.next_round = now + 0.01
            return
        silence = self.silence
        usable = [m for m in self.machines.values() if m.usable(now, silence)]
        capacity = (
            sum(m.type.cpus for m in usable),
            sum(m.type.gpus if self.gpus_matter else m.type.memory_gb for m in usable),
        )
        self.allocations = allocation.allocate(self._claims(), capacity)
        used = self._usage()
        dispatch.judge_guarantees(jobs, {t.name: t.cpus for t in self.teams})
        running = {t.name: 0 for t in self.teams}
        queues: dict[str, list[Job]] = {t.name: [] for t in self.teams}
        for job in jobs:
            running[job.spec.team] = running.get(job.spec.team, 0) + len(job.placed)
            if job.waiting() > 0 and self._startable(job, now):
                queues.setdefault(job.spec.team, []).append(job)
        bonus = self.boot_s / 2
        order = {name: dispatch.task_order(q, self.aims, now, bonus) for name, q in queues.items()}
        late_used = sum(
            len(job.placed) * job.spec.cpus for job in jobs if self.aims.overdue(job, now)
        )
        late_quota = LATE_PART * capacity[0]
        for queue in order.values():
            dispatch.share_late(queue, self.aims, now, late_used, late_quota)
        smallest = min((j.spec.cpus for j in jobs if j.spec.cpus > 0), default=0.0)
        roomy = [m for m in usable if fits(smallest, m.type.cpus - m.used_cpus)]
        self._keep_ordinary(now, jobs, usable)
        # What a gang waits for under its team's limit.
        quota: dict[str, tuple[float, float, float]] = {}
        holding: set[str] = set()
        # Jobs that room is held for, by stopping tasks or for want of a large gap.
        held = {m.held_for for m in usable if now < m.held_until}
        stuck: list[Job] = []
        log: list[Machine] = []
        rankings: dict[str, dispatch.Ranking] = {}
        # Shapes that found no room: it only shrinks within a round.
        full: set[tuple[object, ...]] = set()
        while usable:
            names = [name for name, q in order.items() if q]
            if not names:
                break

            def deficit(name: str) -> float:
                target = self.allocations.tasks.get(name, 0.0) if self.allocations else 0.0
                return running[name] / target if target > 0 else float(running[name]) + 1e3

            name = min(names, key=lambda n: (deficit(n), n))
            job = order[name][0]
            spec = job.spec
            team = self.by_team[name]
            if spec.gang:
                order[name].pop(0)
                placed = self._place_gang(now, job, roomy, used[name], log)
                if placed:
                    log += placed
                    used[name] = (
                        used[name][0] + len(placed) * spec.cpus,
                        used[name][1] + len(placed) * spec.gpus,
                    )
                    running[name] += len(placed)
                elif placed is None:
                    if name not in quota and self.aims.due(job, now) - now < self.boot_s:
                        # Tasks of the team that come after it would take each gap under the limit.
                        missing = len(job.missing())
                        quota[name] = (job.arrived, missing * spec.cpus, missing * spec.gpus)
                else:
                    stuck.append(job)
                    if "gang" not in holding:
                        # As in the design: freed room is held for one gang at a time.
                        holding.add("gang")
                        held |= self._hold_for_gang(now, job, usable)
                continue
            index = job.peek()
            if index is None:
                order[name].pop(0)
                continue
            left_out = self._left_out(job, now)
            since, *kept = quota.get(name, (0.0, 0.0, 0.0))
            if job.arrived <= since or left_out:
                # What has waited for longer isn't held up: neither starves the other.
                kept = [0.0, 0.0]
            over = not fits(used[name][0] + kept[0] + spec.cpus, team.cpus_max) or not fits(
                used[name][1] + kept[1] + spec.gpus, team.gpus_max
            )
            machine = None
            # Work that can wait does so for cheap room; dear room is for what can't.
            slack = self.aims.due(job, now) - now
            can_wait = slack > self.tuning.patient_boots * self.boot_s and not left_out
            patient = self.dear_excess and spec.spot and can_wait
            shape = None
            if not (spec.types or spec.zone or spec.one_zone or spec.spread or spec.id in held):
                shape = (spec.cpus, spec.gpus, spec.memory_gb, spec.spot, patient, left_out)
            if not over and shape not in full:
                ranking = rankings.get(spec.id)
                if ranking is None:
                    ranking = rankings[spec.id] = dispatch.Ranking(
                        job,
                        roomy,
                        self.machines,
                        now,
                        closed=set() if left_out else self.scarce.closed_to(spec),
                        cheap_only=patient,
                        tight=slack < self.boot_s,
                        since=len(log),
                        kept=self.kept,
                        any_room=left_out,
                    )
                machine = ranking.best(log)
                if machine is None and shape is not None:
                    full.add(shape)
            if machine is None:
                order[name].pop(0)
                if over:
                    if name not in quota and not can_wait and spec.cpus >= 4 * smallest:
                        # As for gangs: small tasks of its team would take each gap under the limit.
                        quota[name] = (job.arrived, spec.cpus, spec.gpus)
                    continue
                stuck.append(job)
                if name not in holding and not can_wait and spec.cpus >= 4 * smallest:
                    # A large task never finds room among small ones that take each gap: as with
                    # the design's gangs, freed room is held for one of them a team at a time.
                    holding.add(name)
                    keep = dispatch.machine_to_hold(job, usable, self.machines, now)
                    if keep is not None:
                        keep.held_for, keep.held_until = spec.id, now + self.report_s
                        keep.held_ready = 0.0
                        held.add(spec.id)
                continue
            self._start(now, job, index, machine)
            if left_out:
                # Its first task has room; for the rest what is kept for others is closed again.
                del rankings[spec.id]
            if late_used < late_quota and self.aims.overdue(job, now):
                late_used += spec.cpus
                dispatch.share_late(order[name], self.aims, now, late_used, late_quota)
            log.append(machine)
            used[name] = (used[name][0] + spec.cpus, used[name][1] + spec.gpus)
            running[name] += 1
        for machine in {m.name: m for m in log}.values():
            self._send_direct(now, machine)
        urgent = {j.spec.id for j in stuck if self.aims.due(j, now) - now < self.boot_s}
        self.needs_machines = bool(urgent - self.urgent)
        self.urgent = urgent
        if stuck and self.tuning.preemption:
            self._preempt(now, stuck, usable, used)
        # The next round comes sooner when idle and later under load: a batch widens with it.
        backlog = sum(len(q) for q in queues.values())
        tightest = self.report_s / 4
        self.next_round = now + min(tightest, 0.01 + 0.002 * backlog)

    def _left_out(self, job: Job, now: float) -> bool:
        """Whether none of a job's tasks has had a place for so long that nothing is kept from it.

        Room that is kept or held for others must not let a job wait beside it without a bound,
        also when some of its tasks have ended before.
        """
        waits = not job.placed and not job.finished
        since = max(job.arrived, job.last_placed) if job.done_count else job.arrived
        return waits and now - since > KEPT_PART * self.tuning.patience_s

    def _place_gang(
        self,
        now: float,
        job: Job,
        roomy: list[Machine],
        used: tuple[float, float],
        log: list[Machine],
    ) -> list[Machine] | None:
        """Start all missing tasks of a gang or none; None: the team's limit has no room for it."""
        spec, count = job.spec, len(job.missing())
        team = self.by_team[spec.team]
        if not fits(used[0] + count * spec.cpus, team.cpus_max) or not fits(
            used[1] + count * spec.gpus, team.gpus_max
        ):
            return None
        if any(
            p.active and p.job_id == spec.id and p.attempt != job.attempt
            for name in self.where.get(spec.id, ())
            if name in self.machines
            for p in self.machines[name].tasks.values()
        ):
            # A task of an earlier attempt is not proven gone.
            return None
        left_out = self._left_out(job, now)
        ranking = dispatch.Ranking(
            job,
            roomy,
            self.machines,
            now,
            closed=set() if left_out else self.scarce.closed_to(spec),
            cheap_only=False,
            tight=True,
            since=len(log),
            any_room=left_out,
        )
        plan = dispatch.plan_gang(ranking, self.machines)
        if plan is None:
            if job.placed:
                # Some wait for the rest, which has no room in their zone: better all anew than
                # to hold machines until they give up.
                job.short_since = now if job.short_since is None else job.short_since
                if now - job.short_since > self.gang_wait_s / 2:
                    self._end_gang(now, job, "no room for the rest", 0.0)
            return []
        job.short_since = None
        if not job.attempt:
            job.attempts += 1
            job.attempt = self._attempt(job)
        for index, machine in plan.places:
            self._start(now, job, index, machine)
        return [machine for _, machine in plan.places]

    def _hold_for_gang(self, now: float, job: Job, usable: list[Machine]) -> set[str]:
        """Hold the room where a gang can start soonest; returns whom room is held for."""
        found = dispatch.gang_hold(job, usable, self.machines, now, self.kept)
        if found is None:
            return set()
        for machine in found[0]:
            # Not to be given back while a gang waits for the rest of its room, however long:
            # machines that come one by one and go back as idle never add up to its zone's part.
            machine.wanted_until = now + self.report_s
        late = now - job.arrived > self.tuning.patience_s
        if (late and not found[2]) or (
            self.aims.due(job, now) - now > self.tuning.patient_boots * self.boot_s
        ):
            # What comes last holds nothing up; and a part of a gang's room is no use to anybody
            # for as long as it is held, so that has a bound.
            return set()
        for machine in found[0]:
            machine.held_for, machine.held_until = job.spec.id, now + self.report_s
            machine.held_ready = found[1]
        return {job.spec.id}

    def _keep_ordinary(self, now: float, jobs: list[Job], usable: list[Machine]) -> None:
        """Choose the ordinary machines that are kept from work that may use cheap ones.

        Work that needs ordinary room and can't wait for a boot would otherwise find it taken by
        work that could have gone elsewhere; gangs need it in one zone at that, and whole.
        """
        self.ordinary_peak.add(
            now,
            sum(
                job.spec.cpus * (job.spec.tasks - job.done_count)
                for job in jobs
                if rental.needs_ordinary(job, self.aims, self.boot_s)
            ),
        )
        need = self.ordinary_peak.value()
        kept: set[str] = set()
        if need > 0:
            zones: dict[str, float] = {}
            mine = [m for m in usable if not m.spot]
            for m in mine:
                zones[m.zone] = zones.get(m.zone, 0.0) + m.type.cpus
            # Those that are kept stay so, and whole zones before parts of many.
            mine.sort(key=lambda m: (m.name not in self.kept, -zones[m.zone], m.zone, m.name))
            for m in mine:
                if need <= 0:
                    break
                need -= m.type.cpus
                kept.add(m.name)
        self.kept = frozenset(kept)

    def _attempt(self, job: Job) -> int:
        return (self.epoch << EPOCH_SHIFT) + (self.serial << SERIAL_SHIFT) + job.attempts

    def _start(self, now: float, job: Job, index: int, machine: Machine) -> None:
        spec = job.spec
        if spec.gang:
            attempt = job.attempt
        else:
            job.attempts += 1
            attempt = self._attempt(job)
        p = Placement(
            spec.id,
            index,
            attempt,
            machine.name,
            spec.team,
            spec.job_class,
            wire.PRIORITIES[spec.priority],
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.image,
            spec.estimate_s,
            sent_at=now,
        )
        machine.tasks[p.key] = p
        self.where.setdefault(spec.id, set()).add(machine.name)
        machine.starts.append(p)
        machine.idle_since = now
        machine.touch_image(spec.image, spec.image_gb)
        self.tally.recount(machine)
        job.placed[index] = machine.name
        self.recent[spec.team].append((spec.cpus, spec.gpus, spec.memory_gb))

    def _preempt(
        self,
        now: float,
        stuck: list[Job],
        usable: list[Machine],
        used: dict[str, tuple[float, float]],
    ) -> None:
        """Stop work of lower priority, or borrowed room, for tasks that would miss their aim."""
        over = {t.name for t in self.teams if used[t.name][0] > t.cpus + 1e-6}
        stopping: int | None = None
        lowest = min((m.lowest for m in usable), default=NO_PRIORITY)
        for job in stuck:
            spec = job.spec
            if self.aims.due(job, now) - now > self.boot_s:
                continue
            guaranteed = self.by_team[spec.team].cpus
            under = (
                bool(over - {spec.team})
                and self.aims.guarantee is not None
                and fits(used[spec.team][0] + spec.cpus, guaranteed)
            )
            mine = wire.PRIORITIES[spec.priority]
            if lowest >= mine and not under:
                continue
            if stopping is None:
                stopping = sum(
                    1
                    for m in self.machines.values()
                    for p in m.tasks.values()
                    if p.active and p.stop is not None and p.stopping_for == "preempted"
                )
            budget = (1 if spec.gang else min(job.waiting(), 8)) - stopping
            if budget <= 0:
                continue
            found: list[tuple[float, str, Machine, list[Placement]]] = []
            for machine in usable:
                if now < machine.held_until or (machine.lowest >= mine and not under):
                    continue
                if not zone_allows(job, machine.zone, self.machines):
                    continue
                chosen = dispatch.victims(job, machine, self.jobs.jobs, over, under, now)
                if chosen:
                    cost = sum(dispatch.lost_work(p, 0.0, now) * p.cpus for p in chosen)
                    found.append((cost, machine.name, machine, chosen))
            for _, _, machine, chosen in heapq.nsmallest(budget, found):
                for p in chosen:
                    self._stop(now, p, "preempted")
                    stopping += 1
                machine.held_ready = 0.0
                machine.held_for = spec.id
                machine.held_until = now + 2 * self.report_s
                self._send_direct(now, machine)

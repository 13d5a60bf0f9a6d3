"""Which task goes where: teams by allocation, tasks by urgency, machines by fit."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Set
from dataclasses import dataclass

from copperpass import wire
from copperpass.core.fleet import Machine, Placement, allows, type_fits, zone_allows
from copperpass.core.jobs import EPS, Job, fits
from copperpass.settings import Objective

LATE = 1e6


class Aims:
    """The users' aims, by class."""

    def __init__(self, objectives: Iterable[Objective], patience_s: float = 1e6) -> None:
        # Work whose aims have all passed is due this long after it came: waiting has a bound.
        self.patience_s = patience_s
        self.waits: dict[str, list[float]] = {}
        self.ends: dict[str, list[float]] = {}
        self.guarantee: float | None = None
        for aim in objectives:
            if aim.within_s is None:
                continue
            if aim.kind == "wait" and aim.job_class:
                self.waits.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.kind == "finished" and aim.job_class:
                self.ends.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.kind == "guarantee":
                self.guarantee = aim.within_s

    def tightest_wait(self, job_class: str) -> float | None:
        """The shortest wait that the class's users expect."""
        waits = self.waits.get(job_class)
        return min(waits) if waits else None

    def urgent(self, boot_s: float) -> bool:
        """Whether the tasks of some class should start sooner than a machine boots."""
        return any(min(waits) < boot_s for waits in self.waits.values())

    def due(self, job: Job, now: float) -> float:
        """When the next task must start for the nearest aim that can still be met."""
        spec = job.spec
        moments = [job.arrived + w for w in self.waits.get(spec.job_class, ())]
        ends = list(self.ends.get(spec.job_class, ()))
        if self.guarantee is not None and job.guaranteed:
            moments.append(job.arrived + self.guarantee)
        if spec.deadline_s is not None:
            ends.append(spec.deadline_s)
        # Estimates are often wrong by half and more: leave room for twice as long, if there is.
        for end in ends:
            moments += [job.arrived + end - n * spec.estimate_s for n in (2, 1)]
        ahead = [m for m in moments if m >= now]
        if ahead:
            return min(ahead)
        # Without an aim, or with none left, it comes last until it has waited for too long.
        overdue = job.arrived + self.patience_s
        return overdue if now > overdue else job.arrived + LATE

    def needed(self, job: Job, now: float) -> float:
        """By when there should be room for the next task: as `due`, but never out of sight.

        Work without an aim ahead comes last, yet its wait has a bound, and by then the machines
        must be there: counted as never due, it rented nothing while the fleet was busy with work
        whose aim was far off, and less than half of it was served.
        """
        due = self.due(job, now)
        return due if due < job.arrived + LATE else job.arrived + self.patience_s

    def overdue(self, job: Job, now: float) -> bool:
        """Whether no aim can be met any more and the job has waited for longer than it should."""
        return now > job.arrived + self.patience_s and self.due(job, now) < now


def share_late(queue: list[Job], aims: Aims, now: float, used: float, quota: float) -> None:
    """Put overdue work, which comes first, behind the rest while it has its part of the room.

    Without a bound on its part, work that has no aim, or none left, would take all room from work
    that can still be in time; without any part, it would starve.
    """
    if used < quota or not queue:
        return
    late = [job for job in queue if aims.overdue(job, now)]
    if late and len(late) < len(queue):
        behind = {job.spec.id for job in late}
        queue[:] = [job for job in queue if job.spec.id not in behind] + late


def judge_guarantees(jobs: Iterable[Job], guarantees: dict[str, float]) -> None:
    """Note of each new job whether it fits its team's guarantee with the earlier ones."""
    jobs = list(jobs)
    if all(job.judged for job in jobs):
        return
    taken: dict[str, float] = {}
    for job in sorted(jobs, key=lambda j: (j.arrived, j.created)):
        spec = job.spec
        total = taken.get(spec.team, 0.0) + spec.cpus * spec.tasks
        if not job.judged:
            job.judged = True
            job.guaranteed = fits(total, guarantees.get(spec.team, 0.0))
        taken[spec.team] = total


def task_order(jobs: Iterable[Job], aims: Aims, now: float, bonus_s: float = 0.0) -> list[Job]:
    """Jobs by the nearest aim that can still be met; a higher priority counts as `bonus_s` sooner.

    Production goes first in any case. Work whose aims have all passed is due after a bounded wait,
    and from then on overdue: it goes before what can still be in time, so that nothing starves.
    """

    def key(job: Job) -> tuple[bool, float, float, str]:
        level = wire.PRIORITIES[job.spec.priority]
        due = aims.due(job, now) - level * bonus_s
        return (level < wire.PRIORITIES["production"], due, job.arrived, job.spec.id)

    return sorted(jobs, key=key)


def machine_to_hold(
    job: Job, usable: list[Machine], machines: dict[str, Machine], now: float
) -> Machine | None:
    """The machine that will have room for the job's next task soonest, if nothing else starts."""
    best: tuple[float, str, Machine] | None = None
    spec = job.spec
    for machine in usable:
        if not allows(spec, machine.type, machine.zone, machine.spot):
            continue
        if not type_fits(spec, machine.type) or not zone_allows(job, machine.zone, machines):
            continue
        if machine.held_from(spec.id, now):
            continue
        cpus, gpus, memory = machine.room()
        ready = 0.0
        tasks = sorted(
            ((remaining(p, now), p) for p in machine.tasks.values() if p.active),
            key=lambda pair: pair[0],
        )
        for left, p in tasks:
            if fits(spec.cpus, cpus) and fits(spec.gpus, gpus) and fits(spec.memory_gb, memory):
                break
            ready = left
            cpus, gpus, memory = cpus + p.cpus, gpus + p.gpus, memory + p.memory_gb
        if best is None or (ready, machine.name) < best[:2]:
            best = (ready, machine.name, machine)
    return best[2] if best else None


@dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Which of the machines that have room for a job's tasks they may use, and which first."""

    # Types that are reserved for larger tasks.
    closed_types: Set[str] = frozenset()
    # Only spot machines: the job can wait for one.
    spot_only: bool = False
    # Time is short: an image that is there already counts for more than a low price.
    urgent: bool = False
    # Ordinary machines that are reserved for jobs that may use no other.
    reserved: frozenset[str] = frozenset()
    # Neither reserved machines nor those held for another job are closed.
    ignore_reservations: bool = False


class Ranking:
    """The machines for one job's tasks in a round: image there, cheap, the least room left.

    All machines are judged once; after that only those where something has been started since, so
    a round's cost grows with what it starts, not with that times the fleet. Cheap machines come
    first: then the dear ones fall idle in a lull and can go back. Machines where the job has failed
    come last. `since` is the length of the round's log of started machines at this moment.
    """

    def __init__(
        self,
        job: Job,
        roomy: Iterable[Machine],
        machines: dict[str, Machine],
        now: float,
        policy: PlacementPolicy,
        since: int = 0,
    ) -> None:
        self.job, self.machines, self.now = job, machines, now
        self.policy = policy
        self.since = since
        self.heap: list[tuple[tuple[float, ...], int, Machine]] = []
        self.count = 0
        for machine in roomy:
            self._add(machine)

    def _add(self, machine: Machine) -> None:
        score = self._score(machine)
        if score is not None:
            self.count += 1
            heapq.heappush(self.heap, (score, self.count, machine))

    def _score(self, machine: Machine) -> tuple[float, ...] | None:
        """The lower the better; None if no task of the job may start there."""
        spec, kind, policy = self.job.spec, machine.type, self.policy
        if not machine.has_room(spec) or not allows(spec, kind, machine.zone, machine.spot):
            return None
        if (policy.spot_only and not machine.spot) or kind.name in policy.closed_types:
            return None
        if (
            machine.held_from(spec.id, self.now)
            and not policy.ignore_reservations
            and not (self.now + 2 * spec.estimate_s < machine.held_ready)
        ):
            # Room that was freed by stopping tasks is for the job they were stopped for; room that
            # is held for a gang serves short work until the gang's other room is free.
            return None
        if spec.spot and machine.name in policy.reserved and not policy.ignore_reservations:
            # Ordinary room is kept for work that may not use any other.
            return None
        left = kind.cpus - machine.used_cpus - spec.cpus
        fetch = 0.0
        if spec.image not in machine.images:
            fetch = spec.image_gb / max(kind.fetch_gb_per_s, 1e-3)
        return (
            float(machine.name in self.job.failed_on),
            fetch if policy.urgent else 0.0,
            price_of(kind, machine.spot) / max(kind.cpus, 1e-6),
            fetch,
            (kind.cpus > 2 * spec.cpus and left) or 0.0,
            left,
            kind.memory_gb - machine.used_memory,
        )

    def best(self, log: list[Machine]) -> Machine | None:
        """The best machine now; `log` names where the round has started tasks, in order."""
        for machine in log[self.since :]:
            self._add(machine)
        self.since = len(log)
        while self.heap:
            score, number, machine = self.heap[0]
            fresh = self._score(machine)
            if fresh is None or not zone_allows(self.job, machine.zone, self.machines):
                # Within a round room only shrinks and zones only close.
                heapq.heappop(self.heap)
            elif fresh != score:
                heapq.heapreplace(self.heap, (fresh, number, machine))
            else:
                return machine
        return None


def price_of(machine_type: wire.MachineType, spot: bool) -> float:
    """What a machine costs an hour."""
    if spot and machine_type.spot_price is not None:
        return machine_type.spot_price
    return machine_type.price


class Scarce:
    """Types that large tasks depend on, because they fit no other.

    Small tasks that fit elsewhere would take each gap on them, and a large task then waits for all
    of them at once. So such a type is kept from small tasks for as long as large ones are about.
    """

    def __init__(self, types: dict[str, wire.MachineType], keep_s: float) -> None:
        self.types, self.keep_s = types, keep_s
        self.seen: dict[frozenset[str], tuple[float, wire.Spec]] = {}
        self.cache: dict[tuple[float, float, float], set[str]] = {}

    def note(self, now: float, jobs: Iterable[Job]) -> None:
        """Take in the jobs that are about."""
        before = set(self.seen)
        shapes: dict[tuple[float, float, float], wire.Spec] = {}
        for job in jobs:
            spec = job.spec
            shapes.setdefault((spec.cpus, spec.gpus, spec.memory_gb), spec)
        for spec in shapes.values():
            fitting = self.fitting(spec)
            if 0 < len(fitting) < len(self.types):
                self.seen[fitting] = (now, spec)
        self.seen = {k: v for k, v in self.seen.items() if now - v[0] <= self.keep_s}
        if set(self.seen) != before:
            self.cache.clear()

    def fitting(self, spec: wire.Spec) -> frozenset[str]:
        """The types that one task fits."""
        return frozenset(t.name for t in self.types.values() if type_fits(spec, t))

    def closed_to(self, spec: wire.Spec) -> set[str]:
        """The types that are kept from a job's tasks."""
        shape = (spec.cpus, spec.gpus, spec.memory_gb)
        closed = self.cache.get(shape)
        if closed is None:
            mine = self.fitting(spec) if spec.types is None else frozenset(spec.types)
            closed = set()
            for theirs in self.seen:
                if theirs < mine:
                    closed |= theirs
            if spec.types is None:
                self.cache[shape] = closed
        return closed


def remaining(placement: Placement, now: float) -> float:
    """How long a task will still run, by its owner's estimate."""
    if not placement.running_at:
        return placement.estimate_s
    ran = now - placement.running_at
    # A task beyond its estimate is taken to need a part of what it has run already.
    return max(placement.estimate_s - ran, 0.25 * ran)


def lost_work(placement: Placement, checkpoint_s: float, now: float) -> float:
    """The work that stopping a task throws away."""
    if not placement.running_at:
        return 0.0
    ran = now - placement.running_at
    return min(ran, 1.0) if checkpoint_s > 0 else ran


@dataclass(slots=True)
class GangPlan:
    """Where the tasks of a gang go, all at once, and when the last of them has its image."""

    places: list[tuple[int, Machine]]
    cost: tuple[float, ...]


def _slots(spec: wire.Spec, room: tuple[float, float, float], most: int) -> int:
    """How many tasks fit into a room, up to `most`."""
    count = most
    for need, have in zip((spec.cpus, spec.gpus, spec.memory_gb), room, strict=True):
        if need > 0:
            count = min(count, int((have + EPS) / need))
    return max(0, count)


def _zones(job: Job, zones: set[str], machines: dict[str, Machine]) -> list[set[str]]:
    """The sets of zones one of which must take all that is missing of a gang."""
    if not job.spec.one_zone:
        return [zones]
    taken = {machines[n].zone if n in machines else "?" for n in job.placed.values()}
    return [{zone} for zone in sorted(zones) if taken <= {zone}]


def plan_gang(ranking: Ranking, machines: dict[str, Machine]) -> GangPlan | None:
    """Place all missing tasks of a gang, or none of them.

    Of the zones that have room for the whole, the one where it starts soonest: the gang starts with
    its last image. On few machines rather than on many: it runs at the speed of the slowest.
    """
    job = ranking.job
    spec, missing = job.spec, job.missing()
    offers = [(score, m) for score, _, m in ranking.heap]
    best: GangPlan | None = None
    most = (spec.tasks + 1) // 2 if spec.spread else spec.tasks
    for zones in _zones(job, {m.zone for _, m in offers}, machines):
        counts: dict[str, int] = {}
        for name in job.placed.values():
            where = machines[name].zone if name in machines else "?"
            counts[where] = counts.get(where, 0) + 1
        places: list[tuple[int, Machine]] = []
        used: list[tuple[float, ...]] = []
        need = len(missing)
        here = [(score, m, _slots(spec, m.room(), need)) for score, m in offers if m.zone in zones]
        # Where it has failed last, without a fetch first, whole before in parts, cheap before dear.
        here.sort(key=lambda o: (o[0][0], o[0][3], -o[2], *o[0][1:], o[1].name))
        left = list(missing)
        for score, machine, slots in here:
            if not left:
                break
            free = min(slots, most - counts.get(machine.zone, 0)) if spec.spread else slots
            # Ended tasks that aren't cleared yet are still there: the machine would ignore a start
            # under the same attempt, and refuse one under another.
            there = {index for name, index, _ in machine.tasks if name == spec.id}
            mine = [i for i in left if i not in there][:free]
            if not mine:
                continue
            counts[machine.zone] = counts.get(machine.zone, 0) + len(mine)
            places += [(i, machine) for i in mine]
            left = [i for i in left if i not in mine]
            used.append(score)
        if left:
            continue
        cost = (
            max(s[0] for s in used),
            max(s[3] for s in used),
            float(len(used)),
            sum(s[2] for s in used) / len(used),
        )
        if best is None or cost < best.cost:
            best = GangPlan(places, cost)
    return best


def gang_hold(
    job: Job,
    usable: list[Machine],
    machines: dict[str, Machine],
    now: float,
    kept: frozenset[str],
) -> tuple[list[Machine], float, bool] | None:
    """The machines where a gang will find room soonest, when, and whether for all of its tasks.

    If nowhere for all, then where there is room for most: the rest is to be rented there.
    """
    spec, need = job.spec, len(job.missing())
    allowed = [
        m
        for m in usable
        if allows(spec, m.type, m.zone, m.spot)
        and type_fits(spec, m.type)
        and not m.held_from(spec.id, now)
    ]
    best: tuple[int, float, int, list[Machine]] | None = None
    most = (spec.tasks + 1) // 2 if spec.spread else spec.tasks
    for zones in _zones(job, {m.zone for m in allowed}, machines):
        # Each machine's free places, one after the other, by when they are there.
        offers: list[tuple[float, bool, str, Machine]] = []
        for machine in allowed:
            if machine.zone not in zones:
                continue
            room, had = list(machine.room()), 0
            tasks = sorted(
                ((remaining(p, now), p) for p in machine.tasks.values() if p.active),
                key=lambda pair: pair[0],
            )
            ready = 0.0
            for left, p in [*tasks, (0.0, None)]:
                slots = _slots(spec, (room[0], room[1], room[2]), need)
                offers += [(ready, machine.name not in kept, machine.name, machine)] * (slots - had)
                had = max(had, slots)
                if p is not None:
                    ready = left
                    for n, amount in enumerate((p.cpus, p.gpus, p.memory_gb)):
                        room[n] += amount
        offers.sort(key=lambda o: o[:3])
        counts: dict[str, int] = {}
        chosen: list[tuple[float, Machine]] = []
        for ready, _, _, machine in offers:
            if len(chosen) == need:
                break
            if spec.spread and counts.get(machine.zone, 0) >= most:
                continue
            counts[machine.zone] = counts.get(machine.zone, 0) + 1
            chosen.append((ready, machine))
        if chosen:
            last = chosen[-1][0]
            hold = list({m.name: m for _, m in chosen}.values())
            if best is None or (need - len(chosen), last, len(hold)) < best[:3]:
                best = (need - len(chosen), last, len(hold), hold)
    return (best[3], now + best[1], best[0] == 0) if best else None


def victims(
    job: Job,
    machine: Machine,
    jobs: dict[str, Job],
    over_guarantee: set[str],
    under: bool,
    now: float,
) -> list[Placement] | None:
    """The tasks to stop on a machine so that one task of the job fits, or None.

    A gang is made room for as a whole, where a single machine can take it.
    """
    spec = job.spec
    times = len(job.missing()) if spec.gang else 1
    needs = (spec.cpus * times, spec.gpus * times, spec.memory_gb * times)
    kind = machine.type
    if any(
        need > have + EPS
        for need, have in zip(needs, (kind.cpus, kind.gpus, kind.memory_gb), strict=True)
    ) or (spec.gang and spec.spread and times > 1):
        return None
    if not allows(spec, machine.type, machine.zone, machine.spot):
        return None
    mine = wire.PRIORITIES[spec.priority]

    def cost(p: Placement) -> tuple[bool, float]:
        owner = jobs.get(p.job_id)
        # To stop one task of a gang is to stop all.
        gang = owner is not None and owner.spec.gang
        return gang, lost_work(p, owner.spec.checkpoint_s if owner else 0.0, now)

    # A gang is stopped as a whole and begins anew as a whole: only for a guarantee or production.
    spares = not under and mine < wire.PRIORITIES["production"]
    gangs = (
        {j for j in {p.job_id for p in machine.tasks.values()} if j in jobs and jobs[j].spec.gang}
        if spares
        else set()
    )
    may = [
        p
        for p in machine.tasks.values()
        if p.active
        and p.stop is None
        and p.seen
        and p.job_id not in gangs
        and (p.priority < mine or (under and p.team != spec.team and p.team in over_guarantee))
    ]
    may.sort(key=lambda p: (p.priority, cost(p)))
    cpus, gpus, memory = machine.room()
    for p in machine.tasks.values():
        if p.active and p.stop is not None:
            cpus, gpus, memory = cpus + p.cpus, gpus + p.gpus, memory + p.memory_gb
    chosen: list[Placement] = []
    for p in may:
        if cpus >= needs[0] and gpus >= needs[1] and memory >= needs[2]:
            break
        chosen.append(p)
        cpus, gpus, memory = cpus + p.cpus, gpus + p.gpus, memory + p.memory_gb
    if cpus >= needs[0] and gpus >= needs[1] and memory >= needs[2]:
        return chosen
    return None

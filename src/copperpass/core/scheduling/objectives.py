"""Which task goes where: teams by allocation, tasks by urgency, machines by fit."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job_table import Job, fits_within
from copperpass.core.scheduling.machines import Placement, feasible_on_type
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import PRIORITY_LEVELS, JobSpec
from copperpass.settings import Objective

LATE = 1e6


class ServiceLevelObjectives:
    """The users' aims, by class."""

    def __init__(self, objectives: Iterable[Objective], patience_s: float = 1e6) -> None:
        # Work whose aims have all passed is due this long after it came: waiting has a bound.
        self.patience_s = patience_s
        self.start_targets: dict[str, list[float]] = {}
        self.completion_targets: dict[str, list[float]] = {}
        self.guarantee_target_s: float | None = None
        for aim in objectives:
            if aim.within_s is None:
                continue
            if aim.kind == "wait" and aim.job_class:
                self.start_targets.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.kind == "finished" and aim.job_class:
                self.completion_targets.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.kind == "guarantee":
                self.guarantee_target_s = aim.within_s

    def tightest_start_target(self, job_class: str) -> float | None:
        """The shortest wait that the class's users expect."""
        waits = self.start_targets.get(job_class)
        return min(waits) if waits else None

    def has_start_target_below(self, boot_s: float) -> bool:
        """Whether the tasks of some class should start sooner than a machine boots."""
        return any(min(waits) < boot_s for waits in self.start_targets.values())

    def start_deadline(self, job: Job, now: float) -> float:
        """When the next task must start for the nearest aim that can still be met."""
        spec = job.spec
        moments = [job.arrived + w for w in self.start_targets.get(spec.job_class, ())]
        ends = list(self.completion_targets.get(spec.job_class, ()))
        if self.guarantee_target_s is not None and job.guaranteed:
            moments.append(job.arrived + self.guarantee_target_s)
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

    def capacity_deadline(self, job: Job, now: float) -> float:
        """When there must be capacity for the next task: the start deadline, but always bounded.

        Work without an aim ahead comes last, yet its wait has a bound, and by then the machines
        must be there: counted as never due, it rented nothing while the fleet was busy with work
        whose aim was far off, and less than half of it was served.
        """
        due = self.start_deadline(job, now)
        return due if due < job.arrived + LATE else job.arrived + self.patience_s

    def is_past_deadline(self, job: Job, now: float) -> bool:
        """Whether no aim can be met any more and the job has waited for longer than it should."""
        return now > job.arrived + self.patience_s and self.start_deadline(job, now) < now


def limit_past_deadline_share(
    queue: list[Job], slos: ServiceLevelObjectives, now: float, used: float, quota: float
) -> None:
    """Put overdue work, which comes first, behind the rest while it has its part of the room.

    Without a bound on its part, work that has no aim, or none left, would take all room from work
    that can still be in time; without any part, it would starve.
    """
    if used < quota or not queue:
        return
    late = [job for job in queue if slos.is_past_deadline(job, now)]
    if late and len(late) < len(queue):
        behind = {job.spec.id for job in late}
        queue[:] = [job for job in queue if job.spec.id not in behind] + late


def assess_guarantees(jobs: Iterable[Job], guarantees: dict[str, float]) -> None:
    """Note of each new job whether it fits its team's guarantee with the earlier ones."""
    jobs = list(jobs)
    if all(job.guarantee_assessed for job in jobs):
        return
    taken: dict[str, float] = {}
    for job in sorted(jobs, key=lambda j: (j.arrived, j.created)):
        spec = job.spec
        total = taken.get(spec.team, 0.0) + spec.cpus * spec.tasks
        if not job.guarantee_assessed:
            job.guarantee_assessed = True
            job.guaranteed = fits_within(total, guarantees.get(spec.team, 0.0))
        taken[spec.team] = total


def task_order(
    jobs: Iterable[Job], slos: ServiceLevelObjectives, now: float, bonus_s: float = 0.0
) -> list[Job]:
    """Jobs by the nearest aim that can still be met; a higher priority counts as `bonus_s` sooner.

    Production goes first in any case. Work whose aims have all passed is due after a bounded wait,
    and from then on overdue: it goes before what can still be in time, so that nothing starves.
    """

    def key(job: Job) -> tuple[bool, float, float, str]:
        level = PRIORITY_LEVELS[job.spec.priority]
        due = slos.start_deadline(job, now) - level * bonus_s
        return (level < PRIORITY_LEVELS["production"], due, job.arrived, job.spec.id)

    return sorted(jobs, key=key)


def hourly_price(machine_type: MachineType, spot: bool) -> float:
    """What a machine costs an hour."""
    if spot and machine_type.spot_price is not None:
        return machine_type.spot_price
    return machine_type.price


class ReservedTypes:
    """Types that large tasks depend on, because they fit no other.

    Small tasks that fit elsewhere would take each gap on them, and a large task then waits for all
    of them at once. So such a type is kept from small tasks for as long as large ones are about.
    """

    def __init__(self, types: dict[str, MachineType], keep_s: float) -> None:
        self.types, self.keep_s = types, keep_s
        self.last_demand: dict[frozenset[str], tuple[float, JobSpec]] = {}
        self.cache: dict[tuple[float, float, float], set[str]] = {}
        # The smallest of the tasks that are about now and that a type is kept for, by type.
        self.smallest: dict[str, JobSpec] = {}

    def observe(self, now: float, jobs: Iterable[Job]) -> None:
        """Take in the jobs that are about."""
        before = set(self.last_demand)
        shapes: dict[tuple[float, float, float], JobSpec] = {}
        for job in jobs:
            spec = job.spec
            shapes.setdefault((spec.cpus, spec.gpus, spec.memory_gb), spec)
        self.smallest = {}
        for spec in shapes.values():
            fitting = self.fitting(spec)
            if 0 < len(fitting) < len(self.types):
                self.last_demand[fitting] = (now, spec)
                self._note_smallest(fitting, spec)
        self.last_demand = {k: v for k, v in self.last_demand.items() if now - v[0] <= self.keep_s}
        if set(self.last_demand) != before:
            self.cache.clear()

    def _note_smallest(self, types: Iterable[str], spec: JobSpec) -> None:
        for name in types:
            smallest = self.smallest.get(name)
            if smallest is None or spec.cpus < smallest.cpus:
                self.smallest[name] = spec

    def fitting(self, spec: JobSpec) -> frozenset[str]:
        """The types that one task fits."""
        return frozenset(t.name for t in self.types.values() if feasible_on_type(spec, t))

    def reserved_from(self, spec: JobSpec) -> set[str]:
        """The types that are kept from a job's tasks."""
        shape = (spec.cpus, spec.gpus, spec.memory_gb)
        closed = self.cache.get(shape)
        if closed is None:
            mine = self.fitting(spec) if spec.types is None else frozenset(spec.types)
            closed = set()
            for theirs in self.last_demand:
                if theirs < mine:
                    closed |= theirs
            if spec.types is None:
                self.cache[shape] = closed
        return closed


def remaining_s(placement: Placement, now: float) -> float:
    """How long a task will still run, by its owner's estimate."""
    if not placement.running_at:
        return placement.estimate_s
    ran = now - placement.running_at
    # A task beyond its estimate is taken to need a part of what it has run already.
    return max(placement.estimate_s - ran, 0.25 * ran)

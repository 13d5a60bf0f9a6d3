"""Service-level objectives: when a job must start, and when there must be capacity for it."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job_table import Job
from copperpass.settings import Objective

NO_DEADLINE_S = 1e6


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
        return overdue if now > overdue else job.arrived + NO_DEADLINE_S

    def capacity_deadline(self, job: Job, now: float) -> float:
        """When there must be capacity for the next task: the start deadline, but always bounded.

        Work without an aim ahead comes last, yet its wait has a bound, and by then the machines
        must be there: counted as never due, it rented nothing while the fleet was busy with work
        whose aim was far off, and less than half of it was served.
        """
        due = self.start_deadline(job, now)
        return due if due < job.arrived + NO_DEADLINE_S else job.arrived + self.patience_s

    def is_past_deadline(self, job: Job, now: float) -> bool:
        """Whether no aim can be met any more and the job has waited for longer than it should."""
        return now > job.arrived + self.patience_s and self.start_deadline(job, now) < now

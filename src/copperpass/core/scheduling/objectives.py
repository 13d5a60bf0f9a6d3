"""Service-level objectives: when a job must start, and when there must be capacity for it.

All times are in seconds; deadlines are moments on the clock that jobs' arrivals are counted on.
"""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job import Job
from copperpass.settings import Objective

# Added to the arrival of a job without a deadline, so that it comes after all that have one.
NO_DEADLINE_S = 1e6


class ServiceLevelObjectives:
    """The users' objectives by job class: start targets, completion targets, the guarantee's.

    Invariant: a target that can no longer be met has no influence on a deadline. A job none of
    whose targets can be met has waited long enough after `max_wait_s`.
    """

    def __init__(self, objectives: Iterable[Objective], max_wait_s: float = 1e6) -> None:
        # The bound on the wait of jobs without a target that can be met.
        self.max_wait_s = max_wait_s
        self.start_targets: dict[str, list[float]] = {}
        self.completion_targets: dict[str, list[float]] = {}
        self.guarantee_target_s: float | None = None
        for objective in objectives:
            if objective.within_s is None:
                continue
            job_class = objective.job_class
            if objective.kind == "wait" and job_class:
                self.start_targets.setdefault(job_class, []).append(objective.within_s)
            elif objective.kind == "finished" and job_class:
                self.completion_targets.setdefault(job_class, []).append(objective.within_s)
            elif objective.kind == "guarantee":
                self.guarantee_target_s = objective.within_s

    def tightest_start_target(self, job_class: str) -> float | None:
        """The shortest start target of a class in seconds; None if it has none."""
        targets = self.start_targets.get(job_class)
        return min(targets) if targets else None

    def has_start_target_below(self, boot_s: float) -> bool:
        """Whether the tasks of some class should start sooner than a machine boots."""
        return any(min(targets) < boot_s for targets in self.start_targets.values())

    def start_deadline(self, job: Job, now: float) -> float:
        """When the next task must start for the nearest target that can still be met."""
        spec = job.spec
        deadlines = [
            job.arrived_at + target for target in self.start_targets.get(spec.job_class, ())
        ]
        completion_targets = list(self.completion_targets.get(spec.job_class, ()))
        if self.guarantee_target_s is not None and job.guaranteed:
            deadlines.append(job.arrived_at + self.guarantee_target_s)
        if spec.deadline_s is not None:
            completion_targets.append(spec.deadline_s)
        # Estimates are often wrong by half and more: leave time for twice as long, if there is.
        for target in completion_targets:
            deadlines += [job.arrived_at + target - runs * spec.estimate_s for runs in (2, 1)]
        ahead = [deadline for deadline in deadlines if deadline >= now]
        if ahead:
            return min(ahead)
        # Without a target, or with none left, it comes last until it has waited for too long.
        wait_bound = job.arrived_at + self.max_wait_s
        return wait_bound if now > wait_bound else job.arrived_at + NO_DEADLINE_S

    def capacity_deadline(self, job: Job, now: float) -> float:
        """When there must be capacity for the next task: the start deadline, but always bounded.

        Work without a target ahead comes last, yet its wait has a bound, and by then the machines
        must be there: counted as without a deadline, it rented nothing while the fleet was busy
        with work whose target was far off, and less than half of it was served.
        """
        deadline = self.start_deadline(job, now)
        if deadline < job.arrived_at + NO_DEADLINE_S:
            return deadline
        return job.arrived_at + self.max_wait_s

    def is_past_deadline(self, job: Job, now: float) -> bool:
        """Whether no target can be met any more and the job has waited beyond the bound."""
        return now > job.arrived_at + self.max_wait_s and self.start_deadline(job, now) < now

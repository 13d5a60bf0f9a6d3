"""Service-level objectives: when a job must start, and when there must be capacity for it.

All times are in seconds. Deadlines are on the same clock as the arrival times of jobs.
"""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job import Job
from copperpass.settings import Objective

# Added to the arrival of a job without a deadline, so that it comes after all that have one.
NO_DEADLINE_S = 1e6


class ServiceLevelObjectives:
    """The users' objectives: start and completion targets by job class, and the guarantee target.

    Invariant: a target that can no longer be met has no influence on a deadline. If a job has no
    target that can still be met, its wait is bounded by `max_wait_s` instead.
    """

    def __init__(self, objectives: Iterable[Objective], max_wait_s: float = 1e6) -> None:
        # The bound on the wait of jobs without a target that can still be met.
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
        """Return the shortest start target of a class, in seconds; None if it has none."""
        targets = self.start_targets.get(job_class)
        return min(targets) if targets else None

    def has_start_target_below(self, boot_s: float) -> bool:
        """Whether any class has a start target shorter than the boot time of a machine."""
        return any(min(targets) < boot_s for targets in self.start_targets.values())

    def start_deadline(self, job: Job, now: float) -> float:
        """Return when the next task must start to meet the nearest target that can still be met."""
        spec = job.spec
        deadlines = [
            job.arrived_at + target for target in self.start_targets.get(spec.job_class, ())
        ]
        completion_targets = list(self.completion_targets.get(spec.job_class, ()))
        if self.guarantee_target_s is not None and job.guaranteed:
            deadlines.append(job.arrived_at + self.guarantee_target_s)
        if spec.deadline_s is not None:
            completion_targets.append(spec.deadline_s)
        # Estimates are often wrong by half or more, so the deadline leaves time for twice the
        # estimate. If it is too late for that, it leaves time for the estimate itself.
        for target in completion_targets:
            deadlines += [
                job.arrived_at + target - estimate_factor * spec.estimate_s
                for estimate_factor in (2, 1)
            ]
        reachable = [deadline for deadline in deadlines if deadline >= now]
        if reachable:
            return min(reachable)
        # A job without a target that can still be met comes last until its wait exceeds the bound.
        wait_bound = job.arrived_at + self.max_wait_s
        return wait_bound if now > wait_bound else job.arrived_at + NO_DEADLINE_S

    def capacity_deadline(self, job: Job, now: float) -> float:
        """Return when there must be capacity for the next task: the start deadline, but bounded.

        A job without a target that can still be met comes last, but its wait is bounded, and the
        machines must be there by then. When such jobs counted as having no deadline, no machines
        were provisioned for them while the fleet was busy with jobs whose targets were far off, and
        less than half of them were served.
        """
        deadline = self.start_deadline(job, now)
        if deadline < job.arrived_at + NO_DEADLINE_S:
            return deadline
        return job.arrived_at + self.max_wait_s

    def is_past_deadline(self, job: Job, now: float) -> bool:
        """Whether no target can be met any more and the job's wait has exceeded the bound."""
        return now > job.arrived_at + self.max_wait_s and self.start_deadline(job, now) < now

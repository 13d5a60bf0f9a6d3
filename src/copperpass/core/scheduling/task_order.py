"""The order in which the jobs of a team are placed: earliest start deadline first.

Two bounds keep jobs from starving: on the wait of a job without a target that can be met, and on
the CPUs of jobs past their deadline.
"""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.objectives import ServiceLevelObjectives
from copperpass.protocol.users import PRIORITY_LEVELS


def task_order(
    jobs: Iterable[Job], slos: ServiceLevelObjectives, now: float, priority_bonus_s: float = 0.0
) -> list[Job]:
    """Sort jobs by start deadline; each priority level makes it `priority_bonus_s` seconds earlier.

    Production jobs always come first. A job whose targets have all passed has a bounded wait. Once
    that is over, it is past its deadline and goes before jobs that can still meet theirs, so that
    no job starves.
    """

    def sort_key(job: Job) -> tuple[bool, float, float, str]:
        level = PRIORITY_LEVELS[job.spec.priority]
        deadline = slos.start_deadline(job, now) - level * priority_bonus_s
        return (level < PRIORITY_LEVELS["production"], deadline, job.arrived_at, job.spec.id)

    return sorted(jobs, key=sort_key)


def limit_past_deadline_share(
    queue: list[Job], slos: ServiceLevelObjectives, now: float, used_cpus: float, quota_cpus: float
) -> None:
    """Move jobs past their deadline from the front to the end once they have used up their quota.

    Without a bound, jobs without a target that can be met would take all capacity from jobs that
    can still meet theirs. Without any share, they would starve.
    """
    if used_cpus < quota_cpus or not queue:
        return
    past_deadline = [job for job in queue if slos.is_past_deadline(job, now)]
    if past_deadline and len(past_deadline) < len(queue):
        moved = {job.spec.id for job in past_deadline}
        queue[:] = [job for job in queue if job.spec.id not in moved] + past_deadline

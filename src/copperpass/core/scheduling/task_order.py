"""The order in which the jobs of a team are placed: earliest deadline first, with two bounds."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.objectives import ServiceLevelObjectives
from copperpass.protocol.users import PRIORITY_LEVELS


def task_order(
    jobs: Iterable[Job], slos: ServiceLevelObjectives, now: float, bonus_s: float = 0.0
) -> list[Job]:
    """Jobs by start deadline; each priority level counts as `bonus_s` seconds sooner.

    Production goes first in any case. Work whose targets have all passed has a bounded wait, and
    is past its deadline from then on: it goes before work that can still be in time, so that
    nothing starves.
    """

    def key(job: Job) -> tuple[bool, float, float, str]:
        level = PRIORITY_LEVELS[job.spec.priority]
        deadline = slos.start_deadline(job, now) - level * bonus_s
        return (level < PRIORITY_LEVELS["production"], deadline, job.arrived_at, job.spec.id)

    return sorted(jobs, key=key)


def limit_past_deadline_share(
    queue: list[Job], slos: ServiceLevelObjectives, now: float, used: float, quota: float
) -> None:
    """Move jobs past their deadline, which come first, to the end while they use their quota.

    `used` and `quota` are CPUs. Without a bound, work that has no target, or none left, would take
    all capacity from work that can still be in time; without any share, it would starve.
    """
    if used < quota or not queue:
        return
    past_deadline = [job for job in queue if slos.is_past_deadline(job, now)]
    if past_deadline and len(past_deadline) < len(queue):
        moved = {job.spec.id for job in past_deadline}
        queue[:] = [job for job in queue if job.spec.id not in moved] + past_deadline

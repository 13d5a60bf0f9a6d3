"""The order in which the jobs of a team are placed."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.objectives import ServiceLevelObjectives
from copperpass.protocol.users import PRIORITY_LEVELS


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

"""Urgent jobs: those that must start before a machine could boot for them."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.objectives import ServiceLevelObjectives


def is_urgent(job: Job, slos: ServiceLevelObjectives, boot_s: float) -> bool:
    """Whether a job must start before a machine could boot for it.

    By its class's objective, or as a guaranteed job by the objective for guarantees.
    """
    wait = slos.tightest_start_target(job.spec.job_class)
    if wait is not None and wait < boot_s:
        return True
    guarantee_wait = slos.guarantee_target_s
    return guarantee_wait is not None and guarantee_wait < boot_s and job.guaranteed


def needs_on_demand(job: Job, slos: ServiceLevelObjectives, boot_s: float) -> bool:
    """Whether a job is urgent and may not run on spot machines."""
    return not job.spec.spot and is_urgent(job, slos, boot_s)

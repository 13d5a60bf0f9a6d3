"""Decides which jobs are urgent: they must start before a machine could boot for them."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.objectives import ServiceLevelObjectives


def is_urgent(job: Job, slos: ServiceLevelObjectives, boot_s: float) -> bool:
    """Whether a job must start before a machine could boot for it, which takes `boot_s` seconds.

    Decided by the start objective of the job's class or, for a guaranteed job, by the objective for
    guarantees.
    """
    start_target_s = slos.tightest_start_target(job.spec.job_class)
    if start_target_s is not None and start_target_s < boot_s:
        return True
    guarantee_target_s = slos.guarantee_target_s
    return guarantee_target_s is not None and guarantee_target_s < boot_s and job.guaranteed


def needs_on_demand(job: Job, slos: ServiceLevelObjectives, boot_s: float) -> bool:
    """Whether a job is urgent and may not run on spot machines."""
    return not job.spec.spot and is_urgent(job, slos, boot_s)

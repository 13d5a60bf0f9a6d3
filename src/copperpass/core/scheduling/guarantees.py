"""Decides which jobs are covered by their team's guaranteed CPUs."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import fits_within


def assess_guarantees(jobs: Iterable[Job], guarantees: dict[str, float]) -> None:
    """Mark each new job as guaranteed if it fits its team's guarantee along with earlier jobs.

    `guarantees` holds CPUs by team. A job is assessed only once: later arrivals and completions
    don't change whether it is guaranteed.
    """
    jobs = list(jobs)
    if all(job.guarantee_assessed for job in jobs):
        return
    requested_cpus: dict[str, float] = {}
    for job in sorted(jobs, key=lambda job: (job.arrived_at, job.created_revision)):
        spec = job.spec
        total_cpus = requested_cpus.get(spec.team, 0.0) + spec.cpus * spec.tasks
        if not job.guarantee_assessed:
            job.guarantee_assessed = True
            job.guaranteed = fits_within(total_cpus, guarantees.get(spec.team, 0.0))
        requested_cpus[spec.team] = total_cpus

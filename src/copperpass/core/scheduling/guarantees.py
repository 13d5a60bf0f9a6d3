"""Which jobs are covered by their team's guarantee."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import fits_within


def assess_guarantees(jobs: Iterable[Job], guarantees: dict[str, float]) -> None:
    """Mark each new job whose CPUs fit its team's guarantee together with the earlier jobs'.

    `guarantees` holds CPUs by team. A job is assessed once: later arrivals and completions don't
    change whether it is guaranteed.
    """
    jobs = list(jobs)
    if all(job.guarantee_assessed for job in jobs):
        return
    requested: dict[str, float] = {}
    for job in sorted(jobs, key=lambda job: (job.arrived_at, job.created_revision)):
        spec = job.spec
        total = requested.get(spec.team, 0.0) + spec.cpus * spec.tasks
        if not job.guarantee_assessed:
            job.guarantee_assessed = True
            job.guaranteed = fits_within(total, guarantees.get(spec.team, 0.0))
        requested[spec.team] = total

"""Which jobs are covered by their team's guarantee."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.bin_packing.feasibility import fits_within


def assess_guarantees(jobs: Iterable[Job], guarantees: dict[str, float]) -> None:
    """Note of each new job whether it fits its team's guarantee with the earlier ones."""
    jobs = list(jobs)
    if all(job.guarantee_assessed for job in jobs):
        return
    taken: dict[str, float] = {}
    for job in sorted(jobs, key=lambda j: (j.arrived, j.created)):
        spec = job.spec
        total = taken.get(spec.team, 0.0) + spec.cpus * spec.tasks
        if not job.guarantee_assessed:
            job.guarantee_assessed = True
            job.guaranteed = fits_within(total, guarantees.get(spec.team, 0.0))
        taken[spec.team] = total

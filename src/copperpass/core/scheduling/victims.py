"""Which tasks to preempt on a machine so that a task of another job fits."""

from __future__ import annotations

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    CAPACITY_TOLERANCE,
    satisfies_constraints,
)
from copperpass.core.scheduling.machines import Machine, Placement
from copperpass.core.scheduling.task_estimates import preemption_cost
from copperpass.protocol.users import PRIORITY_LEVELS


def victims(
    job: Job,
    machine: Machine,
    jobs: dict[str, Job],
    over_guarantee: set[str],
    under: bool,
    now: float,
) -> list[Placement] | None:
    """The tasks to stop on a machine so that one task of the job fits, or None.

    A gang is made room for as a whole, where a single machine can take it.
    """
    spec = job.spec
    times = len(job.missing()) if spec.gang else 1
    needs = (spec.cpus * times, spec.gpus * times, spec.memory_gb * times)
    kind = machine.type
    if any(
        need > have + CAPACITY_TOLERANCE
        for need, have in zip(needs, (kind.cpus, kind.gpus, kind.memory_gb), strict=True)
    ) or (spec.gang and spec.spread and times > 1):
        return None
    if not satisfies_constraints(spec, machine.type, machine.zone, machine.spot):
        return None
    candidates = _preemptible(job, machine, jobs, over_guarantee, under)
    candidates.sort(
        key=lambda placement: (placement.priority, _preemption_order(placement, jobs, now))
    )
    cpus, gpus, memory = machine.free_capacity()
    for placement in machine.tasks.values():
        if placement.active and placement.stop_grace_s is not None:
            cpus, gpus = cpus + placement.cpus, gpus + placement.gpus
            memory += placement.memory_gb
    chosen: list[Placement] = []
    for placement in candidates:
        if cpus >= needs[0] and gpus >= needs[1] and memory >= needs[2]:
            break
        chosen.append(placement)
        cpus, gpus = cpus + placement.cpus, gpus + placement.gpus
        memory += placement.memory_gb
    enough = cpus >= needs[0] and gpus >= needs[1] and memory >= needs[2]
    return chosen if enough else None


def _preemption_order(placement: Placement, jobs: dict[str, Job], now: float) -> tuple[bool, float]:
    """What stopping a task costs: to stop one task of a gang is to stop all."""
    job = jobs.get(placement.job_id)
    gang = job is not None and job.spec.gang
    return gang, preemption_cost(placement, job.spec if job else None, now)


def _preemptible(
    job: Job, machine: Machine, jobs: dict[str, Job], over_guarantee: set[str], under: bool
) -> list[Placement]:
    """The tasks on a machine that may be stopped for a job."""
    spec, placements = job.spec, machine.tasks.values()
    mine = PRIORITY_LEVELS[spec.priority]
    # A gang is stopped as a whole and begins anew as a whole: only for a guarantee or production.
    spares = not under and mine < PRIORITY_LEVELS["production"]
    gangs = (
        {j for j in {p.job_id for p in placements} if j in jobs and jobs[j].spec.gang}
        if spares
        else set()
    )
    return [
        p
        for p in placements
        if p.active
        and p.stop_grace_s is None
        and p.reported
        and p.job_id not in gangs
        # Guards long tasks that can't save: stopped by each burst, they would never end.
        and not (spares and p.job_id in jobs and p.index in jobs[p.job_id].preempted)
        and (p.priority < mine or (under and p.team != spec.team and p.team in over_guarantee))
    ]

"""Room that tasks leave, by ending soon or by being stopped."""

from __future__ import annotations

from copperpass.core.jobs.job_table import CAPACITY_TOLERANCE, Job, fits_within
from copperpass.core.scheduling.machines import (
    Machine,
    Placement,
    feasible_on_type,
    satisfies_constraints,
    zone_feasible,
)
from copperpass.core.scheduling.objectives import remaining_s
from copperpass.protocol.users import PRIORITY_LEVELS, JobSpec


def work_since_checkpoint(placement: Placement, spec: JobSpec | None, now: float) -> float:
    """The work since a task's last checkpoint, about: all of it where it never saves."""
    if not placement.running_at:
        return 0.0
    ran = now - placement.running_at
    return ran % spec.checkpoint_s if spec is not None and spec.checkpoint_s > 0 else ran


def preemption_cost(placement: Placement, spec: JobSpec | None, now: float) -> float:
    """The seconds of work that stopping a task costs: lost, or spent on saving if that is less."""
    lost = work_since_checkpoint(placement, spec, now)
    return min(lost, spec.save_s) if spec is not None and spec.checkpoint_s > 0 else lost


def worth_checkpointing(placement: Placement, spec: JobSpec, slack_s: float, now: float) -> bool:
    """Whether a task that is stopped to make room should save first.

    Not where saving takes longer than the work since its last checkpoint did, nor where the room
    would come too late for the task that it is for.
    """
    return spec.save_s < min(work_since_checkpoint(placement, spec, now), slack_s)


def machine_to_reserve(
    job: Job, usable: list[Machine], machines: dict[str, Machine], now: float
) -> Machine | None:
    """The machine that will have room for the job's next task soonest, if nothing else starts."""
    best: tuple[float, str, Machine] | None = None
    spec = job.spec
    for machine in usable:
        if not satisfies_constraints(spec, machine.type, machine.zone, machine.spot):
            continue
        if not feasible_on_type(spec, machine.type) or not zone_feasible(
            job, machine.zone, machines
        ):
            continue
        if machine.is_reserved_for_other(spec.id, now):
            continue
        cpus, gpus, memory = machine.free_capacity()
        ready = 0.0
        tasks = sorted(
            ((remaining_s(p, now), p) for p in machine.tasks.values() if p.active),
            key=lambda pair: pair[0],
        )
        for left, p in tasks:
            if (
                fits_within(spec.cpus, cpus)
                and fits_within(spec.gpus, gpus)
                and fits_within(spec.memory_gb, memory)
            ):
                break
            ready = left
            cpus, gpus, memory = cpus + p.cpus, gpus + p.gpus, memory + p.memory_gb
        if best is None or (ready, machine.name) < best[:2]:
            best = (ready, machine.name, machine)
    return best[2] if best else None


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
    candidates = _stoppable(job, machine, jobs, over_guarantee, under)
    candidates.sort(key=lambda placement: (placement.priority, _stop_cost(placement, jobs, now)))
    cpus, gpus, memory = machine.free_capacity()
    for placement in machine.tasks.values():
        if placement.active and placement.stop is not None:
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


def _stop_cost(placement: Placement, jobs: dict[str, Job], now: float) -> tuple[bool, float]:
    """What stopping a task costs: to stop one task of a gang is to stop all."""
    job = jobs.get(placement.job_id)
    gang = job is not None and job.spec.gang
    return gang, preemption_cost(placement, job.spec if job else None, now)


def _stoppable(
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
        and p.stop is None
        and p.seen
        and p.job_id not in gangs
        # Guards long tasks that can't save: stopped by each burst, they would never end.
        and not (spares and p.job_id in jobs and p.index in jobs[p.job_id].preempted)
        and (p.priority < mine or (under and p.team != spec.team and p.team in over_guarantee))
    ]

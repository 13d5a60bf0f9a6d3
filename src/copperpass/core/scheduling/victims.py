"""Which tasks to preempt on a machine so that a task of another job fits."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import fits_within, satisfies_constraints
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import Placement
from copperpass.core.scheduling.task_estimates import preemption_cost
from copperpass.protocol.users import PRIORITY_LEVELS


@dataclass(frozen=True, slots=True)
class Preemptor:
    """A job that may have tasks of others preempted."""

    job: Job
    # Seconds until its start deadline.
    slack_s: float
    # Its team is under its guarantee, so it may take back what others have borrowed.
    under_guarantee: bool

    @property
    def priority(self) -> int:
        """The level of the job's priority."""
        return PRIORITY_LEVELS[self.job.spec.priority]

    @property
    def spares_gangs(self) -> bool:
        """Whether tasks of gangs, and tasks that were preempted before, are left alone.

        A gang is stopped as a whole and starts anew as a whole: only for a guarantee or production.
        """
        return not self.under_guarantee and self.priority < PRIORITY_LEVELS["production"]


def cost_of_victim(placement: Placement, jobs: dict[str, Job], now: float) -> tuple[bool, float]:
    """What preempting a task costs: whether a whole gang stops with it, and seconds of work."""
    job = jobs.get(placement.job_id)
    if job is None:
        return False, preemption_cost(placement, None, now)
    return job.spec.gang, preemption_cost(placement, job.spec, now)


def choose_victims(
    preemptor: Preemptor,
    machine: Machine,
    jobs: dict[str, Job],
    over_guarantee: set[str],
    now: float,
) -> list[Placement] | None:
    """The tasks to preempt on a machine so that one task of the job fits, or None.

    Empty if it will fit once the tasks that are stopping already are gone. Capacity for a gang is
    freed as a whole, where a single machine can take it. `over_guarantee` names the teams that use
    more than their guarantee.
    """
    needs = _needs(preemptor.job, machine)
    if needs is None:
        return None
    candidates = _preemptible(preemptor, machine, jobs, over_guarantee)
    candidates.sort(
        key=lambda placement: (placement.priority, cost_of_victim(placement, jobs, now))
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


def _needs(job: Job, machine: Machine) -> tuple[float, float, float] | None:
    """CPUs, GPUs and GB of memory that must be free on a machine; None if they never can be."""
    spec, machine_type = job.spec, machine.type
    count = len(job.pending_tasks()) if spec.gang else 1
    needs = (spec.cpus * count, spec.gpus * count, spec.memory_gb * count)
    totals = (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    if not all(fits_within(need, total) for need, total in zip(needs, totals, strict=True)):
        return None
    if spec.gang and spec.spread and count > 1:
        return None
    if not satisfies_constraints(spec, machine_type, machine.zone, machine.spot):
        return None
    return needs


def _preemptible(
    preemptor: Preemptor, machine: Machine, jobs: dict[str, Job], over_guarantee: set[str]
) -> list[Placement]:
    """The tasks on a machine that may be preempted for a job."""
    team, priority = preemptor.job.spec.team, preemptor.priority
    spares_gangs, under_guarantee = preemptor.spares_gangs, preemptor.under_guarantee

    def is_spared(placement: Placement) -> bool:
        job = jobs.get(placement.job_id)
        # Guards long tasks without checkpoints: preempted by each burst, they would never end.
        return job is not None and (job.spec.gang or placement.index in job.preempted)

    return [
        placement
        for placement in machine.tasks.values()
        if placement.active
        and placement.stop_grace_s is None
        and placement.reported
        and not (spares_gangs and is_spared(placement))
        and (
            placement.priority < priority
            or (under_guarantee and placement.team != team and placement.team in over_guarantee)
        )
    ]

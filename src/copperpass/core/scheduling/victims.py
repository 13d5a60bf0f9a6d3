"""The choice of tasks to preempt on a machine so that a task of another job fits."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    fits_within,
    is_small,
    satisfies_constraints,
)
from copperpass.core.scheduling.guarantee_excess import GuaranteeExcess
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import Placement
from copperpass.core.scheduling.task_estimates import preemption_cost
from copperpass.protocol.users import PRIORITY_LEVELS

# CPUs, GPUs and GB of memory.
Amounts = tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class Preemptor:
    """A job for which tasks of other jobs may be preempted."""

    job: Job
    # Seconds until its start deadline.
    slack_s: float
    # How many of its tasks would stay within its team's guarantee. For these it may reclaim
    # capacity from teams that use more than theirs.
    guaranteed_tasks: int

    @property
    def under_guarantee(self) -> bool:
        """Whether any of its tasks would stay within its team's guarantee."""
        return self.guaranteed_tasks > 0

    @property
    def priority(self) -> int:
        """The job's priority as a number; the higher preempts the lower."""
        return PRIORITY_LEVELS[self.job.spec.priority]

    @property
    def protects_gangs(self) -> bool:
        """Whether tasks of gangs, and tasks that were preempted before, must not be preempted.

        They are preempted only for a guarantee or for production, since a gang is stopped and
        restarted as a whole.
        """
        return not self.under_guarantee and self.priority < PRIORITY_LEVELS["production"]


def cost_of_victim(placement: Placement, jobs: dict[str, Job], now: float) -> tuple[bool, float]:
    """Return the cost of preempting a task: whether its whole gang stops, and seconds of work."""
    job = jobs.get(placement.job_id)
    if job is None:
        return False, preemption_cost(placement, None, now)
    return job.spec.gang, preemption_cost(placement, job.spec, now)


def choose_victims(
    preemptor: Preemptor,
    machine: Machine,
    jobs: dict[str, Job],
    excess: GuaranteeExcess,
    now: float,
) -> list[Placement] | None:
    """Return the tasks to preempt on a machine so that one task of the job fits.

    None if it can't fit; empty if it will fit once the tasks that are already stopping are gone.
    For a gang, capacity for all its missing tasks is freed on one machine, if the machine can hold
    them. Tasks of the same or a higher priority are chosen only as far as `excess` allows, which is
    not changed.
    """
    job = preemptor.job
    count = job.pending_count() if job.spec.gang else 1
    required = _required_capacity(job, machine, count)
    if required is None:
        return None
    candidates = _preemptible(preemptor, machine, jobs)
    candidates.sort(
        key=lambda placement: (placement.priority, cost_of_victim(placement, jobs, now))
    )
    cpus, gpus, memory = machine.free_capacity()
    slots = machine.usable_slots(job.spec)
    for placement in machine.tasks.values():
        if placement.active and placement.stop_grace_s is not None:
            cpus, gpus = cpus + placement.cpus, gpus + placement.gpus
            memory, slots = memory + placement.memory_gb, slots + 1

    if slots < count and is_small(job.spec, machine.type):
        # Tasks are not stopped for slots, which other tasks have wherever their resources are free.
        return None
    missing = (required[0] - cpus, required[1] - gpus, required[2] - memory)
    chosen = _choose(preemptor, candidates, missing, jobs, excess.copy())
    return None if chosen is None else _without_superfluous(chosen, missing)


def _choose(
    preemptor: Preemptor,
    candidates: list[Placement],
    missing: Amounts,
    jobs: dict[str, Job],
    excess: GuaranteeExcess,
) -> list[Placement] | None:
    """Take candidates in order until what is missing is free; None if they don't suffice."""
    chosen: list[Placement] = []
    for placement in candidates:
        if _frees(chosen, missing):
            break
        job = jobs.get(placement.job_id)
        if placement.priority >= preemptor.priority and not excess.allows(placement, job):
            continue
        excess.take(placement, job)
        chosen.append(placement)
    return chosen if _frees(chosen, missing) else None


def _without_superfluous(chosen: list[Placement], missing: Amounts) -> list[Placement]:
    """Leave out the tasks that later and larger ones have made unnecessary."""
    needed = list(chosen)
    for placement in chosen:
        others = [other for other in needed if other is not placement]
        if _frees(others, missing):
            needed = others
    return needed


def _frees(placements: list[Placement], missing: Amounts) -> bool:
    """Whether the tasks free at least the missing CPUs, GPUs and GB of memory."""
    return (
        fits_within(missing[0], sum(placement.cpus for placement in placements))
        and fits_within(missing[1], sum(placement.gpus for placement in placements))
        and fits_within(missing[2], sum(placement.memory_gb for placement in placements))
    )


def _required_capacity(job: Job, machine: Machine, count: int) -> Amounts | None:
    """Return the CPUs, GPUs and GB of memory that must be free on a machine for `count` tasks.

    None if the machine can't take the job at all, even when empty.
    """
    spec, machine_type = job.spec, machine.type
    required = (spec.cpus * count, spec.gpus * count, spec.memory_gb * count)
    totals = (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    if not all(fits_within(need, total) for need, total in zip(required, totals, strict=True)):
        return None
    if spec.gang and spec.spread and count > 1:
        return None
    if not satisfies_constraints(spec, machine_type, machine.zone, machine.spot):
        return None
    return required


def _preemptible(preemptor: Preemptor, machine: Machine, jobs: dict[str, Job]) -> list[Placement]:
    """List the tasks on a machine that may be preempted for a job, as far as excess allows."""
    team, priority = preemptor.job.spec.team, preemptor.priority
    protects_gangs, under_guarantee = preemptor.protects_gangs, preemptor.under_guarantee

    def is_protected(placement: Placement) -> bool:
        job = jobs.get(placement.job_id)
        # Tasks that were preempted before are protected because a long task without checkpoints
        # would never complete if each burst of demand preempted it again.
        return job is not None and (job.spec.gang or placement.index in job.preempted)

    return [
        placement
        for placement in machine.tasks.values()
        if placement.active
        and placement.stop_grace_s is None
        and placement.reported
        and not (protects_gangs and is_protected(placement))
        and (placement.priority < priority or (under_guarantee and placement.team != team))
    ]

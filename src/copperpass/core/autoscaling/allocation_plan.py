"""Allocates the fleet among teams and computes how far each shard is from its allocation."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperpass.core.autoscaling.state import ManagedMachine, Shard
from copperpass.core.jobs.job import Job
from copperpass.core.scheduling import allocation
from copperpass.settings import Cluster


@dataclass(slots=True)
class RemainingWork:
    """A team's tasks that are not completed, with their total CPUs and second resource.

    The second resource is GPUs if the deployment has GPU quotas, otherwise memory in GB.
    """

    tasks: float = 0.0
    cpus: float = 0.0
    second_resource: float = 0.0


def remaining_by_team(cluster: Cluster, jobs: Iterable[Job]) -> dict[str, RemainingWork]:
    """Sum up the remaining work of each team that has jobs."""
    teams: dict[str, RemainingWork] = {}
    has_gpu_quotas = cluster.has_gpu_quotas
    for job in jobs:
        spec = job.spec
        tasks = spec.tasks - job.completed_count
        remaining = teams.setdefault(spec.team, RemainingWork())
        remaining.tasks += tasks
        remaining.cpus += tasks * spec.cpus
        remaining.second_resource += tasks * (spec.gpus if has_gpu_quotas else spec.memory_gb)
    return teams


def allocate(
    cluster: Cluster, active_machines: list[ManagedMachine], remaining: dict[str, RemainingWork]
) -> allocation.Allocation:
    """Allocate all active machines, bottleneck-aware, among the teams with remaining work."""
    has_gpu_quotas = cluster.has_gpu_quotas
    claims = []
    for team in cluster.teams:
        work = remaining.get(team.name)
        if work is None or work.tasks <= 0:
            continue
        tasks, cpus = work.tasks, work.cpus
        max_tasks = min(tasks, team.cpus_limit * tasks / cpus) if cpus > 0 else tasks
        weight = allocation.weight_of_quota(team.cpus, team.gpus, has_gpu_quotas)
        resources_per_task = (cpus / tasks, work.second_resource / tasks)
        claims.append(allocation.Claim(team.name, resources_per_task, weight, max_tasks))
    capacity = (
        sum(machine.type.cpus for machine in active_machines),
        sum(
            machine.type.gpus if has_gpu_quotas else machine.type.memory_gb
            for machine in active_machines
        ),
    )
    return allocation.allocate(claims, capacity)


def allocation_ratio(
    shard: Shard,
    active_machines: list[ManagedMachine],
    remaining: dict[str, RemainingWork],
    allocated: allocation.Allocation,
) -> float:
    """Return the ratio of a shard's CPUs to its allocated CPUs; infinite if it has no allocation.

    The planner serves the shard with the lowest ratio first: it is the furthest below its
    allocation.
    """
    cpus = sum(
        machine.type.cpus for machine in active_machines if machine.route.shard == shard.number
    )
    shard_work = [remaining[team] for team in shard.teams if team in remaining]
    remaining_tasks = sum(work.tasks for work in shard_work)
    remaining_cpus = sum(work.cpus for work in shard_work)
    allocated_tasks = sum(allocated.tasks.get(team, 0.0) for team in shard.teams)
    target_cpus = remaining_cpus * allocated_tasks / remaining_tasks if remaining_tasks > 0 else 0.0
    return cpus / target_cpus if target_cpus > 0 else float("inf")

"""The allocation of the whole fleet among teams, and how much of it each shard has."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperpass.core.autoscaling.state import ManagedMachine, Shard
from copperpass.core.jobs.job import Job
from copperpass.core.scheduling import allocation
from copperpass.settings import Cluster


@dataclass(slots=True)
class RemainingWork:
    """What a team has left to do: tasks, their CPUs, and the other resource of the allocation.

    That is GPUs where the deployment has them, else memory in GB.
    """

    tasks: float = 0.0
    cpus: float = 0.0
    second_resource: float = 0.0


def remaining_by_team(cluster: Cluster, jobs: Iterable[Job]) -> dict[str, RemainingWork]:
    """The remaining work of each team that has jobs."""
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
    cluster: Cluster, serving: list[ManagedMachine], remaining: dict[str, RemainingWork]
) -> allocation.Allocation:
    """Bottleneck-aware allocation of all machines among the teams that have work left."""
    has_gpu_quotas = cluster.has_gpu_quotas
    claims = []
    for team in cluster.teams:
        work = remaining.get(team.name)
        if work is None or work.tasks <= 0:
            continue
        tasks, cpus = work.tasks, work.cpus
        max_tasks = min(tasks, team.cpus_limit * tasks / cpus) if cpus > 0 else tasks
        weight = allocation.weight_of_quota(team.cpus, team.gpus, has_gpu_quotas)
        per_task = (cpus / tasks, work.second_resource / tasks)
        claims.append(allocation.Claim(team.name, per_task, weight, max_tasks))
    capacity = (
        sum(machine.type.cpus for machine in serving),
        sum(m.type.gpus if has_gpu_quotas else m.type.memory_gb for m in serving),
    )
    return allocation.allocate(claims, capacity)


def fullness(
    shard: Shard,
    serving: list[ManagedMachine],
    remaining: dict[str, RemainingWork],
    allocated: allocation.Allocation,
) -> float:
    """A shard's CPUs as a part of its allocation; infinite without one.

    The shard with the lowest is served first: it is the furthest below its allocation.
    """
    cpus = sum(machine.type.cpus for machine in serving if machine.route.shard == shard.number)
    work = [remaining[team] for team in shard.teams if team in remaining]
    tasks_left = sum(team.tasks for team in work)
    cpus_left = sum(team.cpus for team in work)
    allocated_tasks = sum(allocated.tasks.get(team, 0.0) for team in shard.teams)
    target_cpus = cpus_left * allocated_tasks / tasks_left if tasks_left > 0 else 0.0
    return cpus / target_cpus if target_cpus > 0 else float("inf")

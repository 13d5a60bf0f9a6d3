"""The allocation of the whole fleet among teams, and how much of it each shard has."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperpass.core.autoscaling.state import ManagedMachine, Shard
from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling import allocation
from copperpass.settings import Cluster

LEAST_WEIGHT = 1e-3


@dataclass(slots=True)
class Remaining:
    """What is left to do of a team: tasks, their CPUs, their GPUs or memory."""

    tasks: float = 0.0
    cpus: float = 0.0
    second: float = 0.0


def remaining_by_team(cluster: Cluster, jobs: Iterable[Job]) -> dict[str, Remaining]:
    """Sum up what is left of each team that has jobs."""
    teams: dict[str, Remaining] = {}
    gpus_matter = cluster.gpus_matter
    for job in jobs:
        left = job.spec.tasks - job.done_count
        second = job.spec.gpus if gpus_matter else job.spec.memory_gb
        remaining = teams.setdefault(job.spec.team, Remaining())
        remaining.tasks += left
        remaining.cpus += left * job.spec.cpus
        remaining.second += left * second
    return teams


def allocate(
    cluster: Cluster, serving: list[ManagedMachine], remaining: dict[str, Remaining]
) -> allocation.Allocation:
    """Bottleneck-aware allocation of all machines among the teams that ask."""
    gpus_matter = cluster.gpus_matter
    claims = []
    for team in cluster.teams:
        left = remaining.get(team.name)
        if left is None or left.tasks <= 0:
            continue
        tasks, cpus = left.tasks, left.cpus
        cap = min(tasks, team.cpus_limit * tasks / cpus) if cpus > 0 else tasks
        weight = team.gpus if gpus_matter and team.gpus > 0 else team.cpus
        request = (cpus / tasks, left.second / tasks)
        claims.append(allocation.Claim(team.name, request, max(weight, LEAST_WEIGHT), cap))
    return allocation.allocate(
        claims,
        (
            sum(machine.type.cpus for machine in serving),
            sum(m.type.gpus if gpus_matter else m.type.memory_gb for m in serving),
        ),
    )


def fullness(
    shard: Shard,
    serving: list[ManagedMachine],
    remaining: dict[str, Remaining],
    allocated: allocation.Allocation,
) -> float:
    """A shard's machines as a part of its allocation: the furthest below comes first."""
    have = sum(machine.type.cpus for machine in serving if machine.entry.shard == shard.number)
    mine = [remaining[team] for team in shard.teams if team in remaining]
    left, cpus = sum(team.tasks for team in mine), sum(team.cpus for team in mine)
    share = sum(allocated.tasks.get(team, 0.0) for team in shard.teams)
    target = cpus * share / left if left > 0 else 0.0
    return have / target if target > 0 else float("inf")

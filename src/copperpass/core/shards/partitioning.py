"""Which shard each team's jobs and machines belong to."""

from __future__ import annotations

from copperpass.protocol.frames.messages import MAX_SHARDS
from copperpass.settings import Cluster
from copperpass.tuning import Tuning


def shards_of(cluster: Cluster, tuning: Tuning) -> dict[str, int]:
    """The shard of each team: one each, or one for all where a controller can carry them.

    Partitioning costs capacity, since a machine serves one shard at a time; it pays where the
    teams' guarantees are more than one controller's processor should command.
    """
    guaranteed = sum(team.cpus for team in cluster.teams)
    partitioned = guaranteed > tuning.part_cpus_per_core * cluster.resources.cores
    if not partitioned:
        return {team.name: 0 for team in cluster.teams}
    return {team.name: number % MAX_SHARDS for number, team in enumerate(cluster.teams)}

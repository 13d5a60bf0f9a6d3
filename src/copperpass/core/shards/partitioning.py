"""Assignment of teams, with their jobs and machines, to shards."""

from __future__ import annotations

from copperpass.protocol.frames.messages import MAX_SHARDS
from copperpass.settings import Cluster
from copperpass.tuning import Tuning


def shards_by_team(cluster: Cluster, tuning: Tuning) -> dict[str, int]:
    """Return the shard of each team: one for all teams if one controller can serve them.

    Otherwise each team gets its own, up to `MAX_SHARDS`; beyond that teams share shards.
    Partitioning costs capacity, since a machine serves one shard at a time. It pays only where the
    teams' guaranteed CPUs exceed what one controller's processor should manage.
    """
    guaranteed = sum(team.cpus for team in cluster.teams)
    partitioned = guaranteed > tuning.part_cpus_per_core * cluster.resources.cores
    if not partitioned:
        return {team.name: 0 for team in cluster.teams}
    return {team.name: number % MAX_SHARDS for number, team in enumerate(cluster.teams)}

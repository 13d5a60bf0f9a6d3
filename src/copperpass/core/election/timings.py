"""Durations of the election, all in seconds, and the inequalities that its safety rests on."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.errors import SettingsError
from copperpass.settings import Cluster

# The greatest relative drift of a steady clock.
CLOCK_DRIFT = 0.0005
# The length of a grant, as a part of the leader key's time to live.
GRANT_TTL_RATIO = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class ElectionTimings:
    """The durations that the safety argument is about.

    `leader_ttl_s`: the leader key's lease. `vote_s`: how long a vote binds the member that cast it.
    `max_extension_s`: how long votes may extend a leader's authority beyond its last renewal.
    `worker_lease_s` and `cancel_deadline_s`: the workers' figures, from the settings.
    """

    leader_ttl_s: float
    vote_s: float
    max_extension_s: float
    worker_lease_s: float
    cancel_deadline_s: float

    def check(self) -> None:
        """Raise `SettingsError` for durations for which the argument does not hold."""
        slack = 1 + 4 * CLOCK_DRIFT
        if not 0 < self.vote_s * slack < self.leader_ttl_s:
            raise SettingsError("a vote must be shorter than the leader key's life")
        if (self.leader_ttl_s + 2 * self.vote_s) * slack >= self.worker_lease_s:
            raise SettingsError("workers.lease_s: too short for a change of leader")
        extended_s = self.max_extension_s + self.worker_lease_s
        if self.max_extension_s < 0 or extended_s * slack > self.cancel_deadline_s:
            raise SettingsError(
                "workers.cancel_s: too short for an extension of authority and a worker's lease"
            )


def election_timings(cluster: Cluster) -> ElectionTimings:
    """The durations as ratios of the workers' figures; raises `SettingsError` if unsafe."""
    lease, cancel = cluster.workers.lease_s, cluster.workers.cancel_deadline_s
    ttl = 0.22 * lease
    timings = ElectionTimings(
        leader_ttl_s=ttl,
        vote_s=0.35 * ttl,
        max_extension_s=max(0.0, 0.95 * (cancel - 1.01 * lease)),
        worker_lease_s=lease,
        cancel_deadline_s=cancel,
    )
    timings.check()
    return timings


def worker_lease_expiry_s(cluster: Cluster) -> float:
    """How long after an answer's receipt a worker's lease has expired for certain."""
    workers = cluster.workers
    return workers.lease_s * (1 + 4 * CLOCK_DRIFT) + 0.05 * workers.heartbeat_interval_s

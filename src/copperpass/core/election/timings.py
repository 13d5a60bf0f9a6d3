"""Durations of the election in seconds, and the inequalities that its safety depends on."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.errors import SettingsError
from copperpass.settings import Cluster

# The greatest relative drift of a monotonic clock: 0.5 ms per second.
CLOCK_DRIFT = 0.0005
# The duration of a shard grant, as a fraction of the leader key's TTL.
GRANT_TTL_RATIO = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class ElectionTimings:
    """The durations that the safety argument in docs/design.md is about.

    `leader_ttl_s`: the TTL of the leader key's lease. `vote_s`: how long a vote binds the member
    that granted it. `max_extension_s`: how long votes may extend a leader's authority beyond its
    last renewal. `worker_lease_s` and `cancel_deadline_s`: `workers.lease_s` and `workers.cancel_s`
    of the settings.
    """

    leader_ttl_s: float
    vote_s: float
    max_extension_s: float
    worker_lease_s: float
    cancel_deadline_s: float

    def check(self) -> None:
        """Raise `SettingsError` for durations for which the safety argument does not hold."""
        slack = 1 + 4 * CLOCK_DRIFT
        if not 0 < self.vote_s * slack < self.leader_ttl_s:
            raise SettingsError(
                f"vote_s: {self.vote_s:g} s; must be more than 0 s and less than"
                f" {self.leader_ttl_s / slack:g} s, the leader key's TTL less clock drift"
            )
        if (self.leader_ttl_s + 2 * self.vote_s) * slack >= self.worker_lease_s:
            raise SettingsError(
                f"workers.lease_s: {self.worker_lease_s:g} s; must be more than"
                f" {(self.leader_ttl_s + 2 * self.vote_s) * slack:g} s, the time for a change of"
                " leader"
            )
        extended_s = self.max_extension_s + self.worker_lease_s
        if self.max_extension_s < 0 or extended_s * slack > self.cancel_deadline_s:
            raise SettingsError(
                f"workers.cancel_s: {self.cancel_deadline_s:g} s; must be at least"
                f" {extended_s * slack:g} s, the sum of an extension of the leader's authority"
                f" ({self.max_extension_s:g} s, not negative) and workers.lease_s"
                f" ({self.worker_lease_s:g} s), with clock drift"
            )


def election_timings(cluster: Cluster) -> ElectionTimings:
    """Derive the durations from the workers' timings; raises `SettingsError` if they are unsafe."""
    lease_s, cancel_s = cluster.workers.lease_s, cluster.workers.cancel_deadline_s
    ttl_s = 0.22 * lease_s
    timings = ElectionTimings(
        leader_ttl_s=ttl_s,
        vote_s=0.35 * ttl_s,
        max_extension_s=max(0.0, 0.95 * (cancel_s - 1.01 * lease_s)),
        worker_lease_s=lease_s,
        cancel_deadline_s=cancel_s,
    )
    timings.check()
    return timings


def worker_lease_expiry_s(cluster: Cluster) -> float:
    """The seconds after a worker receives an answer by which its lease has certainly expired."""
    workers = cluster.workers
    return workers.lease_s * (1 + 4 * CLOCK_DRIFT) + 0.05 * workers.heartbeat_interval_s

"""Makes a leader step down when it is isolated or its watch cache lags behind its peers'."""

from __future__ import annotations

from collections.abc import Callable

from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.membership.peer_heartbeats import PeerHeartbeats
from copperpass.log_events import StepDownReason
from copperpass.settings import WorkerTimings


class IsolationMonitor:
    """Ends this member's leadership when it is isolated or its watch cache is behind.

    A leader is isolated if it receives nothing from other controllers and no worker heartbeats.
    While another controller is reachable, it relays the heartbeats of workers that cannot reach
    this one. If the last machine is dead, no controller receives worker heartbeats, and stepping
    down would only pass the leadership around. So this member does not step down for isolation
    again until another member has led.
    """

    def __init__(
        self, election: LeaderElection, heartbeats: PeerHeartbeats, workers: WorkerTimings
    ) -> None:
        self.election, self.heartbeats, self.workers = election, heartbeats, workers
        # The token under which this member last stepped down for isolation; -1 if it never did.
        self._isolated_token = -1

    def check(
        self,
        now: float,
        last_worker_heartbeat_at: float,
        has_machines: Callable[[], bool],
        consistent_at: float,
    ) -> None:
        """Step down if this member is isolated or its watch cache is behind.

        `has_machines` is called last, and only if the other conditions of isolation hold, because
        it may search the whole inventory. `consistent_at` is that of this member's watch cache.
        """
        if (
            not self.heartbeats.any_peer_alive(now)
            and self._workers_timed_out(now, last_worker_heartbeat_at)
            and self.election.peers
            and self._isolated_token != self.election.token - 1
            and has_machines()
        ):
            self._isolated_token = self.election.token
            self.election.step_down(now, StepDownReason.NO_WORKER_HEARTBEATS, self.workers.lease_s)
        if self.heartbeats.is_behind(consistent_at):
            # The store refuses the requests of this member alone, or its watch hangs while its
            # lease is still renewed. Another member has a newer watch cache and can lead.
            ttl_s = self.election.leader_ttl_s
            self.election.step_down(now, StepDownReason.WATCH_CACHE_BEHIND, ttl_s)

    def _workers_timed_out(self, now: float, last_heartbeat_at: float) -> bool:
        timeout_s = max(2.5 * self.workers.heartbeat_interval_s, self.election.leader_ttl_s)
        return now - last_heartbeat_at > timeout_s

"""A leader that is isolated, or whose watch cache lags, steps down for another to lead."""

from __future__ import annotations

from collections.abc import Callable

from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.membership.peer_heartbeats import PeerHeartbeats
from copperpass.log_events import StepDownReason
from copperpass.settings import WorkerTimings


class IsolationMonitor:
    """Steps down when neither workers nor other controllers can be heard, or others know more.

    While another controller can be heard, workers that cannot reach this one are relayed by it.
    With the last machine dead no controller hears a worker: to step down then would only pass the
    leadership round. So it is done once, and again only after another member has led.
    """

    def __init__(
        self, election: LeaderElection, heartbeats: PeerHeartbeats, workers: WorkerTimings
    ) -> None:
        self.election, self.heartbeats, self.workers = election, heartbeats, workers
        # The token under which this member last stepped down for isolation.
        self._isolated_token = -1

    def check(
        self,
        now: float,
        last_worker_heartbeat_at: float,
        has_machines: Callable[[], bool],
        consistent_at: float,
    ) -> None:
        """Step down if need be.

        `has_machines` is asked only when no member is heard: it may look at the whole inventory.
        """
        if (
            not self.heartbeats.any_alive(now)
            and self._workers_timed_out(now, last_worker_heartbeat_at)
            and self.election.peers
            and self._isolated_token != self.election.token - 1
            and has_machines()
        ):
            self._isolated_token = self.election.token
            self.election.step_down(now, StepDownReason.NO_WORKER_HEARTBEATS, self.workers.lease_s)
        if self.heartbeats.is_behind(consistent_at):
            # The store refuses this member alone, or its watch hangs while its key is still
            # renewed: another member knows more and can lead.
            ttl = self.election.leader_ttl_s
            self.election.step_down(now, StepDownReason.WATCH_CACHE_BEHIND, ttl)

    def _workers_timed_out(self, now: float, last_heartbeat_at: float) -> bool:
        timeout_s = max(2.5 * self.workers.heartbeat_interval_s, self.election.leader_ttl_s)
        return now - last_heartbeat_at > timeout_s

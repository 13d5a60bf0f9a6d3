"""Exchange of the running tasks per job between members, which is for display only."""

from __future__ import annotations

from collections.abc import Sequence

from copperpass.core.jobs.job_table import JobTable
from copperpass.core.ports import Outbox
from copperpass.core.shards.grant_client import GrantClient
from copperpass.protocol.frames.messages import RunningCounts

SEND_INTERVAL_S = 1.0


class RunningCountExchange:
    """Sends the counts of this member's shards, and keeps the last counts of each peer."""

    def __init__(
        self,
        peers: Sequence[str],
        jobs: JobTable,
        shard_by_team: dict[str, int],
        grant_client: GrantClient,
        outbox: Outbox,
        now: float,
    ) -> None:
        self.peers, self.jobs, self.shard_by_team, self.outbox = peers, jobs, shard_by_team, outbox
        self.grant_client = grant_client
        self._counts_by_peer: dict[str, dict[str, int]] = {}
        self._next_send_at = now

    def on_frame(self, sender: str, frame: RunningCounts) -> None:
        """Replace the counts of a peer."""
        self._counts_by_peer[sender] = frame.running

    def counts_of(self, job_id: str) -> tuple[int, int]:
        """The completed and running tasks of a job; (0, 0) for an unknown job.

        For a job in another member's shard, the running tasks are the highest count among the last
        reports of the peers.
        """
        job = self.jobs.jobs.get(job_id)
        if job is None:
            return 0, 0
        if self._is_own(job.spec.team):
            return job.completed_count, job.displayed_running()
        reported = (counts.get(job_id, 0) for counts in self._counts_by_peer.values())
        return job.completed_count, max(reported, default=0)

    def send_if_due(self, now: float) -> None:
        """Send the counts of jobs in own shards to all peers if due; nothing without a shard."""
        if not self.grant_client.schedulers or now < self._next_send_at:
            return
        self._next_send_at = now + SEND_INTERVAL_S
        counts = {
            job_id: job.displayed_running()
            for job_id, job in self.jobs.jobs.items()
            if job.displayed_running() and self._is_own(job.spec.team)
        }
        for peer in self.peers:
            self.outbox.send(peer, RunningCounts(counts))

    def _is_own(self, team: str) -> bool:
        return self.shard_by_team.get(team, 0) in self.grant_client.schedulers

"""Cancellations on one member: marks cancelled jobs, and answers notices of other members."""

from __future__ import annotations

from copperpass.core.jobs.job_table import JobTable
from copperpass.core.membership.peer_heartbeats import PeerHeartbeats
from copperpass.core.ports import Outbox
from copperpass.core.shards.grant_client import GrantClient
from copperpass.protocol.frames.messages import CancellationAcknowledged, JobCancelled


class CancelledJobs:
    """Marks jobs as cancelled when their cancellation is stored, before the watch shows it.

    From then on this member starts no tasks of such a job, and it stops those that run.
    """

    def __init__(
        self,
        jobs: JobTable,
        grant_client: GrantClient,
        peer_heartbeats: PeerHeartbeats,
        outbox: Outbox,
    ) -> None:
        self.jobs, self.grant_client = jobs, grant_client
        self.peer_heartbeats, self.outbox = peer_heartbeats, outbox

    def apply(self, now: float, job_id: str) -> None:
        """Stop the job's running tasks and start no more; repeated calls have no effect."""
        known = job_id in self.jobs.cancelled
        job = self.jobs.mark_cancelled(job_id)
        if job is not None and not known:
            for scheduler in list(self.grant_client.schedulers.values()):
                scheduler.on_job_cancelled(now, job)

    def on_notice(self, now: float, sender: str, frame: JobCancelled) -> None:
        """Apply a cancellation that another member knows of, and acknowledge it."""
        self.apply(now, frame.job)
        if self.peer_heartbeats.knows_start_permits(now, sender):
            self.outbox.send(sender, CancellationAcknowledged(frame.job))

"""Announces stored cancellations to the members that run the jobs' tasks."""

from __future__ import annotations

from copperpass.core.jobs.job_table import JobTable
from copperpass.core.membership.version_registry import VersionRegistry
from copperpass.core.ports import Outbox
from copperpass.core.shards.grant_client import GrantClient
from copperpass.protocol.frames.messages import JobCancelled


class CancellationBroadcast:
    """Marks cancelled jobs on this member and notifies every peer that knows the frame.

    The notification is a hint in addition to the watch, which may be late by up to the bound on the
    watch cache's age. It avoids starts of tasks after a confirmed cancellation; answers to users do
    not depend on it.
    """

    def __init__(
        self,
        jobs: JobTable,
        grant_client: GrantClient,
        version_registry: VersionRegistry,
        outbox: Outbox,
    ) -> None:
        self.jobs, self.grant_client = jobs, grant_client
        self.version_registry, self.outbox = version_registry, outbox

    def announce(self, now: float, job_id: str) -> None:
        """Apply a cancellation that this member has stored, and notify the peers."""
        self.on_cancelled(now, job_id)
        registry = self.version_registry
        for member in registry.members:
            if member != registry.member and registry.is_upgraded(member):
                self.outbox.send(member, JobCancelled(job_id))

    def on_cancelled(self, now: float, job_id: str) -> None:
        """Apply a stored cancellation: stop the job's running tasks and start no more."""
        job = self.jobs.mark_cancelled(job_id)
        if job is not None:
            for scheduler in list(self.grant_client.schedulers.values()):
                scheduler.on_job_cancelled(now, job)

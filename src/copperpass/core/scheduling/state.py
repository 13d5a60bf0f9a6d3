"""The mutable state of a shard's scheduler, which its parts work on together."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.context import SchedulerContext, Timing
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.objectives import ServiceLevelObjectives
from copperpass.core.scheduling.placements import Placement
from copperpass.core.scheduling.quota_usage import QuotaUsage
from copperpass.protocol.frames.messages import MachineContact, MachineStatus
from copperpass.settings import Team

# How many of a team's latest tasks the resources of its next ones are estimated from.
RECENT_TASKS_PER_TEAM = 64


class TaskResources(NamedTuple):
    """What one task takes of its machine."""

    cpus: float
    gpus: float
    memory_gb: float


class ShardState:
    """Machines, placements and flags of one shard assignment.

    Invariant: the containers are never replaced, so that the parts may keep references to them.
    """

    def __init__(self, context: SchedulerContext, revision: int, now: float) -> None:
        cluster = context.cluster
        self.context = context
        self.timing = Timing.of(context)
        self.teams: list[Team] = [
            team for team in cluster.teams if context.shards[team.name] == context.shard
        ]
        self.by_team = {team.name: team for team in self.teams}
        # Jobs created after this revision can't have been started by an earlier owner of the shard.
        self.required_revision = revision
        self.owned_since = now
        # The watch cache has reached the revision at which the assignment began.
        self.ready = False
        # The assignment has ended: answers that arrive later must not change the jobs.
        self.ended = False
        # Something has changed that a dispatch round must consider.
        self.dirty = False
        # To be reported to the leader at once: tasks without capacity, released machines.
        self.needs_machines = self.has_new_releases = False
        # On-demand machines could be scaled in; otherwise they stay up, and any work may use them.
        self.on_demand_excess = True
        self.machines: dict[str, Machine] = {}
        self.quota_usage = QuotaUsage()
        # Machines that were assigned with unknown tasks, which haven't been reported completely.
        self.unreconciled: set[str] = set()
        # Machines of other shards where tasks of this shard may be, by the leader's routes: type,
        # zone, and whether it is a spot machine.
        self.other_shard_machines: dict[str, tuple[str, str, bool]] = {}
        # Released machines: their last status is reported until the leader has reassigned them.
        self.released: dict[str, MachineStatus] = {}
        # The machines where each job has or had tasks.
        self.machines_of_job: dict[str, set[str]] = {}
        self.slos = ServiceLevelObjectives(cluster.objectives, context.tuning.patience_s)
        # The latest tasks started, by team.
        self.recent_tasks: dict[str, deque[TaskResources]] = {
            team.name: deque(maxlen=RECENT_TASKS_PER_TEAM) for team in self.teams
        }
        self.last_heartbeat_at = now

    def own_jobs(self) -> list[Job]:
        """The jobs of this shard's teams."""
        by_team = self.by_team
        return [job for job in self.context.jobs.jobs.values() if job.spec.team in by_team]

    def is_certainly_completed(self, placement: Placement) -> bool:
        """Whether a task whose job is not in the watch cache is certainly of a completed job.

        The cache is newer than the shard assignment, or than the heartbeat that listed the task:
        the job's record existed when the task was started.
        """
        return self.ready or self.context.consistent_at() > placement.sent_at

    def release(self, machine: Machine, last_status: MachineStatus) -> None:
        """Send a machine no more commands; its last status is reported until it is reassigned."""
        del self.machines[machine.name]
        self.quota_usage.drop(machine)
        self.unreconciled.discard(machine.name)
        self.released[machine.name] = last_status
        self.has_new_releases = self.dirty = True

    def release_if_empty(self, machine: Machine) -> bool:
        """Release a machine to the leader if it is proven empty; returns whether it was."""
        if not (machine.empty() and machine.reconciled and machine.unreachable_since is None):
            return False
        contact = MachineContact(machine.address, machine.agent_epoch, machine.sequence)
        self.release(
            machine,
            MachineStatus(
                machine.name,
                machine.base_token,
                registered=True,
                reconciled=True,
                idle=True,
                released=True,
                contact=contact,
            ),
        )
        return True

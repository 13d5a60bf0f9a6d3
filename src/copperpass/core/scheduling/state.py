"""The mutable state of a shard's scheduler, shared by its components."""

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

# Number of a team's latest tasks from which the resources of its next tasks are estimated.
RECENT_TASKS_PER_TEAM = 64


class TaskResources(NamedTuple):
    """Resources that one task uses on its machine."""

    cpus: float
    gpus: float
    memory_gb: float


class ShardState:
    """Machines, placements and flags of one shard assignment.

    Invariant: the containers are never replaced, so components may keep references to them.
    """

    def __init__(self, context: SchedulerContext, revision: int, now: float) -> None:
        cluster = context.cluster
        self.context = context
        self.timing = Timing.from_context(context)
        self.teams: list[Team] = [
            team for team in cluster.teams if context.shard_by_team[team.name] == context.shard
        ]
        self.teams_by_name = {team.name: team for team in self.teams}
        # An earlier owner of the shard can't have started jobs created after this revision.
        self.required_revision = revision
        self.owned_since = now
        # The watch cache has reached the revision at which the assignment began.
        self.ready = False
        # The assignment has ended: responses that arrive later must not change the jobs.
        self.ended = False
        # A change requires another dispatch round.
        self.dirty = False
        # Tasks without capacity, or released machines, are to be reported to the leader at once.
        self.needs_machines = self.has_new_releases = False
        # There are on-demand machines that could be scaled in. Otherwise all of them stay up, and
        # any task may use them.
        self.on_demand_excess = True
        self.machines: dict[str, Machine] = {}
        self.quota_usage = QuotaUsage()
        # Machines that were assigned with unknown tasks and have not reported all of them yet.
        self.unreconciled: set[str] = set()
        # Machines whose agents may have restarted within their epoch; some may be gone by now.
        self.suspected_restarts: set[str] = set()
        # Machines of other shards that may hold tasks of this shard, according to the leader's
        # routes: machine type, zone, and whether it is a spot machine.
        self.other_shard_machines: dict[str, tuple[str, str, bool]] = {}
        # Machines that may be drained for another shard's guarantee; None if there is none.
        self.beyond_guarantee: set[str] | None = None
        if len(set(context.shard_by_team.values())) > 1:
            self.beyond_guarantee = set()
        # Last statuses of released machines, reported until the leader has reassigned them.
        self.released: dict[str, MachineStatus] = {}
        # The machines on which each job has or had tasks.
        self.machines_of_job: dict[str, set[str]] = {}
        self.slos = ServiceLevelObjectives(cluster.objectives, context.tuning.patience_s)
        # Resources of the latest started tasks, by team.
        self.recent_tasks: dict[str, deque[TaskResources]] = {
            team.name: deque(maxlen=RECENT_TASKS_PER_TEAM) for team in self.teams
        }
        self.last_heartbeat_at = now

    def owns(self, machine: Machine) -> bool:
        """Whether this is the state of a machine that the shard owns now.

        It is not if the machine has been released or deleted, or assigned again under a new token.
        """
        return not self.ended and self.machines.get(machine.name) is machine

    def own_jobs(self) -> list[Job]:
        """Return the known jobs of this shard's teams."""
        teams_by_name = self.teams_by_name
        return [job for job in self.context.jobs.jobs.values() if job.spec.team in teams_by_name]

    def is_certainly_completed(self, placement: Placement) -> bool:
        """Whether a task whose job is not in the watch cache certainly belongs to a completed job.

        It does if the cache is newer than the shard assignment, or than the heartbeat that listed
        the task: the job's record existed when the task was started, so it has been deleted since.
        """
        return self.ready or self.context.consistent_at() > placement.sent_at

    def release(self, machine: Machine, last_status: MachineStatus) -> None:
        """Stop commanding a machine; report its last status until the leader has reassigned it."""
        del self.machines[machine.name]
        self.quota_usage.drop(machine)
        self.unreconciled.discard(machine.name)
        self.released[machine.name] = last_status
        self.has_new_releases = self.dirty = True

    def release_if_empty(self, machine: Machine) -> bool:
        """Release a machine to the leader if it is proven empty; return whether it was released."""
        if not (machine.is_empty() and machine.reconciled and machine.unreachable_since is None):
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

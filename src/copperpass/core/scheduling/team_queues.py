"""The queues of a dispatch round: startable jobs by team, and the choice of the next team."""

from __future__ import annotations

from collections.abc import Mapping

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.demand import Demand
from copperpass.core.scheduling.guarantees import assess_guarantees
from copperpass.core.scheduling.quota import PossibleUsage
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_order import limit_past_deadline_share, task_order

# Added to the number of placed tasks of a team without an allocation, so that the team comes after
# all teams with one.
NO_ALLOCATION_PENALTY = 1e3
# The share of a shard's CPUs that jobs past their deadline may use ahead of jobs that can still
# meet theirs.
PAST_DEADLINE_SHARE = 0.5


class TeamQueues:
    """Each team's startable jobs by deadline, and the resources that its tasks use.

    The next job comes from the team that has used the smallest fraction of its allocation.
    `allocated` is the number of tasks allocated to each team, `capacity_cpus` the CPUs of all
    usable machines.
    """

    def __init__(
        self,
        now: float,
        state: ShardState,
        demand: Demand,
        allocated: Mapping[str, float],
        capacity_cpus: float,
    ) -> None:
        self.now, self.state, self.slos = now, state, state.slos
        self.allocated = allocated
        # By team: the CPUs and GPUs that its tasks may use, and the number of its placed tasks.
        self.used: dict[str, PossibleUsage] = demand.possible_usage()
        self.assigned_counts = {team.name: 0 for team in state.teams}
        self.queues: dict[str, list[Job]] = {team.name: [] for team in state.teams}
        # The number of queued jobs at the beginning of the round.
        self.backlog = 0
        # The CPUs that jobs past their deadline may use before they go last, and those they use.
        self.past_deadline_quota_cpus = PAST_DEADLINE_SHARE * capacity_cpus
        self.past_deadline_cpus = 0.0

    def fill(self, jobs: list[Job], demand: Demand) -> None:
        """Queue the startable jobs, and count the placed tasks of all jobs."""
        now, slos, teams = self.now, self.slos, self.state.teams
        assess_guarantees(jobs, {team.name: team.cpus for team in teams})
        unreported_kinds = demand.unreported_kinds()
        for job in jobs:
            team = job.spec.team
            self.assigned_counts[team] = self.assigned_counts.get(team, 0) + len(job.assigned)
            if job.pending_count() > 0 and demand.is_startable(job, now, unreported_kinds):
                self.queues.setdefault(team, []).append(job)
        self.backlog = sum(len(queue) for queue in self.queues.values())
        priority_bonus_s = self.state.timing.boot_s / 2
        self.queues = {
            team: task_order(queue, slos, now, priority_bonus_s)
            for team, queue in self.queues.items()
        }
        self.past_deadline_cpus = sum(
            len(job.assigned) * job.spec.cpus for job in jobs if slos.is_past_deadline(job, now)
        )
        for queue in self.queues.values():
            self._limit_past_deadline(queue)

    def next_job(self) -> Job | None:
        """Return the first job of the team that has used the smallest fraction of its allocation.

        None if all queues are empty.
        """
        teams = [team for team, queue in self.queues.items() if queue]
        if not teams:
            return None
        return self.queues[min(teams, key=lambda team: (self._allocation_used(team), team))][0]

    def _allocation_used(self, team: str) -> float:
        """Return the ratio of a team's placed tasks to its allocated tasks."""
        allocated = self.allocated.get(team, 0.0)
        placed = self.assigned_counts[team]
        return placed / allocated if allocated > 0 else float(placed) + NO_ALLOCATION_PENALTY

    def dequeue(self, job: Job) -> None:
        """Remove the job that `next_job` returned: no more of its tasks start in this round."""
        self.queues[job.spec.team].pop(0)

    def on_started(self, job: Job, tasks: int) -> None:
        """Add started tasks to the usage of their team."""
        spec = job.spec
        self.used[spec.team] = self.used[spec.team].plus(tasks * spec.cpus, tasks * spec.gpus)
        self.assigned_counts[spec.team] += tasks

    def count_past_deadline(self, job: Job) -> None:
        """Add a started task to the CPUs used past deadlines if its job is past its deadline."""
        if self.past_deadline_cpus < self.past_deadline_quota_cpus and self.slos.is_past_deadline(
            job, self.now
        ):
            self.past_deadline_cpus += job.spec.cpus
            self._limit_past_deadline(self.queues[job.spec.team])

    def _limit_past_deadline(self, queue: list[Job]) -> None:
        limit_past_deadline_share(
            queue, self.slos, self.now, self.past_deadline_cpus, self.past_deadline_quota_cpus
        )

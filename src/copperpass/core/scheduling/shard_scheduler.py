"""The scheduler of one shard of teams: their tasks on its machines, from reports to commands.

The work is done by the parts in `core.scheduling`; here they are wired, and their interface to the
node, the grants and the users is kept in one place.
"""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext, Timing
from copperpass.core.scheduling.demand import Demand
from copperpass.core.scheduling.dispatch_round import PlacementParts
from copperpass.core.scheduling.dispatcher import Dispatcher, DispatchParts
from copperpass.core.scheduling.gang_monitor import GangMonitor
from copperpass.core.scheduling.gang_placer import GangPlacer
from copperpass.core.scheduling.heartbeat_timeouts import HeartbeatTimeoutScan
from copperpass.core.scheduling.heartbeats import HeartbeatHandler
from copperpass.core.scheduling.job_results import JobResults
from copperpass.core.scheduling.machines import Machine, QuotaUsage
from copperpass.core.scheduling.ownership import Ownership
from copperpass.core.scheduling.preemption import Preemption
from copperpass.core.scheduling.reservations import Reservations
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_statuses import TaskStatusHandler
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.storage.completions import CompletionStore
from copperpass.protocol.frames.messages import MachineRoute, MachineStatus, PendingTasks
from copperpass.protocol.workers import HeartbeatAnswer, WorkerHeartbeat
from copperpass.settings import Team


class ShardScheduler:
    """Commands the machines of one shard of teams; a new one is made for each ownership."""

    def __init__(self, context: SchedulerContext, *, revision: int, now: float) -> None:
        self.context = context
        state = self.state = ShardState(context, revision, now)
        self.commands = Commands(context, state)
        tasks = TaskLifecycle(context, state, self.commands)
        self.results = JobResults(context, state, tasks)
        gangs = GangMonitor(state, tasks)
        task_statuses = TaskStatusHandler(context, state, tasks, gangs, self.results)
        self.heartbeats = HeartbeatHandler(
            context, state, self.commands, tasks, gangs, task_statuses
        )
        self.commands.on_answer = self.heartbeats.direct_answer
        self.ownership = Ownership(context, state, self.commands, tasks)
        self.heartbeat_timeouts = HeartbeatTimeoutScan(context, state, tasks)
        reservations = Reservations(context, state)
        self.demand = Demand(context, state, reservations)
        self.dispatcher = Dispatcher(self._dispatch_parts(tasks, reservations), now)
        self.next_scan_at = now
        # What doesn't change hands, within easy reach of those who look at a scheduler.
        self.shard, self.generation, self.has_authority = (
            context.shard,
            context.generation,
            context.has_authority,
        )
        self.machines: dict[str, Machine] = state.machines
        self.unreconciled: set[str] = state.unreconciled
        self.quota_usage: QuotaUsage = state.quota_usage
        self.by_team: dict[str, Team] = state.by_team
        self.timing: Timing = state.timing
        self.zone_affinities: dict[str, str] = self.demand.zone_affinities
        self.completions: CompletionStore = self.results.completions
        for job in state.own_jobs():
            job.reset_tasks()

    def _dispatch_parts(self, tasks: TaskLifecycle, reservations: Reservations) -> DispatchParts:
        """What the dispatcher works with."""
        state = self.state
        placement = PlacementParts(
            state=state,
            tuning=self.context.tuning,
            tasks=tasks,
            reservations=reservations,
            gangs=GangPlacer(state, tasks, reservations),
        )
        return DispatchParts(
            placement=placement,
            commands=self.commands,
            demand=self.demand,
            preemption=Preemption(self.context, state, self.commands, tasks),
        )

    # -- events ------------------------------------------------------------------------

    def on_watch_synced(self, now: float) -> None:
        """The view has caught up: what is not in it is over."""
        self.state.ready = True
        self.heartbeats.match_jobs()
        self.state.dirty = True

    def on_route(self, now: float, route: MachineRoute) -> None:
        """The leader's table has a route for a machine."""
        self.ownership.on_route(now, route)

    def worker_heartbeat(
        self, now: float, heartbeat: WorkerHeartbeat, relayed: bool = False
    ) -> HeartbeatAnswer | None:
        """Take a worker's report; None when it must not be answered with 200.

        `relayed`: it came over another controller, since its worker doesn't reach this one.
        """
        return self.heartbeats.worker_heartbeat(now, heartbeat, relayed)

    def on_job_completed(self, now: float, job: Job) -> None:
        """The job's record is gone: nothing of it may start, and all of it must go."""
        self.results.on_job_completed(now, job)

    def on_job_cancelled(self, now: float, job: Job) -> None:
        """A job's cancellation is stored, whatever the view shows: its tasks go, none starts."""
        self.results.on_job_cancelled(now, job)

    # -- time --------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Everything that the passing of time asks for."""
        if not self.state.ready or not self.context.has_authority(now):
            return
        if now >= self.next_scan_at:
            self.next_scan_at = now + self.timing.report_s / 4
            self.scan(now)
        if self.unreconciled:
            self.commands.probe(now)
        self.completions.tick(now)
        if self.state.dirty and now >= self.dispatcher.next_round_at:
            self.dispatch_round(now)

    def scan(self, now: float) -> None:
        """Look for leases that have ended, machines that are lost, and ends to be stored."""
        self.heartbeat_timeouts.scan(now)
        self.results.store_outstanding(now)
        self.state.dirty = True

    def dispatch_round(self, now: float) -> None:
        """One dispatch round."""
        self.dispatcher.run_round(now)

    # -- what the leader is told -------------------------------------------------------

    def statuses(self, now: float) -> list[MachineStatus]:
        """What the leader should know of the machines and has not been told."""
        return self.ownership.statuses(now)

    def capacity_requests(self, now: float) -> list[PendingTasks]:
        """Tasks that the machines have no room for in time: job, count, seconds left."""
        return self.demand.capacity_requests(now)

    # -- state that others look at or set ------------------------------------------------

    @property
    def ready(self) -> bool:
        """Whether the view has caught up with the beginning of the ownership."""
        return self.state.ready

    @property
    def dirty(self) -> bool:
        """Whether a dispatch round has something new to look at."""
        return self.state.dirty

    @dirty.setter
    def dirty(self, value: bool) -> None:
        self.state.dirty = value

    @property
    def last_heartbeat_at(self) -> float:
        """When a worker was last heard in both directions."""
        return self.state.last_heartbeat_at

    @property
    def ended(self) -> bool:
        """Whether the ownership has passed."""
        return self.state.ended

    @ended.setter
    def ended(self, value: bool) -> None:
        self.state.ended = value

    @property
    def required_revision(self) -> int:
        """Jobs created after it were not started by an earlier owner."""
        return self.state.required_revision

    @required_revision.setter
    def required_revision(self, value: int) -> None:
        self.state.required_revision = value

    @property
    def on_demand_excess(self) -> bool:
        """Whether dear machines could go back."""
        return self.state.on_demand_excess

    @on_demand_excess.setter
    def on_demand_excess(self, value: bool) -> None:
        self.state.on_demand_excess = value

    @property
    def needs_machines(self) -> bool:
        """Whether the leader should be told of wants at once."""
        return self.state.needs_machines

    @needs_machines.setter
    def needs_machines(self, value: bool) -> None:
        self.state.needs_machines = value

    @property
    def has_new_releases(self) -> bool:
        """Whether the leader should be told of returned machines at once."""
        return self.state.has_new_releases

    @has_new_releases.setter
    def has_new_releases(self, value: bool) -> None:
        self.state.has_new_releases = value

    @property
    def next_round_at(self) -> float:
        """When the next dispatch round may be at the earliest."""
        return self.dispatcher.next_round_at

"""Scheduler of one shard of teams: turns heartbeats and job changes into commands for workers.

This module wires the components in `core.scheduling`, which do the work. The node, the grant client
and the user API access them only through it.
"""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.agent_restarts import AgentRestarts
from copperpass.core.scheduling.command_results import CommandResultHandler
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext, Timing
from copperpass.core.scheduling.demand import Demand
from copperpass.core.scheduling.dispatch_round import PlacementComponents
from copperpass.core.scheduling.dispatcher import Dispatcher, DispatcherComponents
from copperpass.core.scheduling.evictions import Evictions
from copperpass.core.scheduling.gang_monitor import GangMonitor
from copperpass.core.scheduling.gang_placer import GangPlacer
from copperpass.core.scheduling.guarantee_excess import machines_beyond_guarantee
from copperpass.core.scheduling.heartbeat_timeouts import HeartbeatTimeoutScan
from copperpass.core.scheduling.heartbeats import HeartbeatHandler
from copperpass.core.scheduling.job_results import JobResults
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.ownership import Ownership
from copperpass.core.scheduling.preemption import Preemption
from copperpass.core.scheduling.quota_usage import QuotaUsage
from copperpass.core.scheduling.reservations import Reservations
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.stop_statistics import StopStatistics
from copperpass.core.scheduling.task_reconciliation import TaskReconciler
from copperpass.core.scheduling.task_statuses import TaskStatusHandler
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.storage.completions import CompletionStore
from copperpass.protocol.frames.messages import MachineRoute, MachineStatus, PendingTasks
from copperpass.protocol.workers import HeartbeatAnswer, WorkerHeartbeat
from copperpass.settings import Team


class ShardScheduler:
    """Schedules the tasks of one shard on its machines, for the duration of one shard assignment.

    Times (`now`) are seconds of the monotonic clock.
    """

    def __init__(self, context: SchedulerContext, *, revision: int, now: float) -> None:
        self.context = context
        state = self.state = ShardState(context, revision, now)
        self.commands = Commands(context, state)
        tasks = TaskLifecycle(context, state, self.commands)
        self.results = JobResults(context, state, tasks)
        gangs = GangMonitor(state, tasks)
        self.stop_statistics = StopStatistics(
            context.outbox, context.shard, state.timing.heartbeat_interval_s
        )
        task_statuses = TaskStatusHandler(
            context, state, tasks, gangs, self.results, self.stop_statistics
        )
        self.reconciler = TaskReconciler(context, state, self.commands, tasks, task_statuses)
        evictions = Evictions(context.jobs, state, tasks, gangs)
        restarts = AgentRestarts(context.outbox, state, tasks)
        self.heartbeats = HeartbeatHandler(
            context, state, self.commands, tasks, self.reconciler, evictions, restarts
        )
        command_results = CommandResultHandler(
            state, self.commands, tasks, self.heartbeats, restarts
        )
        self.commands.on_result = command_results.on_result
        self.ownership = Ownership(context, state, self.commands, tasks)
        self.heartbeat_timeouts = HeartbeatTimeoutScan(context, state, tasks)
        reservations = Reservations(context, state)
        self.demand = Demand(context, state, reservations)
        self.dispatcher = Dispatcher(self._dispatcher_components(tasks, reservations), now)
        self.next_scan_at = now
        # Constant references, used by the node, the grant client and the tests.
        self.shard, self.generation, self.has_authority = (
            context.shard,
            context.generation,
            context.has_authority,
        )
        self.machines: dict[str, Machine] = state.machines
        self.unreconciled: set[str] = state.unreconciled
        self.quota_usage: QuotaUsage = state.quota_usage
        self.teams_by_name: dict[str, Team] = state.teams_by_name
        self.timing: Timing = state.timing
        self.zone_affinities: dict[str, str] = self.demand.zone_affinities
        self.completions: CompletionStore = self.results.completions
        for job in state.own_jobs():
            job.reset_tasks()

    def _dispatcher_components(
        self, tasks: TaskLifecycle, reservations: Reservations
    ) -> DispatcherComponents:
        """Collect the components that the dispatcher needs."""
        state = self.state
        placement = PlacementComponents(
            state=state,
            tuning=self.context.tuning,
            tasks=tasks,
            reservations=reservations,
            gangs=GangPlacer(state, tasks, reservations),
        )
        return DispatcherComponents(
            placement=placement,
            commands=self.commands,
            demand=self.demand,
            preemption=Preemption(self.context, state, self.commands, tasks),
        )

    def on_watch_synced(self, now: float) -> None:
        """Match tasks with jobs: a job missing from the synced watch cache has completed."""
        self.state.ready = True
        self.reconciler.match_jobs()
        self.state.dirty = True

    def on_route(self, now: float, route: MachineRoute) -> None:
        """Apply a machine's route that the leader has replicated."""
        self.ownership.on_route(now, route)

    def worker_heartbeat(
        self, now: float, heartbeat: WorkerHeartbeat, relayed: bool = False
    ) -> HeartbeatAnswer | None:
        """Handle a worker's heartbeat; None if it must not be answered with 200.

        `relayed`: another controller forwarded it because the worker can't reach this one.
        """
        return self.heartbeats.on_heartbeat(now, heartbeat, relayed)

    def on_job_completed(self, now: float, job: Job) -> None:
        """Stop all tasks of a job whose record is deleted, and start no more of them."""
        self.results.on_job_completed(now, job)

    def on_job_cancelled(self, now: float, job: Job) -> None:
        """Stop the tasks of a job whose cancellation is stored; the watch cache may lag behind."""
        self.results.on_job_cancelled(now, job)

    def tick(self, now: float) -> None:
        """Run the scan, probes, batched completion writes and a dispatch round, each when due.

        Does nothing before the watch cache is synced, or without authority over the shard.
        """
        if not self.state.ready or not self.context.has_authority(now):
            return
        if now >= self.next_scan_at:
            self.next_scan_at = now + self.timing.heartbeat_interval_s / 4
            self.scan(now)
        if self.unreconciled or self.state.suspected_restarts:
            self.commands.probe(now)
        self.completions.tick(now)
        if self.state.dirty and now >= self.dispatcher.next_round_at:
            if self.context.may_start(now):
                self.dispatch_round(now)
            else:
                self.dispatcher.postpone(now)

    def scan(self, now: float) -> None:
        """Check for expired worker leases, unresponsive machines and unstored completions."""
        self.heartbeat_timeouts.scan(now)
        self.results.store_outstanding(now)
        self.stop_statistics.log_if_due(now)
        if self.state.beyond_guarantee is not None:
            jobs = self.context.jobs.jobs
            self.state.beyond_guarantee = machines_beyond_guarantee(self.state, now, jobs)
        self.state.dirty = True

    def dispatch_round(self, now: float) -> None:
        """Run a dispatch round at once, also if none is due."""
        self.dispatcher.run_round(now)

    def statuses(self, now: float) -> list[MachineStatus]:
        """Return the changed machine statuses, and those of released machines."""
        return self.ownership.statuses(now)

    def capacity_requests(self, now: float) -> list[PendingTasks]:
        """Return the pending tasks for which the machines will not have capacity in time."""
        return self.demand.capacity_requests(now)

    @property
    def ready(self) -> bool:
        """Whether the watch cache has reached the revision at which the assignment began."""
        return self.state.ready

    @property
    def dirty(self) -> bool:
        """Whether a change requires another dispatch round."""
        return self.state.dirty

    @dirty.setter
    def dirty(self, value: bool) -> None:
        self.state.dirty = value

    @property
    def last_heartbeat_at(self) -> float:
        """When a heartbeat last proved connectivity with a worker in both directions."""
        return self.state.last_heartbeat_at

    @property
    def ended(self) -> bool:
        """Whether the shard assignment has ended."""
        return self.state.ended

    @ended.setter
    def ended(self, value: bool) -> None:
        self.state.ended = value

    @property
    def required_revision(self) -> int:
        """Jobs created after this revision were not started by an earlier owner of the shard."""
        return self.state.required_revision

    @required_revision.setter
    def required_revision(self, value: int) -> None:
        self.state.required_revision = value

    @property
    def on_demand_excess(self) -> bool:
        """Whether there are on-demand machines that could be scaled in."""
        return self.state.on_demand_excess

    @on_demand_excess.setter
    def on_demand_excess(self, value: bool) -> None:
        self.state.on_demand_excess = value

    @property
    def needs_machines(self) -> bool:
        """Whether to send capacity requests to the leader without delay."""
        return self.state.needs_machines

    @needs_machines.setter
    def needs_machines(self, value: bool) -> None:
        self.state.needs_machines = value

    @property
    def has_new_releases(self) -> bool:
        """Whether to report released machines to the leader without delay."""
        return self.state.has_new_releases

    @has_new_releases.setter
    def has_new_releases(self, value: bool) -> None:
        self.state.has_new_releases = value

    @property
    def next_round_at(self) -> float:
        """The earliest time of the next dispatch round."""
        return self.dispatcher.next_round_at

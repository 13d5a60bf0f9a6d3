"""Reconciliation of placements with the tasks in heartbeats and the jobs in the watch cache."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.jobs.task_ids import parse_task_id
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import UNIDENTIFIED, Placement, PlacementKey, StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_statuses import TaskStatusHandler
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.protocol.users import PRIORITY_LEVELS
from copperpass.protocol.workers import WorkerHeartbeat


def proves_absent(
    machine: Machine, placement: Placement, heartbeat: WorkerHeartbeat, unsolicited: bool
) -> bool:
    """Whether a heartbeat that doesn't list a task proves the task absent, now and in future.

    `unsolicited`: the worker sent the heartbeat on its own, not to answer a direct command.
    """
    if placement.key in machine.pending_starts:
        return False
    if placement.barrier_token:
        # Only a worker that has since accepted this higher token certainly refuses the start.
        return heartbeat.token >= placement.barrier_token
    if placement.reported:
        return not may_start_again(placement, heartbeat)
    if placement.sent_sequence >= 0:
        # Sent in the answer to a heartbeat: the next heartbeat shows whether the answer arrived.
        return unsolicited and heartbeat.sequence > placement.sent_sequence
    return False


def may_start_again(placement: Placement, heartbeat: WorkerHeartbeat) -> bool:
    """Whether a late copy of the direct request that started a task would start it once more.

    A worker that doesn't know the attempt any more refuses the copy only by its token.
    """
    return placement.sent_directly and heartbeat.token <= placement.start_token


class TaskReconciler:
    """Updates placements from the tasks that workers list, and matches them with jobs."""

    def __init__(
        self,
        context: SchedulerContext,
        state: ShardState,
        commands: Commands,
        tasks: TaskLifecycle,
        task_statuses: TaskStatusHandler,
    ) -> None:
        self.context, self.state, self.commands = context, state, commands
        self.tasks, self.task_statuses = tasks, task_statuses
        self.jobs, self.quota_usage = context.jobs, state.quota_usage

    def apply(
        self, now: float, machine: Machine, heartbeat: WorkerHeartbeat, unsolicited: bool
    ) -> None:
        """Update the machine's placements from the tasks that the heartbeat lists.

        `unsolicited`: the worker sent the heartbeat on its own, not to answer a direct command.
        """
        listed: set[PlacementKey] = set()
        for task_status in heartbeat.tasks:
            parsed_id = parse_task_id(task_status.task)
            if parsed_id is None:
                continue
            key = (parsed_id[0], parsed_id[1], task_status.attempt)
            listed.add(key)
            placement = machine.tasks.get(key)
            if placement is None:
                placement = self._adopt(now, machine, key)
            self.task_statuses.update(now, machine, placement, task_status)
        absent = [
            placement
            for placement in machine.tasks.values()
            if placement.key not in listed
            and proves_absent(machine, placement, heartbeat, unsolicited)
        ]
        self._fence_lost_tasks(machine, heartbeat, listed)
        self.tasks.remove_all(now, machine, absent)
        if any(not placement.reported for placement in absent):
            self.commands.mark_unreachable(now, machine)

    def _fence_lost_tasks(
        self, machine: Machine, heartbeat: WorkerHeartbeat, listed: set[PlacementKey]
    ) -> None:
        """Raise the token if the worker has lost tasks that a late copy would start once more.

        The tasks count as present until the worker has shown the raised token.
        """
        lost = [
            placement
            for placement in machine.tasks.values()
            if placement.reported
            and placement.key not in listed
            and not placement.barrier_token
            and may_start_again(placement, heartbeat)
        ]
        if not lost:
            return
        machine.token += 1
        for placement in lost:
            placement.barrier_token = machine.token

    def _adopt(self, now: float, machine: Machine, key: PlacementKey) -> Placement:
        """Record a task that an earlier owner of the machine has started."""
        job_id, index, attempt = key
        placement = Placement(
            job_id,
            index,
            attempt,
            machine.name,
            team=UNIDENTIFIED,
            job_class="",
            priority=0,
            cpus=0.0,
            gpus=0.0,
            memory_gb=0.0,
            image="",
            estimate_s=0.0,
            reported=True,
            sent_at=now,
        )
        machine.tasks[key] = placement
        machine.usage_stale = True
        self.state.machines_of_job.setdefault(job_id, set()).add(machine.name)
        self._match_job(machine, placement)
        return placement

    def match_jobs(self) -> None:
        """Match all tasks with their jobs again, now that the watch cache is synced."""
        for machine in self.state.machines.values():
            for placement in list(machine.tasks.values()):
                self._match_job(machine, placement)

    def _match_job(self, machine: Machine, placement: Placement) -> None:
        job = self.jobs.jobs.get(placement.job_id)
        if job is not None:
            if not self.context.schedules_team(job.spec.team):
                placement.of_other_shard, placement.shard = (
                    True,
                    self.context.shard_by_team[job.spec.team],
                )
                return
            self._match_own_job(machine, placement, job)
            return
        if self.state.is_certainly_completed(placement):
            if placement.active:
                placement.mark_for_stop(StopReason.JOB_COMPLETED)
            else:
                placement.stored = True

    def _match_own_job(self, machine: Machine, placement: Placement, job: Job) -> None:
        if placement.team == UNIDENTIFIED:
            self._identify(machine, placement, job)
        if placement.active and job.cancelled:
            placement.mark_for_stop(StopReason.CANCELLED)
        if placement.active and placement.index < job.spec.tasks:
            assigned = job.assigned.get(placement.index)
            if assigned is None and not job.is_completed(placement.index):
                job.assigned[placement.index] = machine.name
            elif assigned != machine.name:
                placement.mark_for_stop(StopReason.DUPLICATE)

    def _identify(self, machine: Machine, placement: Placement, job: Job) -> None:
        """Fill in the fields that come from the job; count the task towards the team's quota."""
        spec = job.spec
        placement.team, placement.job_class = spec.team, spec.job_class
        placement.priority = PRIORITY_LEVELS[spec.priority]
        placement.cpus, placement.gpus = spec.cpus, spec.gpus
        placement.memory_gb = spec.memory_gb
        placement.image, placement.estimate_s = spec.image, spec.estimate_s
        machine.touch_image(spec.image, spec.image_gb)
        self.quota_usage.recount(machine)

"""Reports of workers: what they prove of machines and of the tasks on them."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.jobs.task_ids import parse_task_id
from copperpass.core.ports import NOT_SENT, CallOutcome
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.gang_monitor import GangMonitor
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import UNIDENTIFIED, Placement, StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_estimates import remaining_s
from copperpass.core.scheduling.task_statuses import TaskStatusHandler
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.shards.fencing_tokens import HANDOVER_SHIFT
from copperpass.protocol.frames.messages import NO_SHARD, MachineStatus
from copperpass.protocol.json_codec import decode
from copperpass.protocol.users import PRIORITY_LEVELS
from copperpass.protocol.workers import HeartbeatAnswer, WorkerHeartbeat

# A task is moved off a machine that goes if it will still run for longer than this multiple of the
# time that is left: estimates are rough.
NOTICE_MARGIN = 1.5


def proves_gone(
    machine: Machine, placement: Placement, heartbeat: WorkerHeartbeat, full: bool
) -> bool:
    """Whether a report without the task proves that it is not, and will not be, there."""
    if placement.reported:
        return True
    if placement in machine.pending_starts:
        return False
    if placement.barrier_token:
        # The start went unanswered: only a report that has seen a higher token passes it.
        return heartbeat.token >= placement.barrier_token
    if placement.sent_sequence >= 0:
        # Sent with an answer: the next report shows whether the answer was taken.
        return full and heartbeat.sequence > placement.sent_sequence
    return False


class HeartbeatHandler:
    """Takes reports, and the answers to direct commands, which say the same."""

    def __init__(
        self,
        context: SchedulerContext,
        state: ShardState,
        commands: Commands,
        tasks: TaskLifecycle,
        gangs: GangMonitor,
        task_statuses: TaskStatusHandler,
    ) -> None:
        self.context, self.state, self.commands = context, state, commands
        self.tasks, self.gangs, self.task_statuses = tasks, gangs, task_statuses
        self.jobs, self.timing = context.jobs, state.timing
        self.machines, self.quota_usage = state.machines, state.quota_usage

    def worker_heartbeat(
        self, now: float, heartbeat: WorkerHeartbeat, relayed: bool = False
    ) -> HeartbeatAnswer | None:
        """Take a worker's report; None when it must not be answered with 200.

        `relayed`: it came over another controller, since its worker doesn't reach this one.
        """
        machine = self.machines.get(heartbeat.machine)
        if (
            machine is None
            or heartbeat.token >> HANDOVER_SHIFT > machine.base_token >> HANDOVER_SHIFT
        ):
            return None
        if (heartbeat.agent_epoch, heartbeat.sequence) <= (machine.agent_epoch, machine.sequence):
            # A late copy: it changes nothing, and its answer carries no orders. What its answer
            # could renew was sent before the newest message that we know of came in.
            newest = max(machine.last_heartbeat_at, machine.last_message_at)
            machine.last_answer_at = max(machine.last_answer_at, newest)
            return HeartbeatAnswer(machine.token, [])
        # A worker that has found its way here can be told directly again: a new machine's first
        # report often comes to another controller.
        machine.relayed_until = now + 2 * self.timing.report_s if relayed else float("-inf")
        self.apply(now, machine, heartbeat, True)
        if self._doubtful(now, machine):
            return None
        if machine.reconciled:
            # Only two-way contact counts as hearing workers: a report alone may be a late copy.
            self.state.last_heartbeat_at = now
        machine.last_answer_at = max(machine.last_answer_at, now)
        commands = self.commands.for_heartbeat(now, machine, heartbeat)
        return HeartbeatAnswer(machine.token, commands)

    def apply(self, now: float, machine: Machine, heartbeat: WorkerHeartbeat, full: bool) -> None:
        """Bring what we know of a machine up to a newer report.

        `full`: the worker has sent it by itself; else it is the answer to a direct command.
        """
        self._apply_agent_epoch(now, machine, heartbeat, full)
        self._apply_proofs(now, machine, heartbeat)
        self._apply_tasks(now, machine, heartbeat, full)
        if machine.usage_stale:
            self.quota_usage.recount(machine)
        if machine.tasks:
            machine.idle_since = now
            self._mind_foreign(machine)
        else:
            machine.holds_other_shard = False
            if machine.draining and not machine.pending_starts:
                self.state.release_if_empty(machine)

    def _apply_agent_epoch(
        self, now: float, machine: Machine, heartbeat: WorkerHeartbeat, full: bool
    ) -> None:
        """Note the session, and when the machine was heard."""
        if heartbeat.agent_epoch != machine.agent_epoch:
            if machine.agent_epoch:
                # Its earlier tasks are gone. Whether the new session is ours alone only a token
                # can show: an earlier commander may have known it already.
                self.tasks.on_session_ended(now, machine)
            machine.agent_epoch = heartbeat.agent_epoch
            # Its lease began before this was said. Counted from the last answer in the session
            # before, the end of that lease would free the tasks of the new one.
            machine.last_answer_at = max(machine.last_answer_at, now)
        machine.sequence = heartbeat.sequence
        machine.address = heartbeat.address
        machine.last_message_at = now
        if full or not machine.registered:
            # Guards against a machine that can be commanded but can't report: nothing renews its
            # lease, so all that it is given is lost, and it must count as silent.
            machine.last_heartbeat_at = now
        if not machine.registered:
            machine.registered, machine.registered_at, machine.idle_since = True, now, now
            self.state.dirty = True

    def _apply_proofs(self, now: float, machine: Machine, heartbeat: WorkerHeartbeat) -> None:
        """Note the cloud's notice, and what the token proves."""
        if heartbeat.notice_s is not None and machine.notice_until is None:
            until = machine.notice_until = now + heartbeat.notice_s
            self._noticed(now, machine, until - now)
        if machine.unreachable_since is not None and heartbeat.token >= machine.probe_token:
            machine.unreachable_since, self.state.dirty = None, True
        if not machine.reconciled and heartbeat.token >= machine.base_token:
            machine.reconciled = True
            self.state.unreconciled.discard(machine.name)
            self.state.dirty = True

    def _apply_tasks(
        self, now: float, machine: Machine, heartbeat: WorkerHeartbeat, full: bool
    ) -> None:
        """Bring the machine's tasks up to those that are listed."""
        listed = set()
        for task in heartbeat.tasks:
            name = parse_task_id(task.task)
            if name is None:
                continue
            key = (name[0], name[1], task.attempt)
            listed.add(key)
            placement = machine.tasks.get(key)
            if placement is None:
                placement = self._adopt(now, machine, key)
            self.task_statuses.update(now, machine, placement, task)
        swallowed = False
        for placement in list(machine.tasks.values()):
            if placement.key not in listed and proves_gone(machine, placement, heartbeat, full):
                swallowed = swallowed or not placement.reported
                self.tasks.remove(now, machine, placement)
        if swallowed:
            self.commands.suspect_unreachable(now, machine)

    def _mind_foreign(self, machine: Machine) -> None:
        """Tasks of another shard are here: the leader didn't know whose machine it is."""
        foreign = [placement for placement in machine.tasks.values() if placement.of_other_shard]
        machine.holds_other_shard = bool(foreign)
        if not foreign:
            return
        if len(foreign) == len(machine.tasks) and not machine.command_in_flight:
            shard = next((p.shard for p in foreign if p.shard != NO_SHARD), NO_SHARD)
            if shard != NO_SHARD:
                last = MachineStatus(
                    machine.name, machine.base_token, registered=True, released=True, shard=shard
                )
                self.state.release(machine, last)
                return
        for placement in foreign:
            if placement.active and placement.stop_grace_s is None:
                placement.stop_grace_s, placement.stop_reason = 0.0, StopReason.OTHER_SHARD

    def _adopt(self, now: float, machine: Machine, key: tuple[str, int, int]) -> Placement:
        """A task of an earlier authority."""
        placement = Placement(
            key[0],
            key[1],
            key[2],
            machine.name,
            UNIDENTIFIED,
            "",
            0,
            0.0,
            0.0,
            0.0,
            "",
            0.0,
            reported=True,
            sent_at=now,
        )
        machine.tasks[key] = placement
        machine.usage_stale = True
        self.state.machines_of_job.setdefault(placement.job_id, set()).add(machine.name)
        self._match_job(machine, placement)
        return placement

    def match_jobs(self) -> None:
        """The view has caught up: match all tasks with their jobs again."""
        for machine in self.machines.values():
            for placement in list(machine.tasks.values()):
                self._match_job(machine, placement)

    def _match_job(self, machine: Machine, placement: Placement) -> None:
        job = self.jobs.jobs.get(placement.job_id)
        if job is not None:
            if not self.context.schedules_team(job.spec.team):
                placement.of_other_shard, placement.shard = True, self.context.shards[job.spec.team]
                return
            self._match_own_job(machine, placement, job)
            return
        if self.state.is_certainly_completed(placement):
            if placement.active:
                placement.stop_grace_s, placement.stop_reason = 0.0, StopReason.JOB_COMPLETED
            else:
                placement.stored = True

    def _match_own_job(self, machine: Machine, placement: Placement, job: Job) -> None:
        if placement.team == UNIDENTIFIED:
            spec = job.spec
            placement.team, placement.job_class = spec.team, spec.job_class
            placement.priority = PRIORITY_LEVELS[spec.priority]
            placement.cpus, placement.gpus = spec.cpus, spec.gpus
            placement.memory_gb = spec.memory_gb
            placement.image, placement.estimate_s = spec.image, spec.estimate_s
            machine.touch_image(spec.image, spec.image_gb)
            self.quota_usage.recount(machine)
        if placement.active and job.cancelled:
            placement.stop_grace_s, placement.stop_reason = 0.0, StopReason.CANCELLED
        if placement.active and placement.index < job.spec.tasks:
            other = job.assigned.get(placement.index)
            if other is None and not job.is_completed(placement.index):
                job.assigned[placement.index] = machine.name
            elif other != machine.name:
                placement.stop_grace_s, placement.stop_reason = 0.0, StopReason.DUPLICATE

    def _doubtful(self, now: float, machine: Machine) -> bool:
        """Whether a machine has tasks of which nobody here knows if their job is over.

        To renew its lease would keep them alive. One owner may do so for a moment, until its view
        has caught up; but owners that follow one another while the state service is away would do
        it for good, and a job cancelled before that would go on past any bound.
        """
        if self.state.ready or now - self.context.consistent_at() < self.timing.lease_s / 4:
            return False
        return any(
            p.team == UNIDENTIFIED and p.active and not p.of_other_shard and p.stop_grace_s is None
            for p in machine.tasks.values()
        )

    def _noticed(self, now: float, machine: Machine, left: float) -> None:
        """The cloud takes the machine soon: let end what can end, move the rest in time."""
        self.state.dirty = True
        for placement in list(machine.pending_starts):
            self.tasks.remove(now, machine, placement)
        for placement in list(machine.tasks.values()):
            if not placement.active or placement.stop_grace_s is not None:
                continue
            job = self.jobs.jobs.get(placement.job_id)
            if (
                job is not None
                and job.spec.gang
                and job.gang_started
                and (job.spec.save_s > left or not self.gangs.all_reachable(now, job))
            ):
                # It can't be saved in time: to run on may still complete it.
                continue
            if remaining_s(placement, now) > NOTICE_MARGIN * left:
                self.tasks.stop(now, placement, StopReason.NOTICE)

    def direct_answer(
        self,
        now: float,
        outcome: CallOutcome,
        machine: Machine,
        starts: list[Placement],
        ordered: bool,
    ) -> None:
        """A direct request was answered, or not: what has become of its starts."""
        heartbeat = None
        if outcome.status in (200, 409):
            heartbeat = decode(outcome.body, WorkerHeartbeat)
        mine = [p for p in starts if machine.tasks.get(p.key) is p and not p.reported]
        if outcome.status == NOT_SENT and ordered:
            # No connection: whatever is there can't be reached, so it gets nothing new for now.
            machine.command_backoff_until = now + 2 * self.timing.report_s
            self.commands.suspect_unreachable(now, machine)
        if outcome.status in (400, 409, NOT_SENT):
            # Nothing was executed, for certain.
            for placement in mine:
                self.tasks.remove(now, machine, placement)
        elif (outcome.status != 200 or heartbeat is None) and ordered:
            # Unanswered: it may be executed at any later time, until the worker has seen a
            # higher token or begun another session.
            machine.command_backoff_until = now + 2 * self.timing.report_s
            self.commands.suspect_unreachable(now, machine)
            for placement in mine:
                placement.barrier_token = machine.token
        if heartbeat is not None:
            self._apply_direct(now, machine, heartbeat)
        if outcome.status == 200:
            for placement in mine:
                if not placement.reported and machine.tasks.get(placement.key) is placement:
                    placement.sent_sequence = machine.sequence
        self.state.dirty = True
        self.commands.send(now, machine)

    def _apply_direct(self, now: float, machine: Machine, heartbeat: WorkerHeartbeat) -> None:
        """Take what an answer reports, if it is newer than what is known."""
        if (heartbeat.agent_epoch, heartbeat.sequence) <= (machine.agent_epoch, machine.sequence):
            return
        if heartbeat.token >> HANDOVER_SHIFT > machine.base_token >> HANDOVER_SHIFT:
            return
        if heartbeat.agent_epoch != machine.agent_epoch:
            # It was asked under a session that is over; now the right one is known.
            machine.next_probe_at = now
        self.apply(now, machine, heartbeat, False)

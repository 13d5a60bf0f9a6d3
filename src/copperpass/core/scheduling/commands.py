"""Commands to workers, in answers to heartbeats or in direct requests, and probes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from copperpass.core.jobs.task_ids import task_id
from copperpass.core.ports import Call, CallOutcome, ExternalService
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import Placement
from copperpass.core.scheduling.state import ShardState
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.json_codec import encode
from copperpass.protocol.workers import (
    COMMANDS_PATH,
    MAX_TASKS_PER_MACHINE,
    Command,
    CommandKind,
    DirectCommands,
    StatusPosition,
    TaskState,
    WorkerHeartbeat,
)

# The direct requests of all shards together may use one in this many connections, and each shard
# may use at least `MIN_DIRECT_REQUESTS`.
CONNECTIONS_PER_DIRECT_REQUEST = 8
MIN_DIRECT_REQUESTS = 8


@dataclass(frozen=True, slots=True)
class DirectResult:
    """Outcome of a direct request, the starts in it, and whether it contained any command.

    `sent_at_position`: the last known status of the machine when the request was sent.
    """

    outcome: CallOutcome
    starts: list[Placement]
    had_commands: bool
    sent_at_position: StatusPosition


OnDirectResult = Callable[[float, Machine, DirectResult], None]


def _start_command(placement: Placement) -> Command:
    task = task_id(placement.job_id, placement.index)
    return Command(CommandKind.START, task, placement.attempt)


def _stop_command(placement: Placement) -> Command:
    task = task_id(placement.job_id, placement.index)
    return Command(CommandKind.STOP, task, placement.attempt, placement.stop_grace_s)


def _take_pending_starts(machine: Machine, limit: int) -> list[Placement]:
    """Remove up to `limit` starts from a machine's pending ones, the oldest first."""
    starts = list(islice(machine.pending_starts.values(), limit))
    for placement in starts:
        del machine.pending_starts[placement.key]
    return starts


class Commands:
    """Sends starts, stops and clearances, with at most one direct request per machine in flight.

    `ShardScheduler` sets `on_result` before the first command.
    """

    on_result: OnDirectResult

    def __init__(self, context: SchedulerContext, state: ShardState) -> None:
        self.context, self.state = context, state
        self.timing = state.timing
        # Number of direct requests without a result yet; `max_requests` is its upper limit.
        self.requests_in_flight = 0
        shard_count = len(set(context.shard_by_team.values()))
        connections = context.cluster.resources.max_connections
        self.max_requests = max(
            MIN_DIRECT_REQUESTS, connections // (CONNECTIONS_PER_DIRECT_REQUEST * shard_count)
        )

    def mark_unreachable(self, now: float, machine: Machine) -> None:
        """Mark a machine as unreachable: commands don't arrive, although heartbeats may come in.

        Starts sent to such a machine would be lost repeatedly. It gets no new tasks until it
        reports a token that only an answer from this owner can have delivered, which takes one
        heartbeat if the connection works.
        """
        machine.token += 1
        machine.probe_token = machine.token
        if machine.unreachable_since is None:
            machine.unreachable_since = now
            self.context.outbox.log(
                LogLevel.DEBUG, LogEvent.COMMANDS_UNACKNOWLEDGED, machine=machine.name
            )

    def for_heartbeat(
        self, now: float, machine: Machine, heartbeat: WorkerHeartbeat
    ) -> list[Command]:
        """Return the commands for the answer to a heartbeat; none without authority."""
        if not self.context.has_authority(now):
            return []
        commands: list[Command] = []
        raise_token = False
        for placement in machine.tasks.values():
            if len(commands) >= MAX_TASKS_PER_MACHINE:
                # Only a machine that was taken over can have so many tasks. The others get their
                # commands with the next answers.
                break
            if placement.state == TaskState.EXITED:
                if not placement.stored or not placement.reported:
                    continue
                if placement.sent_directly and placement.start_token >= heartbeat.token:
                    # A repeat of the start could still arrive. Before the worker forgets the task,
                    # it must accept a higher token, so that it refuses the repeat.
                    raise_token = raise_token or machine.token <= placement.start_token
                    continue
                task = task_id(placement.job_id, placement.index)
                commands.append(Command(CommandKind.FORGET, task, placement.attempt))
            elif placement.stop_grace_s is not None and placement.reported:
                commands.append(_stop_command(placement))
                placement.stop_sent_at = now
        if not machine.command_in_flight:
            if raise_token:
                machine.token += 1
            if self.context.may_start(now):
                limit = MAX_TASKS_PER_MACHINE - len(commands)
                commands += self._starts_for_heartbeat(now, machine, heartbeat, limit)
        return commands

    def _starts_for_heartbeat(
        self, now: float, machine: Machine, heartbeat: WorkerHeartbeat, limit: int
    ) -> list[Command]:
        commands = []
        for placement in _take_pending_starts(machine, limit):
            placement.sent_sequence, placement.sent_directly = heartbeat.sequence, False
            placement.sent_at, placement.start_token = now, machine.token
            commands.append(_start_command(placement))
        return commands

    def send(self, now: float, machine: Machine) -> None:
        """Send a machine's pending starts and stops in a direct request, if one may be sent now."""
        if (
            machine.command_in_flight
            or not machine.address
            or machine.agent_epoch == 0
            or now < max(machine.command_backoff_until, machine.relayed_until)
            or not self.context.has_authority(now)
            or machine.deletion_requested
            # Commands that exceed the limit wait for the answer to the machine's next heartbeat.
            or self.requests_in_flight >= self.max_requests
        ):
            return
        stops = [
            placement
            for placement in machine.tasks.values()
            if placement.active
            and placement.reported
            and placement.stop_grace_s is not None
            and placement.stop_sent_at == 0.0
        ][:MAX_TASKS_PER_MACHINE]
        starts: list[Placement] = []
        may_start = not machine.restart_probe_token and self.context.may_start(now)
        if machine.pending_starts and may_start:
            starts = _take_pending_starts(machine, MAX_TASKS_PER_MACHINE - len(stops))
        if stops or starts:
            self._send_request(now, machine, stops, starts)

    def _send_request(
        self, now: float, machine: Machine, stops: list[Placement], starts: list[Placement]
    ) -> None:
        commands = []
        for placement in stops:
            placement.stop_sent_at = now
            commands.append(_stop_command(placement))
        for placement in starts:
            placement.sent_at, placement.sent_directly = now, True
            placement.start_token = machine.token
            commands.append(_start_command(placement))
        machine.command_in_flight = True
        self.requests_in_flight += 1
        had_commands, position = bool(commands), machine.position

        def on_done(done_at: float, outcome: CallOutcome) -> None:
            self._on_done(done_at, machine, DirectResult(outcome, starts, had_commands, position))

        agent_epoch = machine.probe_epoch or max(1, machine.agent_epoch)
        body = encode(DirectCommands(machine.token, agent_epoch, commands))
        timeout_s = self.timing.heartbeat_interval_s / 2 + 0.25
        self.context.outbox.calls.append(
            Call(
                ExternalService.WORKER,
                "POST",
                COMMANDS_PATH,
                on_done,
                body,
                timeout_s,
                machine.address,
            )
        )

    def _on_done(self, now: float, machine: Machine, result: DirectResult) -> None:
        machine.command_in_flight = False
        self.requests_in_flight -= 1
        if self.state.owns(machine):
            self.on_result(now, machine, result)
            return
        # The machine's tasks are proven gone, or another owner knows them. Tasks that the answer
        # lists would be assigned to a machine that the shard doesn't have.
        self.context.outbox.log(
            LogLevel.DEBUG,
            LogEvent.LATE_RESULT_IGNORED,
            machine=machine.name,
            status=result.outcome.status,
        )

    def probe(self, now: float) -> None:
        """Request the status of unreconciled and of suspected machines at once.

        A request without commands delivers the new token to the worker, which then refuses all
        commands from earlier owners. The answer lists all tasks on the machine: it proves as much
        as a heartbeat, and arrives within milliseconds. Until then no task may start whose job is
        older than the shard assignment and could have tasks on such a machine.
        """
        for name in [*self.state.unreconciled, *self.state.suspected_restarts]:
            if self.requests_in_flight >= self.max_requests:
                break
            machine = self.state.machines.get(name)
            if machine is None:
                self.state.suspected_restarts.discard(name)
                continue
            if (
                (machine.reconciled and not machine.restart_probe_token)
                or machine.command_in_flight
                or machine.deletion_requested
                or not machine.address
                or now < max(machine.next_probe_at, machine.relayed_until)
            ):
                continue
            machine.next_probe_at = now + self.timing.heartbeat_interval_s
            self._send_request(now, machine, [], [])

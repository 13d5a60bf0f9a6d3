"""Commands to workers: in answers to reports, sent directly, and probes without commands."""

from __future__ import annotations

from collections.abc import Callable

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
    Command,
    CommandKind,
    DirectCommands,
    TaskState,
    WorkerHeartbeat,
)

# The part of all connections that direct commands of all shards together may take, and the least
# number for one shard.
CONNECTIONS_PER_DIRECT = 8
LEAST_DIRECTS = 8

# Takes the answer to a direct command: now, outcome, machine, the starts that were sent, and
# whether any command was sent.
DirectAnswer = Callable[[float, CallOutcome, Machine, list[Placement], bool], None]


class Commands:
    """Sends starts, stops and clearances; at most one direct request a machine at a time.

    `on_answer` is set by the scheduler that wires the parts, before the first command.
    """

    on_answer: DirectAnswer

    def __init__(self, context: SchedulerContext, state: ShardState) -> None:
        self.context, self.state = context, state
        self.timing = state.timing
        # Commands that are being sent straight to workers, and how many may be at once.
        self.directs = 0
        shards = len(set(context.shards.values()))
        connections = context.cluster.resources.max_connections
        self.most_directs = max(LEAST_DIRECTS, connections // (CONNECTIONS_PER_DIRECT * shards))

    def suspect_unreachable(self, now: float, machine: Machine) -> None:
        """What was sent has not arrived for certain, although reports do: it may be deaf.

        Such a machine would swallow starts again and again. It gets no new work until it shows a
        token that only an answer of ours can have brought it, which takes a report if all is well.
        """
        machine.token += 1
        machine.probe_token = machine.token
        if machine.unreachable_since is None:
            machine.unreachable_since = now
            self.context.out.log(
                LogLevel.DEBUG, LogEvent.COMMANDS_UNACKNOWLEDGED, machine=machine.name
            )

    def for_heartbeat(
        self, now: float, machine: Machine, heartbeat: WorkerHeartbeat
    ) -> list[Command]:
        """What the answer to a report tells the worker to do."""
        if not self.context.has_authority(now):
            return []
        commands: list[Command] = []
        raise_token = False
        for placement in machine.tasks.values():
            name = task_id(placement.job_id, placement.index)
            if placement.state == TaskState.EXITED:
                if not placement.stored or not placement.reported:
                    continue
                if placement.sent_directly and placement.start_token >= heartbeat.token:
                    # A repeat of the start could still arrive: pass it with a higher token first.
                    raise_token = raise_token or machine.token <= placement.start_token
                    continue
                commands.append(Command(CommandKind.FORGET, name, placement.attempt))
            elif placement.stop_grace_s is not None and placement.reported:
                stop = Command(CommandKind.STOP, name, placement.attempt, placement.stop_grace_s)
                commands.append(stop)
                placement.stop_sent_at = now
        if not machine.command_in_flight:
            if raise_token:
                machine.token += 1
            commands += self._starts_for_heartbeat(now, machine, heartbeat)
        return commands

    def _starts_for_heartbeat(
        self, now: float, machine: Machine, heartbeat: WorkerHeartbeat
    ) -> list[Command]:
        commands = []
        for placement in machine.pending_starts:
            placement.sent_sequence, placement.sent_directly, placement.sent_at = (
                heartbeat.sequence,
                False,
                now,
            )
            placement.start_token = machine.token
            name = task_id(placement.job_id, placement.index)
            commands.append(Command(CommandKind.START, name, placement.attempt))
        machine.pending_starts.clear()
        return commands

    def send(self, now: float, machine: Machine) -> None:
        """Send starts and stops at once, one request at a time for each machine."""
        if (
            machine.command_in_flight
            or not machine.address
            or machine.agent_epoch == 0
            or now < max(machine.command_backoff_until, machine.relayed_until)
            or not self.context.has_authority(now)
            or machine.deletion_requested
            # Beyond the sockets that are kept for this, orders go with answers to reports.
            or self.directs >= self.most_directs
        ):
            return
        stops = [
            placement
            for placement in machine.tasks.values()
            if placement.active
            and placement.reported
            and placement.stop_grace_s is not None
            and placement.stop_sent_at == 0.0
        ]
        if stops or machine.pending_starts:
            self._direct(now, machine, stops, list(machine.pending_starts))

    def _direct(
        self, now: float, machine: Machine, stops: list[Placement], starts: list[Placement]
    ) -> None:
        commands = []
        for placement in stops:
            placement.stop_sent_at = now
            name = task_id(placement.job_id, placement.index)
            commands.append(
                Command(CommandKind.STOP, name, placement.attempt, placement.stop_grace_s)
            )
        for placement in starts:
            placement.sent_at, placement.sent_directly = now, True
            placement.start_token = machine.token
            name = task_id(placement.job_id, placement.index)
            commands.append(Command(CommandKind.START, name, placement.attempt))
        machine.pending_starts.clear()
        machine.command_in_flight = True
        self.directs += 1
        ordered = bool(commands)

        def on_done(at: float, outcome: CallOutcome) -> None:
            self._answered(at, outcome, machine, starts, ordered)

        body = encode(DirectCommands(machine.token, max(1, machine.agent_epoch), commands))
        timeout_s = self.timing.report_s / 2 + 0.25
        self.context.out.calls.append(
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

    def _answered(
        self,
        now: float,
        outcome: CallOutcome,
        machine: Machine,
        starts: list[Placement],
        ordered: bool,
    ) -> None:
        machine.command_in_flight = False
        self.directs -= 1
        if not self.state.ended:
            self.on_answer(now, outcome, machine, starts, ordered)

    def probe(self, now: float) -> None:
        """Ask machines taken over what they hold, without waiting for their reports.

        Orders without commands bring a worker the new token, after which nothing of an earlier
        commander can be carried out, and its answer names all that is there: as good a proof as a
        report, and there within milliseconds. Until it is there, no older job may start.
        """
        for name in self.state.unreconciled:
            if self.directs >= self.most_directs:
                break
            machine = self.state.machines[name]
            if (
                machine.reconciled
                or machine.command_in_flight
                or machine.deletion_requested
                or not machine.address
                or now < max(machine.next_probe_at, machine.relayed_until)
            ):
                continue
            machine.next_probe_at = now + self.timing.report_s
            self._direct(now, machine, [], [])

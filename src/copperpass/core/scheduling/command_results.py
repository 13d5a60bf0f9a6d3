"""Results of direct requests: the outcome of the starts, and the machine status in the answer."""

from __future__ import annotations

from copperpass.core.ports import NOT_SENT
from copperpass.core.scheduling.agent_restarts import AgentRestarts
from copperpass.core.scheduling.commands import Commands, DirectResult
from copperpass.core.scheduling.heartbeats import HeartbeatHandler
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.shards.fencing_tokens import HANDOVER_SHIFT
from copperpass.protocol.json_codec import decode
from copperpass.protocol.workers import StatusPosition, WorkerHeartbeat


class CommandResultHandler:
    """Applies the results of direct requests; answers carry the same status as heartbeats."""

    def __init__(
        self,
        state: ShardState,
        commands: Commands,
        tasks: TaskLifecycle,
        heartbeats: HeartbeatHandler,
        restarts: AgentRestarts,
    ) -> None:
        self.state, self.commands, self.tasks = state, commands, tasks
        self.heartbeats, self.restarts = heartbeats, restarts

    def on_result(self, now: float, machine: Machine, result: DirectResult) -> None:
        """Settle the starts of an answered or failed direct request; send pending commands."""
        status = result.outcome.status
        heartbeat = None
        if status in (200, 409):
            heartbeat = decode(result.outcome.body, WorkerHeartbeat)
        unconfirmed = [
            placement
            for placement in result.starts
            if machine.tasks.get(placement.key) is placement and not placement.reported
        ]
        if status == NOT_SENT and result.had_commands:
            # No connection: the worker can't be reached, so the machine gets no new tasks for now.
            self._back_off(now, machine)
        if status in (400, 409, NOT_SENT):
            # The worker has certainly executed nothing.
            self.tasks.remove_all(now, machine, unconfirmed)
        elif (status != 200 or heartbeat is None) and result.had_commands:
            # Outcome unknown: the worker may execute the request at any later time, until it has
            # accepted a higher token or begun another agent epoch.
            self._back_off(now, machine)
            for placement in unconfirmed:
                placement.barrier_token = machine.token
        if heartbeat is not None:
            self._apply_status(now, machine, heartbeat, result.sent_at_position)
        if status == 200:
            for placement in unconfirmed:
                if not placement.reported and machine.tasks.get(placement.key) is placement:
                    placement.sent_sequence = machine.sequence
        self.state.dirty = True
        if self.state.owns(machine):
            self.commands.send(now, machine)

    def _back_off(self, now: float, machine: Machine) -> None:
        """Pause direct requests for a while, and new tasks until contact is proven."""
        machine.command_backoff_until = now + 2 * self.state.timing.heartbeat_interval_s
        self.commands.mark_unreachable(now, machine)

    def _apply_status(
        self,
        now: float,
        machine: Machine,
        heartbeat: WorkerHeartbeat,
        sent_at_position: StatusPosition,
    ) -> None:
        """Apply the status in an answer if it is newer and not from a later handover."""
        if heartbeat.token >> HANDOVER_SHIFT > machine.base_token >> HANDOVER_SHIFT:
            return
        if self.restarts.is_restart(sent_at_position, heartbeat):
            if not self.restarts.on_restart(now, machine, heartbeat):
                return
        elif heartbeat.position <= machine.position:
            return
        if heartbeat.agent_epoch != machine.agent_epoch:
            # The request named an agent epoch that has ended. The current one is known now, so the
            # machine can be probed again at once.
            machine.next_probe_at = now
        self.heartbeats.apply(now, machine, heartbeat, unsolicited=False)

"""Agents that restart within their agent epoch, without their tasks.

Statuses are ordered by agent epoch and sequence, and a worker never shows a lower token later in an
epoch. An agent that has restarted and goes on with an earlier epoch may break both: its sequence
begins anew, perhaps its token too, and its tasks are gone. Its heartbeats then look like late
copies, and copies of commands for the former agent are valid for it.

A heartbeat that no worker can be waiting for is therefore a suspicion. It is settled by a probe
under a token that was never sent before: the answer to a request is certainly newer than all that
was known when the request was sent. If its sequence is not higher, the agent has restarted. The
token keeps the agent from accepting older commands, so the tasks that the answer does not list are
gone for good, and it tells later statuses from those of the former agent.
"""

from __future__ import annotations

from copperpass.core.ports import Outbox
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.workers import StatusPosition, WorkerHeartbeat


def is_newer(machine: Machine, heartbeat: WorkerHeartbeat) -> bool:
    """Whether a heartbeat is newer than the last status of its machine, and of the same agent."""
    if heartbeat.token < machine.restart_token:
        return False
    if heartbeat.agent_epoch != machine.agent_epoch:
        return heartbeat.agent_epoch > machine.agent_epoch
    return heartbeat.sequence > machine.sequence and heartbeat.token >= machine.shown_token


class AgentRestarts:
    """Detects agents that have restarted, and ends the tasks of the former ones."""

    def __init__(self, outbox: Outbox, state: ShardState, tasks: TaskLifecycle) -> None:
        self.outbox, self.state, self.tasks = outbox, state, tasks

    def suspect(self, now: float, machine: Machine) -> None:
        """Probe a machine whose agent may have restarted; it gets no new tasks until it answers."""
        if machine.restart_probe_token:
            return
        machine.token += 1
        machine.restart_probe_token = machine.token
        machine.next_probe_at = now
        self.state.suspected_restarts.add(machine.name)
        self.outbox.log(LogLevel.DEBUG, LogEvent.AGENT_RESTART_SUSPECTED, machine=machine.name)

    def is_restart(self, sent_at_position: StatusPosition, heartbeat: WorkerHeartbeat) -> bool:
        """Whether the answer to a request shows a restart.

        `sent_at_position`: the last known status when the request was sent.
        """
        return heartbeat.position <= sent_at_position

    def on_restart(self, now: float, machine: Machine, heartbeat: WorkerHeartbeat) -> bool:
        """Handle an answer that shows a restart; return whether its list of tasks is final.

        It is if the agent has accepted the probe's token. Otherwise a copy of an earlier command
        may still start a task, and the machine is probed again.
        """
        self.suspect(now, machine)
        if heartbeat.token < machine.restart_probe_token:
            machine.probe_epoch = heartbeat.agent_epoch
            machine.next_probe_at = now
            return False
        self.outbox.log(LogLevel.INFO, LogEvent.AGENT_RESTARTED, machine=machine.name)
        self.tasks.on_agent_epoch_ended(now, machine)
        machine.agent_epoch = machine.sequence = machine.shown_token = 0
        machine.restart_token = machine.restart_probe_token
        return True

    def clear_suspicion(self, machine: Machine) -> None:
        """End a suspicion: the agent's present status is known."""
        machine.restart_probe_token = machine.probe_epoch = 0
        self.state.suspected_restarts.discard(machine.name)

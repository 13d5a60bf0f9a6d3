"""Handling of worker heartbeats: what they prove of a machine, and when they renew its lease."""

from __future__ import annotations

from copperpass.core.scheduling.agent_restarts import AgentRestarts, is_newer
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.evictions import Evictions
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import UNIDENTIFIED
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_reconciliation import TaskReconciler
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.shards.fencing_tokens import HANDOVER_SHIFT
from copperpass.protocol.workers import HEARTBEAT_ANSWER_S, HeartbeatAnswer, WorkerHeartbeat


class HeartbeatHandler:
    """Applies worker heartbeats to the state of their machines, and answers them.

    Invariant: the statuses of a machine are applied in the order of agent epoch and sequence. A
    status that is not newer than the last one changes nothing but the time of the last answer, and
    may raise the suspicion that the agent has restarted.
    """

    def __init__(
        self,
        context: SchedulerContext,
        state: ShardState,
        commands: Commands,
        tasks: TaskLifecycle,
        reconciler: TaskReconciler,
        evictions: Evictions,
        restarts: AgentRestarts,
    ) -> None:
        self.context, self.state, self.commands, self.tasks = context, state, commands, tasks
        self.reconciler, self.evictions, self.restarts = reconciler, evictions, restarts
        self.timing, self.machines, self.quota_usage = (
            state.timing,
            state.machines,
            state.quota_usage,
        )

    def on_heartbeat(
        self, now: float, heartbeat: WorkerHeartbeat, relayed: bool
    ) -> HeartbeatAnswer | None:
        """Apply a worker's heartbeat; None if it must not be answered with 200.

        `relayed`: another controller forwarded it because the worker can't reach this one.
        """
        machine = self.machines.get(heartbeat.machine)
        if machine is None or (
            heartbeat.token >> HANDOVER_SHIFT > machine.base_token >> HANDOVER_SHIFT
        ):
            return None
        if not is_newer(machine, heartbeat):
            return self._answer_older(now, machine)
        # Direct commands can be sent to a worker that reaches this controller again. A new
        # machine's first heartbeat often arrives at another controller.
        machine.relayed_until = (
            now + 2 * self.timing.heartbeat_interval_s if relayed else float("-inf")
        )
        self.apply(now, machine, heartbeat, unsolicited=True)
        if self._must_not_renew_lease(now, machine):
            return None
        if machine.reconciled:
            # Only communication in both directions proves contact with workers: a heartbeat alone
            # may be a late copy.
            self.state.last_heartbeat_at = now
        machine.last_answer_at = max(machine.last_answer_at, now)
        commands = self.commands.for_heartbeat(now, machine, heartbeat)
        return HeartbeatAnswer(machine.token, commands)

    def _answer_older(self, now: float, machine: Machine) -> HeartbeatAnswer | None:
        """Answer a heartbeat that is not newer than the last status: a late copy, in most cases."""
        newest_message_at = max(machine.last_heartbeat_at, machine.last_message_at)
        if now - newest_message_at <= HEARTBEAT_ANSWER_S:
            # The answer to a direct request may have overtaken the heartbeat, whose worker waits
            # for this answer. It carries no commands, and it can only renew the lease for a
            # heartbeat that was sent before the newest message arrived.
            machine.last_answer_at = max(machine.last_answer_at, newest_message_at)
            return HeartbeatAnswer(machine.token, [])
        # No worker waits so long for the answer to an overtaken heartbeat.
        self.restarts.suspect(now, machine)
        return None

    def apply(
        self, now: float, machine: Machine, heartbeat: WorkerHeartbeat, unsolicited: bool
    ) -> None:
        """Update a machine's state from a newer status.

        `unsolicited`: the worker sent it on its own, not to answer a direct command.
        """
        self._apply_agent_epoch(now, machine, heartbeat, unsolicited)
        self._apply_proofs(now, machine, heartbeat)
        self.reconciler.apply(now, machine, heartbeat, unsolicited)
        if machine.usage_stale:
            self.quota_usage.recount(machine)
        if machine.tasks:
            machine.idle_since = now
            self.evictions.hand_over_to_other_shard(machine)
        else:
            machine.holds_other_shard = False
            if machine.draining and not machine.pending_starts:
                self.state.release_if_empty(machine)

    def _apply_agent_epoch(
        self, now: float, machine: Machine, heartbeat: WorkerHeartbeat, unsolicited: bool
    ) -> None:
        """Record the agent epoch, the sequence, and the arrival time of the message."""
        if heartbeat.agent_epoch != machine.agent_epoch:
            if machine.agent_epoch:
                # The tasks of the previous agent epoch are gone. Only a token can prove that the
                # new one has had no other owner: an earlier owner may have known it already.
                self.tasks.on_agent_epoch_ended(now, machine)
            machine.agent_epoch, machine.shown_token = heartbeat.agent_epoch, 0
            self.restarts.clear_suspicion(machine)
            # The lease of the new agent epoch began before this heartbeat was sent. If expiry were
            # still counted from the last answer in the previous one, it would free the tasks of the
            # new one too early.
            machine.last_answer_at = max(machine.last_answer_at, now)
        machine.sequence = heartbeat.sequence
        machine.shown_token = max(machine.shown_token, heartbeat.token)
        machine.address = heartbeat.address
        machine.last_message_at = now
        if unsolicited or not machine.registered:
            # Once the machine is registered, answers to direct commands don't count. A machine that
            # can be commanded but can't send heartbeats must count as unresponsive: nothing renews
            # its lease, so all tasks started there fail.
            machine.last_heartbeat_at = now
        if not machine.registered:
            machine.registered, machine.registered_at, machine.idle_since = True, now, now
            self.state.dirty = True

    def _apply_proofs(self, now: float, machine: Machine, heartbeat: WorkerHeartbeat) -> None:
        """Apply the cloud's interruption notice, and the proofs that the token gives."""
        if heartbeat.notice_s is not None and machine.interruption_at is None:
            interruption_at = machine.interruption_at = now + heartbeat.notice_s
            self.evictions.on_interruption_notice(now, machine, interruption_at - now)
        if machine.restart_probe_token and heartbeat.token >= machine.restart_probe_token:
            self.restarts.clear_suspicion(machine)
            self.state.dirty = True
        if machine.unreachable_since is not None and heartbeat.token >= machine.probe_token:
            machine.unreachable_since, self.state.dirty = None, True
        if not machine.reconciled and heartbeat.token >= machine.base_token:
            machine.reconciled = True
            self.state.unreconciled.discard(machine.name)
            self.state.dirty = True

    def _must_not_renew_lease(self, now: float, machine: Machine) -> bool:
        """Whether a machine has tasks whose jobs may have been completed or cancelled unnoticed.

        Renewing its lease would keep these tasks running. A single owner may do so briefly, until
        its watch cache is synced. But a succession of owners during an outage of the state service
        would renew it indefinitely, and a job cancelled before would run past any bound.
        """
        if self.state.ready or now - self.context.consistent_at() < self.timing.lease_s / 4:
            return False
        return any(
            placement.team == UNIDENTIFIED
            and placement.active
            and not placement.of_other_shard
            and placement.stop_grace_s is None
            for placement in machine.tasks.values()
        )

"""Machines that aren't heard: leases that have ended, and machines that are given up."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.log_events import DeletionReason, LogEvent, LogLevel

# A zone that is silent as a whole is waited for as many leases before its machines are deleted.
CUT_LEASES = 4.0


class Silence:
    """How many of the machines that should be heard are silent, in all and in each zone."""

    def __init__(
        self, machines: Iterable[Machine], unreconciled: set[str], now: float, silence: float
    ) -> None:
        self.zones: dict[str, list[int]] = {}
        for machine in machines:
            if machine.registered or machine.name in unreconciled:
                counts = self.zones.setdefault(machine.zone, [0, 0])
                counts[0] += now - machine.last_contact_at > silence
                counts[1] += 1
        self.silent = sum(counts[0] for counts in self.zones.values())
        self.all = sum(counts[1] for counts in self.zones.values())

    def few(self, zone: str) -> bool:
        """Whether most others can be heard, in all and in the zone."""
        return self.silent * 3 <= self.all and not self.cut(zone)

    def cut(self, zone: str) -> bool:
        """Whether most of a zone can't be heard, and it is more than a machine or two."""
        silent, known = self.zones.get(zone, (0, 0))
        return silent * 2 > known and silent > 2


class HeartbeatTimeoutScan:
    """Ends leases, and asks the leader to delete machines that are lost."""

    def __init__(self, context: SchedulerContext, state: ShardState, tasks: TaskLifecycle) -> None:
        self.out, self.state, self.tasks = context.out, state, tasks

    def scan(self, now: float) -> None:
        """Look at all machines once."""
        state, timing = self.state, self.state.timing
        silence = Silence(
            state.machines.values(), state.unreconciled, now, timing.heartbeat_timeout_s
        )
        for machine in list(state.machines.values()):
            ended = float("-inf") < machine.last_answer_at < now - timing.lease_s
            if ended and (machine.tasks or machine.name in state.unreconciled):
                self.out.log(LogLevel.INFO, LogEvent.WORKER_LEASE_EXPIRED, machine=machine.name)
                state.unreconciled.discard(machine.name)
                self.tasks.on_session_ended(now, machine)
            if machine.deletion_requested:
                continue
            reason = self._deletion_reason(now, machine, ended, silence)
            if reason:
                self.out.log(
                    LogLevel.INFO,
                    LogEvent.MACHINE_DELETION_REQUESTED,
                    machine=machine.name,
                    reason=reason,
                )
                machine.deletion_requested = True

    def _deletion_reason(
        self, now: float, machine: Machine, ended: bool, silence: Silence
    ) -> DeletionReason | None:
        """Why a machine should be deleted, if it should."""
        timing = self.state.timing
        few, cut = silence.few(machine.zone), silence.cut(machine.zone)
        patience = CUT_LEASES * timing.lease_s if cut else timing.lease_s
        quiet = now - machine.last_contact_at
        waited = now - max(machine.last_answer_at - timing.overlap_s, self.state.owned_since)
        lost = (
            machine.name in self.state.unreconciled
            and waited > timing.unreachable_timeout_s
            and few
        )
        if not machine.registered and machine.recorded and (lost or (ended and waited > patience)):
            # Known by its record alone, and silent for longer than a worker takes to find its way
            # while others are heard, or for a whole lease: it is gone or cut off. Its record would
            # hold up all older jobs, and the next change of leader too.
            return DeletionReason.NEVER_REGISTERED
        if (
            machine.registered
            and quiet > timing.unreachable_timeout_s
            and (few or quiet > patience)
        ):
            # A silent machine among speaking ones: have the cloud end it, which frees its tasks
            # sooner than its lease would. A whole zone is rather cut off than dead: its machines
            # are worth more when it is back than new ones, which would report to nobody either.
            return DeletionReason.HEARTBEAT_TIMEOUT
        if (
            machine.registered
            and not machine.reconciled
            and now - machine.registered_at > timing.lease_s
        ):
            # It speaks, but for a whole lease no answer has reached it: its session is over by
            # then, and a machine that can be commanded is worth more.
            return DeletionReason.ANSWERS_UNDELIVERED
        return DeletionReason.QUARANTINED if machine.quarantined and machine.empty() else None

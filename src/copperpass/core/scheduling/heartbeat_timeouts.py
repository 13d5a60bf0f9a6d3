"""Heartbeat timeouts: detects expired worker leases, and machines to be deleted."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.log_events import DeletionReason, LogEvent, LogLevel

# Machines of an unresponsive zone are deleted after this many lease durations without contact.
ZONE_OUTAGE_LEASES = 4.0


@dataclass(slots=True)
class MachineCounts:
    """Number of machines that should send heartbeats, and of the unresponsive ones among them."""

    unresponsive: int = 0
    total: int = 0


class UnresponsiveMachines:
    """Counts of unresponsive machines, in total and by zone."""

    def __init__(
        self, machines: Iterable[Machine], unreconciled: set[str], now: float, timeout_s: float
    ) -> None:
        self.zones: dict[str, MachineCounts] = {}
        for machine in machines:
            if machine.registered or machine.name in unreconciled:
                counts = self.zones.setdefault(machine.zone, MachineCounts())
                counts.unresponsive += now - machine.last_contact_at > timeout_s
                counts.total += 1
        self.unresponsive = sum(counts.unresponsive for counts in self.zones.values())
        self.total = sum(counts.total for counts in self.zones.values())

    def is_minority(self, zone: str) -> bool:
        """Whether at most a third of all machines is unresponsive, and the zone has no outage."""
        return self.unresponsive * 3 <= self.total and not self.is_zone_outage(zone)

    def is_zone_outage(self, zone: str) -> bool:
        """Whether more than half of a zone's machines, and more than two, are unresponsive."""
        counts = self.zones.get(zone)
        if counts is None:
            return False
        return counts.unresponsive * 2 > counts.total and counts.unresponsive > 2


class HeartbeatTimeoutScan:
    """Ends the tasks of expired leases, and asks the leader to delete unresponsive machines."""

    def __init__(self, context: SchedulerContext, state: ShardState, tasks: TaskLifecycle) -> None:
        self.outbox, self.state, self.tasks = context.outbox, state, tasks

    def scan(self, now: float) -> None:
        """Check all machines for expired leases and for reasons to delete them."""
        state, timing = self.state, self.state.timing
        unresponsive = UnresponsiveMachines(
            state.machines.values(), state.unreconciled, now, timing.heartbeat_timeout_s
        )
        for machine in list(state.machines.values()):
            expired = float("-inf") < machine.last_answer_at < now - timing.lease_s
            if expired and (machine.tasks or machine.name in state.unreconciled):
                self.outbox.log(LogLevel.INFO, LogEvent.WORKER_LEASE_EXPIRED, machine=machine.name)
                state.unreconciled.discard(machine.name)
                self.tasks.on_agent_epoch_ended(now, machine)
                if machine.draining and state.release_if_empty(machine):
                    continue
            if machine.deletion_requested:
                continue
            reason = self._deletion_reason(now, machine, expired, unresponsive)
            if reason:
                self.outbox.log(
                    LogLevel.INFO,
                    LogEvent.MACHINE_DELETION_REQUESTED,
                    machine=machine.name,
                    reason=reason,
                )
                machine.deletion_requested = True

    def _deletion_reason(
        self, now: float, machine: Machine, expired: bool, unresponsive: UnresponsiveMachines
    ) -> DeletionReason | None:
        """Return why a machine should be deleted; None if it should not."""
        timing = self.state.timing
        minority = unresponsive.is_minority(machine.zone)
        outage = unresponsive.is_zone_outage(machine.zone)
        max_silence_s = ZONE_OUTAGE_LEASES * timing.lease_s if outage else timing.lease_s
        if not machine.registered:
            if machine.recorded and self._never_registered(
                now, machine, expired, minority, max_silence_s
            ):
                return DeletionReason.NEVER_REGISTERED
        else:
            without_contact_s = now - machine.last_contact_at
            if without_contact_s > timing.unreachable_timeout_s and (
                minority or without_contact_s > max_silence_s
            ):
                # Deleting one unresponsive machine among responsive ones frees its tasks sooner
                # than the expiry of its lease would. A whole unresponsive zone is more likely
                # partitioned than dead: once it is reachable again, its machines are worth more
                # than new ones, whose heartbeats would not reach a controller either.
                return DeletionReason.HEARTBEAT_TIMEOUT
            if not machine.reconciled and now - machine.registered_at > timing.lease_s:
                # The machine sends heartbeats, but no answer has reached it for a whole lease. Its
                # agent epoch has ended by then, and a machine that can be commanded is worth more.
                return DeletionReason.ANSWERS_UNDELIVERED
        return DeletionReason.QUARANTINED if machine.quarantined and machine.is_empty() else None

    def _never_registered(
        self, now: float, machine: Machine, expired: bool, minority: bool, max_silence_s: float
    ) -> bool:
        """Whether a machine known only from its record counts as deleted or partitioned.

        It does if it was unresponsive for longer than a worker takes to reach another controller
        while other machines are responsive, or for more than `max_silence_s`. If it were kept, its
        record would block the start of all older jobs, also after the next change of leader.
        """
        state, timing = self.state, self.state.timing
        unanswered_s = now - max(
            machine.last_answer_at - timing.ownership_overlap_s, state.owned_since
        )
        unreachable = (
            machine.name in state.unreconciled
            and unanswered_s > timing.unreachable_timeout_s
            and minority
        )
        return unreachable or (expired and unanswered_s > max_silence_s)

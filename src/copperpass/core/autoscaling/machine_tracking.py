"""What becomes of machines: what their owners tell, reports that no owner takes, timeouts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from copperpass.core.autoscaling.instance_requests import RELEASE_AGAIN_S, InstanceRequests
from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import ManagedMachine, ManagerContext, ManagerState
from copperpass.core.jobs.job_table import JobTable
from copperpass.protocol.frames.messages import NO_SHARD, MachineStatus, Occupancy
from copperpass.protocol.workers import WorkerHeartbeat

# A machine that hasn't come up after so many boot times is returned.
BOOTS_TO_COME_UP = 5


class MachineTracker:
    """Follows each machine from its first report until it is given back or returned."""

    def __init__(
        self,
        context: ManagerContext,
        state: ManagerState,
        records: MachineRecords,
        instance_requests: InstanceRequests,
    ) -> None:
        self.state, self.records, self.instance_requests = state, records, instance_requests
        self.jobs: JobTable = context.jobs
        # How long a deleted machine is remembered.
        self.gone_s = 20 * context.cluster.cloud.list_lag_s + 4 * state.lease_s

    # -- what owners tell -----------------------------------------------------------------

    def told(self, now: float, sender: str, statuses: Iterable[MachineStatus]) -> None:
        """An owner's table has news."""
        for status in statuses:
            machine = self.state.machines.get(status.name)
            if machine is None or status.base != machine.entry.base:
                continue
            if self.state.owner_of(machine) != sender:
                continue
            self._take(now, machine, status)

    def _take(self, now: float, machine: ManagedMachine, status: MachineStatus) -> None:
        """Take in a machine's new status."""
        records = self.records
        status = self._note_changes(now, machine, status)
        before, machine.status = machine.status, status
        machine.used_cpus = status.used_cpus
        if status.settled and not before.settled and machine.entry.may_hold != Occupancy.EMPTY:
            records.update(machine, may_hold=Occupancy.EMPTY)
        if status.contact is not None and not status.given:
            records.learn_contact(machine, status.contact.address, status.contact.session)
        if status.given:
            self._given(now, machine, status)
            return
        refused = not status.idle or now > machine.back_until
        if machine.entry.back and not machine.entry.vacate and refused:
            machine.back_for = None
            records.update(machine, back=False)
        if status.release and not machine.releasing:
            self.instance_requests.release(now, [machine])

    def _note_changes(
        self, now: float, machine: ManagedMachine, status: MachineStatus
    ) -> MachineStatus:
        """Note since when a machine is up and idle; returns the status to keep."""
        if machine.status.up and not status.up:
            # A new owner has not heard it yet; that doesn't make it one that never came up, which
            # would be deleted with all that runs there.
            status = replace(status, up=True)
        if status.up and not machine.status.up:
            machine.up_at = machine.idle_since = now
            self.state.fleet_store.came_up(now, machine.entry.name, machine.machine_group)
        if status.idle and not machine.status.idle:
            machine.idle_since = now
        return status

    def _given(self, now: float, machine: ManagedMachine, status: MachineStatus) -> None:
        """An owner has given a machine back: nobody commands it now."""
        if status.shard != NO_SHARD:
            # It holds tasks of another shard.
            self.records.rebase(
                machine, status.shard, machine.entry.may_hold or Occupancy.OWN_SHARD
            )
        elif machine.back_for is not None:
            self.records.rebase(machine, machine.back_for, Occupancy.EMPTY, status)
        else:
            self.records.rebase(machine, NO_SHARD, Occupancy.EMPTY, status)
            self.instance_requests.release(now, [machine])

    # -- machines that nobody owns ----------------------------------------------------------

    def unowned(self, now: float, report: WorkerHeartbeat) -> None:
        """A machine reports that is in nobody's shard: find out whose it is."""
        state = self.state
        machine = state.machines.get(report.machine)
        if machine is None:
            if report.machine in state.gone or report.type not in state.types:
                return
            # Unexpected: rented by a request that was carried out late, or a late copy about a
            # machine that is gone. Whoever owns it will see whether answers reach it.
            machine_group = MachineGroup(report.type, report.zone, report.spot)
            machine = self.records.add(
                now, report.machine, machine_group, NO_SHARD, Occupancy.EMPTY
            )
        if machine.entry.shard != NO_SHARD or machine.releasing:
            return
        self.records.rebase(machine, self._shard_of(report), machine.entry.may_hold)

    def _shard_of(self, report: WorkerHeartbeat) -> int:
        """The shard with the most tasks in a report; the neediest if it has none."""
        counts: dict[int, int] = {}
        for task in report.tasks:
            job = self.jobs.jobs.get(task.task.rpartition("/")[0])
            if job is not None and job.spec.team in self.state.shard_of:
                number = self.state.shard_of[job.spec.team]
                counts[number] = counts.get(number, 0) + 1
        if counts:
            return max(counts, key=lambda number: counts[number])
        return self.state.neediest_shard()

    # -- time -------------------------------------------------------------------------------

    def sweep(self, now: float) -> None:
        """Return machines that never came up or that nobody has answered; forget the gone."""
        state = self.state
        for machine in list(state.machines.values()):
            slow = BOOTS_TO_COME_UP * machine.type.boot_s
            never = not machine.status.up and now - machine.created_at > slow
            again = machine.releasing and now - machine.release_sent > RELEASE_AGAIN_S
            if again or (never and not machine.releasing):
                self.instance_requests.release(now, [machine])
            unclaimed = (
                machine.entry.may_hold != Occupancy.EMPTY and machine.entry.shard == NO_SHARD
            )
            if unclaimed and now - state.won_at > state.lease_s + state.grant_s:
                # Nobody has answered it in this term, nor under a grant of the term before, so its
                # session is over; it is gone.
                self.records.update(machine, may_hold=Occupancy.EMPTY)
                self.instance_requests.release(now, [machine])
        for name in [name for name, at in state.gone.items() if now - at > self.gone_s]:
            del state.gone[name]

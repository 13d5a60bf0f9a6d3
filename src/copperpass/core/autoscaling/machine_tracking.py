"""Tracks the lifecycle of machines: statuses from owners, unassigned machines, timeouts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from copperpass.core.autoscaling.instance_requests import RELEASE_RETRY_S, InstanceRequests
from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import ClusterManagerContext, ClusterState, ManagedMachine
from copperpass.core.jobs.job_table import JobTable
from copperpass.protocol.frames.messages import NO_SHARD, MachineStatus, Occupancy
from copperpass.protocol.workers import WorkerHeartbeat

# A machine that has not registered after this many boot times of its type is released.
MAX_BOOT_TIMES = 5


class MachineTracker:
    """Follows each machine from its first heartbeat until it is reassigned or deleted.

    It has no state of its own. It updates the machine statuses in `ClusterState`, and changes the
    routes, which are replicated to the members, only through `MachineRecords`.
    """

    def __init__(
        self,
        context: ClusterManagerContext,
        state: ClusterState,
        records: MachineRecords,
        instance_requests: InstanceRequests,
    ) -> None:
        self.state, self.records, self.instance_requests = state, records, instance_requests
        self.jobs: JobTable = context.jobs
        # How long a deleted machine is remembered. No message about it arrives later than this.
        self.deleted_retention_s = 20 * context.cluster.cloud.list_lag_s + 4 * state.lease_s

    def on_machine_statuses(
        self, now: float, sender: str, statuses: Iterable[MachineStatus]
    ) -> None:
        """Apply statuses from an owner; ignore those of earlier assignments or of other owners."""
        for status in statuses:
            machine = self.state.machines.get(status.name)
            if machine is None or status.base_token != machine.route.base_token:
                continue
            if self.state.owner_of(machine) != sender:
                continue
            self._on_status(now, machine, status)

    def _on_status(self, now: float, machine: ManagedMachine, status: MachineStatus) -> None:
        """Store a machine's new status and act on its changes."""
        records = self.records
        status = self._apply_transitions(now, machine, status)
        previous, machine.status = machine.status, status
        machine.used_cpus = status.used_cpus
        if (
            status.reconciled
            and not previous.reconciled
            and machine.route.occupancy != Occupancy.EMPTY
        ):
            records.mark_empty(machine)
        if status.contact is not None and not status.released:
            records.record_contact(machine, status.contact.address, status.contact.agent_epoch)
        if status.released:
            self._on_released(now, machine, status)
            return
        declined = not status.idle or now > machine.reclaim_deadline
        if machine.route.reclaim_requested and not machine.route.drain and declined:
            machine.reclaim_for_shard = None
            records.set_route(machine, replace(machine.route, reclaim_requested=False))
        if machine.route.drain and not status.beyond_guarantee:
            # The owner has declined: the tasks are within the guarantee of their team by now. If it
            # drains the machine nevertheless, the machine still goes to the other shard.
            records.set_route(machine, replace(machine.route, reclaim_requested=False, drain=False))
        if status.deletion_requested and not machine.deleting:
            self.instance_requests.release(now, [machine])

    def _apply_transitions(
        self, now: float, machine: ManagedMachine, status: MachineStatus
    ) -> MachineStatus:
        """Record when a machine came up and became idle; returns the status to store."""
        if machine.status.registered and not status.registered:
            # A new owner has had no heartbeat from the machine yet. If the machine counted as never
            # registered, it would be deleted with all tasks that run on it.
            status = replace(status, registered=True)
        if status.registered and not machine.status.registered:
            machine.registered_at = machine.idle_since = now
            self.state.inventory.mark_up(now, machine.route.name, machine.machine_group)
        if status.idle and not machine.status.idle:
            machine.idle_since = now
        return status

    def _on_released(self, now: float, machine: ManagedMachine, status: MachineStatus) -> None:
        """Reassign or delete a machine that its owner has released: no member commands it now."""
        if status.shard != NO_SHARD:
            # The machine has tasks of another shard, so it is assigned to that shard.
            self.records.reassign(
                machine, status.shard, machine.route.occupancy or Occupancy.OWN_SHARD
            )
        elif machine.reclaim_for_shard is not None:
            self.records.reassign(machine, machine.reclaim_for_shard, Occupancy.EMPTY, status)
        else:
            self.records.reassign(machine, NO_SHARD, Occupancy.EMPTY, status)
            self.instance_requests.release(now, [machine])

    def on_unowned_heartbeat(self, now: float, heartbeat: WorkerHeartbeat) -> None:
        """Assign a machine that has no shard to one, on its heartbeat."""
        state = self.state
        machine = state.machines.get(heartbeat.machine)
        if machine is None:
            if heartbeat.machine in state.deleted_at or heartbeat.type not in state.types:
                return
            # The machine is not recorded. Either the cloud has carried out a request late, or this
            # is a delayed heartbeat of a deleted machine. Its owner will find out whether responses
            # reach it.
            machine_group = MachineGroup(heartbeat.type, heartbeat.zone, heartbeat.spot)
            machine = self.records.add(
                now, heartbeat.machine, machine_group, NO_SHARD, Occupancy.EMPTY
            )
        if machine.route.shard != NO_SHARD or machine.deleting:
            return
        self.records.reassign(machine, self._shard_of(heartbeat), machine.route.occupancy)

    def _shard_of(self, heartbeat: WorkerHeartbeat) -> int:
        """Return the shard with the most tasks on a machine, or else with the highest demand."""
        counts: dict[int, int] = {}
        for task in heartbeat.tasks:
            job = self.jobs.jobs.get(task.task.rpartition("/")[0])
            if job is not None and job.spec.team in self.state.shard_by_team:
                number = self.state.shard_by_team[job.spec.team]
                counts[number] = counts.get(number, 0) + 1
        if counts:
            return max(counts, key=lambda number: counts[number])
        return self.state.shard_with_highest_demand()

    def sweep(self, now: float) -> None:
        """Release machines that never registered or are unclaimed; repeat unconfirmed releases."""
        state = self.state
        for machine in list(state.machines.values()):
            booting_too_long = (
                not machine.status.registered
                and now - machine.created_at > MAX_BOOT_TIMES * machine.type.boot_s
            )
            if machine.deleting:
                if now - machine.deletion_sent_at > RELEASE_RETRY_S:
                    self.instance_requests.release(now, [machine])
            elif booting_too_long:
                self.instance_requests.release(now, [machine])
            unclaimed = (
                machine.route.occupancy != Occupancy.EMPTY and machine.route.shard == NO_SHARD
            )
            if unclaimed and now - state.elected_at > state.lease_s + state.grant_s:
                # No member has answered the machine's heartbeats in this term, and the grants of
                # the previous term have expired. So the lease of the machine's agent epoch has
                # expired too, and no tasks run on it.
                self.records.mark_empty(machine)
                self.instance_requests.release(now, [machine])
        self._forget_deleted(now)

    def _forget_deleted(self, now: float) -> None:
        deleted = self.state.deleted_at
        expired = [
            name
            for name, deleted_at in deleted.items()
            if now - deleted_at > self.deleted_retention_s
        ]
        for name in expired:
            del deleted[name]

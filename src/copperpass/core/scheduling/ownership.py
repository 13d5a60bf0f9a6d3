"""Ownership of machines: assignment by the leader's routing table, release, and statuses."""

from __future__ import annotations

from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.protocol.frames.messages import (
    MachineContact,
    MachineRoute,
    MachineStatus,
    Occupancy,
)


class Ownership:
    """Applies the leader's routing table, and produces the machine statuses sent to the leader."""

    def __init__(
        self,
        context: SchedulerContext,
        state: ShardState,
        commands: Commands,
        tasks: TaskLifecycle,
    ) -> None:
        self.context, self.state, self.commands, self.tasks = context, state, commands, tasks
        self.machines = state.machines

    def on_route(self, now: float, route: MachineRoute) -> None:
        """Apply a new route for a machine from the leader's routing table."""
        state, name = self.state, route.name
        machine = self.machines.get(name)
        last_status = state.released.get(name)
        if last_status is not None and (
            route.base_token != last_status.base_token or route.deleted
        ):
            del state.released[name]
        if route.shard != self.context.shard or route.deleted:
            self._on_other_route(now, route, machine)
            return
        state.other_shard_machines.pop(name, None)
        if machine is not None and route.base_token > machine.base_token and not state.ready:
            self._discard(now, machine)
            machine = None
        if machine is None and name not in state.released:
            machine = self._add(now, route)
        if machine is None:
            return
        if route.recorded and not machine.recorded:
            machine.recorded, state.dirty = True, True
        if route.failed and not machine.failed:
            # The machine has terminated on its own, so no task runs there any more.
            machine.failed = True
            state.unreconciled.discard(name)
            self.tasks.on_agent_epoch_ended(now, machine)
            if machine.draining and state.release_if_empty(machine):
                return
        if route.reclaim_requested:
            self._release_or_drain(now, machine, route.drain)

    def _on_other_route(self, now: float, route: MachineRoute, machine: Machine | None) -> None:
        """Apply the route of a machine that is assigned to another shard, or deleted."""
        if route.deleted and machine is not None:
            self._on_machine_deleted(now, machine)
        in_other_shard = route.shard != self.context.shard and not route.deleted
        if route.occupancy == Occupancy.ANY_SHARD and in_other_shard and not route.failed:
            self.state.other_shard_machines[route.name] = (route.type, route.zone, route.spot)
        elif self.state.other_shard_machines.pop(route.name, None) is not None:
            self.state.dirty = True

    def _discard(self, now: float, machine: Machine) -> None:
        """Discard the state of a machine from an earlier assignment.

        The grant of the shard arrived before the route. With the earlier token, the machine's
        heartbeats would be refused permanently.
        """
        self.tasks.remove_all(now, machine, machine.tasks.values())
        self.state.quota_usage.drop(machine)
        self.state.unreconciled.discard(machine.name)
        del self.machines[machine.name]

    def _add(self, now: float, route: MachineRoute) -> Machine | None:
        machine_type = self.context.types.get(route.type)
        if machine_type is None:
            return None
        machine = Machine(route.name, machine_type, route.zone, route.spot, route.base_token)
        machine.token = route.base_token
        machine.idle_since = now
        machine.recorded = route.recorded
        machine.images = self.context.images.setdefault(route.name, machine.images)
        self.machines[route.name] = machine
        self.state.dirty = True
        if route.contact is not None:
            machine.address, machine.agent_epoch = route.contact.address, route.contact.agent_epoch
        if route.proven_empty and route.contact is not None:
            # The last owner has proven the machine empty, so tasks may start at once.
            machine.sequence = route.contact.sequence
            machine.reconciled = machine.registered = True
            machine.registered_at = machine.last_heartbeat_at = machine.last_answer_at = now
        elif route.recorded and route.occupancy != Occupancy.EMPTY:
            # An earlier owner may have answered the worker until now, and may still answer it.
            machine.last_answer_at = now + self.state.timing.ownership_overlap_s
            self.state.unreconciled.add(route.name)
        return machine

    def _release_or_drain(self, now: float, machine: Machine, drain: bool) -> None:
        """Release a reclaimed machine if it is proven empty; otherwise drain it if `drain`.

        A drain for another shard's guarantee is declined if the machine's tasks are no longer
        beyond the guarantee of their team; the next status says so.
        """
        beyond_guarantee = self.state.beyond_guarantee
        declined = beyond_guarantee is not None and machine.name not in beyond_guarantee
        if self.state.release_if_empty(machine) or not drain or declined:
            return
        machine.draining = True
        self.tasks.remove_all(now, machine, machine.pending_starts.values())
        for placement in list(machine.tasks.values()):
            if placement.active and placement.stop_grace_s is None:
                self.tasks.stop(now, placement, StopReason.RECLAIMED)
        self.commands.send(now, machine)

    def _on_machine_deleted(self, now: float, machine: Machine) -> None:
        """Remove a machine, and all tasks on it, after the cloud has confirmed its deletion."""
        self.state.unreconciled.discard(machine.name)
        self.tasks.on_agent_epoch_ended(now, machine)
        self.state.quota_usage.drop(machine)
        self.machines.pop(machine.name, None)
        self.context.images.pop(machine.name, None)

    def statuses(self, now: float) -> list[MachineStatus]:
        """Return the machine statuses that have changed since they were last sent to the leader.

        The statuses of released machines are repeated until the leader has reassigned them.
        """
        statuses = list(self.state.released.values())
        beyond_guarantees = self.state.beyond_guarantee or set()
        for machine in self.machines.values():
            # Capacity reserved for a gang must not count as idle, or the leader would reclaim it.
            idle = (
                machine.registered
                and machine.recorded
                and machine.is_empty()
                and now >= machine.retain_until
            )
            reconciled = machine.reconciled and not machine.holds_other_shard
            beyond_guarantee = machine.draining or machine.name in beyond_guarantees
            if self._has_changed(machine, idle, reconciled, beyond_guarantee):
                machine.last_status_agent_epoch = machine.agent_epoch
                machine.last_status = self._status(machine, idle, reconciled, beyond_guarantee)
                statuses.append(machine.last_status)
        return statuses

    @staticmethod
    def _has_changed(
        machine: Machine, idle: bool, reconciled: bool, beyond_guarantee: bool
    ) -> bool:
        last_status = machine.last_status
        return (
            last_status is None
            or last_status.base_token != machine.base_token
            or last_status.registered != machine.registered
            or last_status.idle != idle
            or last_status.reconciled != reconciled
            or last_status.deletion_requested != machine.deletion_requested
            or last_status.beyond_guarantee != beyond_guarantee
            or last_status.used_cpus != machine.used_cpus
            or machine.last_status_agent_epoch != machine.agent_epoch
        )

    @staticmethod
    def _status(
        machine: Machine, idle: bool, reconciled: bool, beyond_guarantee: bool
    ) -> MachineStatus:
        contact = None
        if machine.address and machine.registered:
            contact = MachineContact(machine.address, machine.agent_epoch, 0)
        return MachineStatus(
            machine.name,
            machine.base_token,
            machine.registered,
            reconciled,
            idle,
            deletion_requested=machine.deletion_requested,
            used_cpus=machine.used_cpus,
            contact=contact,
            beyond_guarantee=beyond_guarantee,
        )

"""Writes the machines' routes to the leader's replication log and issues their base tokens."""

from __future__ import annotations

from dataclasses import replace

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.state import ClusterManagerContext, ClusterState, ManagedMachine
from copperpass.core.shards.fencing_tokens import MAX_HANDOVERS, base_token
from copperpass.protocol.frames.messages import (
    NO_SHARD,
    MachineContact,
    MachineRoute,
    MachineStatus,
    Occupancy,
)

# The leader steps down when at most one handover per machine and this many more are left.
RESERVED_HANDOVERS = 1000


class MachineRecords:
    """Adds, changes and removes machines; the only writer of the routes' replication log.

    Every change of a machine's owner issues a higher base token, which fences off messages that an
    earlier owner still sends.
    """

    def __init__(self, context: ClusterManagerContext, state: ClusterState) -> None:
        self.state, self.inventory = state, state.inventory
        self.previous_routes = context.previous_routes
        self.last_handover = 0

    def next_base_token(self) -> int:
        """Return a token higher than all those issued before in this term."""
        self.last_handover += 1
        return base_token(self.state.epoch, self.last_handover)

    def handovers_exhausted(self) -> bool:
        """Whether too few handovers are left for this term to reassign every machine once more."""
        return self.last_handover >= MAX_HANDOVERS - len(self.state.machines) - RESERVED_HANDOVERS

    def set_route(self, machine: ManagedMachine, route: MachineRoute) -> None:
        """Replace a machine's route and replicate it."""
        machine.route = route
        self.state.replication_log.put(route)

    def mark_empty(self, machine: ManagedMachine) -> None:
        """Mark that no tasks of an earlier owner run on a machine."""
        self.set_route(machine, replace(machine.route, occupancy=Occupancy.EMPTY))

    def add(
        self,
        now: float,
        name: str,
        machine_group: MachineGroup,
        shard: int,
        occupancy: int,
        contact: MachineContact | None = None,
    ) -> ManagedMachine:
        """Add a machine, as empty if the inventory has no stored mark that it has been up."""
        state = self.state
        recorded = name in self.inventory.stored_up
        token = self.next_base_token()
        route = MachineRoute(
            name,
            machine_group.type,
            machine_group.zone,
            machine_group.spot,
            shard,
            token,
            occupancy if recorded else Occupancy.EMPTY,
            recorded,
            contact=contact,
        )
        machine = ManagedMachine(
            route, state.types[machine_group.type], now, MachineStatus(name, token)
        )
        state.machines[name] = machine
        state.replication_log.put(route)
        state.last_added_sequence[shard] = state.replication_log.last_sequence
        return machine

    def restore(self, now: float) -> None:
        """Add the inventory's machines, with their shards and contacts from earlier terms."""
        for name, machine_group in self.inventory.machines.items():
            if machine_group.type in self.state.types and name not in self.state.deleted_at:
                previous = self.previous_routes.get(name)
                shard = previous.shard if previous is not None else NO_SHARD
                contact = previous.contact if previous is not None else None
                self.add(now, name, machine_group, shard, Occupancy.ANY_SHARD, contact)

    def mark_recorded(self, now: float, names: set[str]) -> None:
        """Update routes: the inventory has stored that these machines have been up."""
        for name in names:
            machine = self.state.machines.get(name)
            if machine is not None:
                self.set_route(machine, replace(machine.route, recorded=True))

    def record_contact(self, machine: ManagedMachine, address: str, agent_epoch: int) -> None:
        """Record the address and agent epoch of a machine for its next owner."""
        known = machine.route.contact
        if known is None or (known.address, known.agent_epoch) != (address, agent_epoch):
            contact = MachineContact(address, agent_epoch, 0)
            self.set_route(machine, replace(machine.route, contact=contact))

    def reassign(
        self,
        machine: ManagedMachine,
        shard: int,
        occupancy: int,
        status: MachineStatus | None = None,
    ) -> None:
        """Assign a machine to a shard under a higher token.

        `status` is the last status of an owner that has released the machine empty, otherwise None.
        """
        token = self.next_base_token()
        machine.reclaim_for_shard, machine.reclaim_deadline = None, 0.0
        proven_empty = (
            status is not None and occupancy == Occupancy.EMPTY and status.contact is not None
        )
        contact = status.contact if status is not None and proven_empty else machine.route.contact
        machine.status = MachineStatus(
            machine.route.name, token, registered=machine.status.registered
        )
        self.set_route(
            machine,
            replace(
                machine.route,
                shard=shard,
                base_token=token,
                occupancy=occupancy,
                reclaim_requested=False,
                drain=False,
                proven_empty=proven_empty,
                contact=contact,
            ),
        )
        self.state.last_added_sequence[shard] = self.state.replication_log.last_sequence

    def request_reclaim(
        self, now: float, machine: ManagedMachine, shard: int | None, drain: bool = False
    ) -> None:
        """Ask the owner to release a machine for another shard, or for deletion if `shard` is None.

        With `drain`, the owner evicts the machine's tasks. Without it, the owner releases the
        machine only if it is idle.
        """
        if machine.route.shard == NO_SHARD:
            return
        machine.reclaim_for_shard = shard
        machine.reclaim_deadline = now + self.state.heartbeat_interval_s
        self.set_route(machine, replace(machine.route, reclaim_requested=True, drain=drain))

    def mark_deleted(self, now: float, machine: ManagedMachine) -> None:
        """Remove a machine: the cloud has confirmed its deletion, which ends all its tasks."""
        name = machine.route.name
        if self.state.machines.get(name) is not machine:
            return
        del self.state.machines[name]
        self.state.deleted_at[name] = now
        route = replace(machine.route, deleted=True, occupancy=Occupancy.EMPTY)
        self.set_route(machine, route)
        self.inventory.remove(now, name)

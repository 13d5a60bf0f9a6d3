"""The records of machines: entries told to the members, tokens, handovers."""

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

# Handovers left beside one for each machine when a term gives up its authority.
HANDOVERS_KEPT = 1000


class MachineRecords:
    """Adds, changes and removes machines; the only writer of the table of entries.

    Every change of who commands a machine takes a higher token.
    """

    def __init__(self, context: ClusterManagerContext, state: ClusterState) -> None:
        self.state, self.inventory = state, state.inventory
        # What the term before knew of the machines.
        self.previous_routes = context.previous_routes
        self.handover = 0

    def next_base_token(self) -> int:
        """A token higher than all before it in this term."""
        self.handover += 1
        return base_token(self.state.epoch, self.handover)

    def handovers_exhausted(self) -> bool:
        """Whether there are hardly more tokens left than machines to disown."""
        return self.handover >= MAX_HANDOVERS - len(self.state.machines) - HANDOVERS_KEPT

    def update(self, machine: ManagedMachine, **changes: object) -> None:
        """Change fields of a machine's route."""
        machine.route = replace(machine.route, **changes)  # type: ignore[arg-type]
        self.state.replication_log.put(machine.route)

    def add(
        self,
        now: float,
        name: str,
        machine_group: MachineGroup,
        shard: int,
        occupancy: int,
        contact: MachineContact | None = None,
    ) -> ManagedMachine:
        """Take up a machine; one that the fleet's record lacks has never been up."""
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
        """Take up the machines that the fleet's record names, as the term before knew them."""
        for name, machine_group in self.inventory.machines.items():
            if machine_group.type in self.state.types and name not in self.state.deleted_at:
                hint = self.previous_routes.get(name)
                known = hint is not None and not hint.deleted
                shard = hint.shard if hint is not None and known else NO_SHARD
                contact = hint.contact if hint is not None and known else None
                self.add(now, name, machine_group, shard, Occupancy.ANY_SHARD, contact)

    def mark_recorded(self, now: float, names: set[str]) -> None:
        """The fleet's record says of these machines that they have been up."""
        for name in names:
            machine = self.state.machines.get(name)
            if machine is not None:
                self.update(machine, recorded=True)

    def record_contact(self, machine: ManagedMachine, address: str, agent_epoch: int) -> None:
        """Where a machine answers; kept for whoever commands it next."""
        known = machine.route.contact
        if known is None or (known.address, known.agent_epoch) != (address, agent_epoch):
            self.update(machine, contact=MachineContact(address, agent_epoch, 0))

    def reassign(
        self,
        machine: ManagedMachine,
        shard: int,
        occupancy: int,
        status: MachineStatus | None = None,
    ) -> None:
        """Change who commands a machine, under a higher token."""
        token = self.next_base_token()
        machine.reclaim_for_shard, machine.reclaim_deadline = None, 0.0
        proven_empty = (
            status is not None and occupancy == Occupancy.EMPTY and status.contact is not None
        )
        contact = status.contact if status is not None and proven_empty else machine.route.contact
        machine.status = MachineStatus(
            machine.route.name, token, registered=machine.status.registered
        )
        self.update(
            machine,
            shard=shard,
            base_token=token,
            occupancy=occupancy,
            reclaim_requested=False,
            drain=False,
            proven_empty=proven_empty,
            contact=contact,
        )
        self.state.last_added_sequence[shard] = self.state.replication_log.last_sequence

    def request_reclaim(
        self, now: float, machine: ManagedMachine, shard: int | None, drain: bool = False
    ) -> None:
        """Ask a machine's owner to give it back: for another shard, or to be returned."""
        if machine.route.shard == NO_SHARD:
            return
        machine.reclaim_for_shard, machine.reclaim_deadline = (
            shard,
            now + self.state.heartbeat_interval_s,
        )
        self.update(machine, reclaim_requested=True, drain=drain)

    def mark_deleted(self, now: float, machine: ManagedMachine) -> None:
        """The cloud has confirmed: the machine and all on it are gone."""
        name = machine.route.name
        if self.state.machines.get(name) is not machine:
            return
        del self.state.machines[name]
        self.state.deleted_at[name] = now
        self.update(machine, deleted=True, occupancy=Occupancy.EMPTY)
        self.inventory.remove(now, name)

"""The records of machines: entries told to the members, tokens, handovers."""

from __future__ import annotations

from dataclasses import replace

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.state import ManagedMachine, ManagerContext, ManagerState
from copperpass.core.shards.routing import MOST_HANDOVERS, base_token
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

    def __init__(self, context: ManagerContext, state: ManagerState) -> None:
        self.state, self.inventory = state, state.inventory
        # What the term before knew of the machines.
        self.hints = context.hints
        self.handover = 0

    def next_base(self) -> int:
        """A token higher than all before it in this term."""
        self.handover += 1
        return base_token(self.state.epoch, self.handover)

    def used_up(self) -> bool:
        """Whether there are hardly more tokens left than machines to disown."""
        return self.handover >= MOST_HANDOVERS - len(self.state.machines) - HANDOVERS_KEPT

    def update(self, machine: ManagedMachine, **changes: object) -> None:
        """Change fields of a machine's entry."""
        machine.entry = replace(machine.entry, **changes)  # type: ignore[arg-type]
        self.state.table.put(machine.entry)

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
        token = self.next_base()
        entry = MachineRoute(
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
            entry, state.types[machine_group.type], now, MachineStatus(name, token)
        )
        state.machines[name] = machine
        state.table.put(entry)
        state.added[shard] = state.table.sequence
        return machine

    def restore(self, now: float) -> None:
        """Take up the machines that the fleet's record names, as the term before knew them."""
        for name, machine_group in self.inventory.machines.items():
            if machine_group.type in self.state.types and name not in self.state.gone:
                hint = self.hints.get(name)
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

    def learn_contact(self, machine: ManagedMachine, address: str, agent_epoch: int) -> None:
        """Where a machine answers; kept for whoever commands it next."""
        known = machine.entry.contact
        if known is None or (known.address, known.agent_epoch) != (address, agent_epoch):
            self.update(machine, contact=MachineContact(address, agent_epoch, 0))

    def rebase(
        self,
        machine: ManagedMachine,
        shard: int,
        occupancy: int,
        status: MachineStatus | None = None,
    ) -> None:
        """Change who commands a machine, under a higher token."""
        token = self.next_base()
        machine.back_for, machine.back_until = None, 0.0
        proven_empty = (
            status is not None and occupancy == Occupancy.EMPTY and status.contact is not None
        )
        contact = status.contact if status is not None and proven_empty else machine.entry.contact
        machine.status = MachineStatus(
            machine.entry.name, token, registered=machine.status.registered
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
        self.state.added[shard] = self.state.table.sequence

    def ask_back(
        self, now: float, machine: ManagedMachine, shard: int | None, drain: bool = False
    ) -> None:
        """Ask a machine's owner to give it back: for another shard, or to be returned."""
        if machine.entry.shard == NO_SHARD:
            return
        machine.back_for, machine.back_until = shard, now + self.state.report_s
        self.update(machine, reclaim_requested=True, drain=drain)

    def mark_gone(self, now: float, machine: ManagedMachine) -> None:
        """The cloud has confirmed: the machine and all on it are gone."""
        name = machine.entry.name
        if self.state.machines.get(name) is not machine:
            return
        del self.state.machines[name]
        self.state.gone[name] = now
        self.update(machine, deleted=True, occupancy=Occupancy.EMPTY)
        self.inventory.remove(now, name)

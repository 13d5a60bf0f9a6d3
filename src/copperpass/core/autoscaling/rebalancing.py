"""Which machines a shard can do without, and which shard is covered least."""

from __future__ import annotations

from copperpass.core.autoscaling import provisioning
from copperpass.core.autoscaling.demand import DemandTracker
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import ManagedMachine, ManagerState


class Rebalancer:
    """Moves machines between shards, and returns them, without leaving a shard short.

    Holds, from one plan to the next, the ordinary CPUs of each shard that aren't asked back.
    """

    def __init__(
        self, state: ManagerState, records: MachineRecords, tracker: DemandTracker
    ) -> None:
        self.state, self.records, self.tracker = state, records, tracker
        self.ordinary_cpus: dict[int, float] = {}

    def recount(self, serving: list[ManagedMachine]) -> None:
        """Sum up the ordinary room of each shard anew."""
        shards = self.state.shards
        self.ordinary_cpus = dict.fromkeys(shards, 0.0)
        for machine in serving:
            entry = machine.entry
            if not entry.spot and not entry.back and entry.shard in shards:
                self.ordinary_cpus[entry.shard] += machine.type.cpus

    def may_leave(self, machine: ManagedMachine) -> bool:
        """Whether a machine's shard keeps enough ordinary room for its urgent work without it."""
        number = machine.entry.shard
        if machine.entry.spot or number not in self.state.shards:
            return True
        need = self.tracker.on_demand_peaks[number].value()
        return need <= 0 or self.ordinary_cpus.get(number, 0.0) - machine.type.cpus >= need

    def let_go(self, now: float, machine: ManagedMachine, shard: int | None) -> None:
        """Ask a machine back, for another shard or to be returned, and count it out."""
        number = machine.entry.shard
        if not machine.entry.spot and number in self.ordinary_cpus:
            self.ordinary_cpus[number] -= machine.type.cpus
        self.records.ask_back(now, machine, shard)

    def cover(self, serving: list[ManagedMachine]) -> provisioning.CoverageRatio:
        """How far each shard's machines, with those on their way, cover its urgent peak."""
        state = self.state
        have = dict.fromkeys(state.shards, 0.0)
        for machine in serving:
            number = machine.entry.shard
            if machine.entry.back and machine.back_for is not None:
                number = machine.back_for
            if number in have:
                have[number] += machine.type.cpus
        for place, count, number in state.pending_requests.values():
            have[number] += state.types[place.type].cpus * count
        need = {number: peak.value() for number, peak in self.tracker.peaks.items()}
        return provisioning.CoverageRatio(have, need)

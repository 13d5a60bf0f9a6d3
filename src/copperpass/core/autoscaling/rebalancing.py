"""Which machines a shard can do without, and which shard is covered least."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.autoscaling.demand import DemandTracker
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import ManagedMachine, ManagerState


@dataclass(slots=True)
class CoverageRatio:
    """How far the CPUs that shards have cover what they need at their peaks."""

    have: dict[int, float]
    need: dict[int, float]

    def of(self, number: int, more: float = 0.0) -> float:
        """A shard's cover with some CPUs more."""
        return (self.have[number] + more) / max(self.need[number], 1e-3)

    def least(self) -> int:
        """The shard that is covered least."""
        return min(self.have, key=lambda n: (self.of(n), n))

    def can_donate(self, donor: int, recipient: int, cpus: float) -> bool:
        """Whether the lender stays covered at least as far as the borrower was."""
        return self.of(donor, -cpus) >= self.of(recipient)

    def move(self, donor: int, recipient: int, cpus: float) -> None:
        """Note that CPUs pass from one to the other."""
        self.have[donor] -= cpus
        self.have[recipient] += cpus


class Rebalancer:
    """Moves machines between shards, and returns them, without leaving a shard short.

    Holds, from one plan to the next, the ordinary CPUs of each shard that aren't asked back.
    """

    def __init__(
        self, state: ManagerState, records: MachineRecords, tracker: DemandTracker
    ) -> None:
        self.state, self.records, self.tracker = state, records, tracker
        self.on_demand_cpus: dict[int, float] = {}

    def recount(self, serving: list[ManagedMachine]) -> None:
        """Sum up the ordinary room of each shard anew."""
        shards = self.state.shards
        self.on_demand_cpus = dict.fromkeys(shards, 0.0)
        for machine in serving:
            entry = machine.entry
            if not entry.spot and not entry.back and entry.shard in shards:
                self.on_demand_cpus[entry.shard] += machine.type.cpus

    def can_release(self, machine: ManagedMachine) -> bool:
        """Whether a machine's shard keeps enough ordinary room for its urgent work without it."""
        number = machine.entry.shard
        if machine.entry.spot or number not in self.state.shards:
            return True
        need = self.tracker.on_demand_peaks[number].value()
        return need <= 0 or self.on_demand_cpus.get(number, 0.0) - machine.type.cpus >= need

    def request_release(self, now: float, machine: ManagedMachine, shard: int | None) -> None:
        """Ask a machine back, for another shard or to be returned, and count it out."""
        number = machine.entry.shard
        if not machine.entry.spot and number in self.on_demand_cpus:
            self.on_demand_cpus[number] -= machine.type.cpus
        self.records.ask_back(now, machine, shard)

    def coverage(self, serving: list[ManagedMachine]) -> CoverageRatio:
        """How far each shard's machines, with those on their way, cover its urgent peak."""
        state = self.state
        have = dict.fromkeys(state.shards, 0.0)
        for machine in serving:
            number = machine.entry.shard
            if machine.entry.back and machine.back_for is not None:
                number = machine.back_for
            if number in have:
                have[number] += machine.type.cpus
        for machine_group, count, number in state.pending_requests.values():
            have[number] += state.types[machine_group.type].cpus * count
        need = {
            number: urgent_peak.value() for number, urgent_peak in self.tracker.shard_peaks.items()
        }
        return CoverageRatio(have, need)

"""Rebalancing: which machines can be reclaimed, and which shard has the least coverage."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.autoscaling.demand import DemandTracker
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import ClusterState, ManagedMachine

# Keeps the ratio of a shard without any demand finite.
MIN_PEAK_CPUS = 1e-3


@dataclass(slots=True)
class CoverageRatio:
    """How far each shard's CPUs cover its peak demand; below 1 they don't."""

    cpus: dict[int, float]
    peak_cpus: dict[int, float]

    def of(self, shard: int, extra_cpus: float = 0.0) -> float:
        """A shard's ratio, as if it had some more CPUs."""
        return (self.cpus[shard] + extra_cpus) / max(self.peak_cpus[shard], MIN_PEAK_CPUS)

    def least_covered(self) -> int:
        """The shard with the lowest ratio; of equals the one with the lowest number."""
        return min(self.cpus, key=lambda shard: (self.of(shard), shard))

    def can_donate(self, donor: int, recipient: int, cpus: float) -> bool:
        """Whether the donor keeps at least the ratio that the recipient has now."""
        return self.of(donor, -cpus) >= self.of(recipient)

    def move(self, donor: int, recipient: int, cpus: float) -> None:
        """Count CPUs for the recipient in place of the donor."""
        self.cpus[donor] -= cpus
        self.cpus[recipient] += cpus


class Rebalancer:
    """Reclaims machines from shards, for another shard or for scale-in, without a shortage.

    Owns `on_demand_cpus`: from one plan to the next, the on-demand CPUs of each shard that it
    hasn't reclaimed.
    """

    def __init__(
        self, state: ClusterState, records: MachineRecords, tracker: DemandTracker
    ) -> None:
        self.state, self.records, self.tracker = state, records, tracker
        self.on_demand_cpus: dict[int, float] = {}

    def recount(self, serving: list[ManagedMachine]) -> None:
        """Recompute each shard's on-demand CPUs."""
        shards = self.state.shards
        self.on_demand_cpus = dict.fromkeys(shards, 0.0)
        for machine in serving:
            route = machine.route
            if not route.spot and not route.reclaim_requested and route.shard in shards:
                self.on_demand_cpus[route.shard] += machine.type.cpus

    def can_reclaim(self, machine: ManagedMachine) -> bool:
        """Whether its shard keeps enough on-demand CPUs for its urgent work without a machine."""
        shard = machine.route.shard
        if machine.route.spot or shard not in self.state.shards:
            return True
        needed_cpus = self.tracker.on_demand_peaks[shard].value()
        if needed_cpus <= 0:
            return True
        return self.on_demand_cpus.get(shard, 0.0) - machine.type.cpus >= needed_cpus

    def request_reclaim(self, now: float, machine: ManagedMachine, recipient: int | None) -> None:
        """Reclaim a machine from its owner: for a recipient, or None for scale-in."""
        shard = machine.route.shard
        if not machine.route.spot and shard in self.on_demand_cpus:
            self.on_demand_cpus[shard] -= machine.type.cpus
        self.records.request_reclaim(now, machine, recipient)

    def coverage(self, serving: list[ManagedMachine]) -> CoverageRatio:
        """The coverage by what serves a shard, is reclaimed for it or is requested for it."""
        state = self.state
        cpus = dict.fromkeys(state.shards, 0.0)
        for machine in serving:
            shard = machine.route.shard
            if machine.route.reclaim_requested and machine.reclaim_for_shard is not None:
                shard = machine.reclaim_for_shard
            if shard in cpus:
                cpus[shard] += machine.type.cpus
        for request in state.pending_requests.values():
            cpus[request.shard] += state.types[request.machine_group.type].cpus * request.machines
        peak_cpus = {shard: peak.value() for shard, peak in self.tracker.shard_peaks.items()}
        return CoverageRatio(cpus, peak_cpus)

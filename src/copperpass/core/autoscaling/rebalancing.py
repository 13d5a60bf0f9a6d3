"""Finds machines that can be reclaimed and the shard whose peak demand is covered least."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.autoscaling.demand import DemandTracker
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import ClusterState, ManagedMachine

# Lower bound of a peak, so that the coverage of a shard without demand stays finite.
MIN_PEAK_CPUS = 1e-3


@dataclass(slots=True)
class ShardCoverage:
    """The ratio of each shard's CPUs to its peak demand; below 1 the peak is not covered."""

    cpus: dict[int, float]
    peak_cpus: dict[int, float]

    def ratio(self, shard: int, extra_cpus: float = 0.0) -> float:
        """Return a shard's ratio as if it had `extra_cpus` more; negative for fewer."""
        return (self.cpus[shard] + extra_cpus) / max(self.peak_cpus[shard], MIN_PEAK_CPUS)

    def least_covered(self) -> int:
        """Return the shard with the lowest ratio; on ties, the one with the lowest number."""
        return min(self.cpus, key=lambda shard: (self.ratio(shard), shard))

    def can_donate(self, donor: int, recipient: int, cpus: float) -> bool:
        """Whether the donor, without these CPUs, keeps at least the recipient's present ratio."""
        return self.ratio(donor, -cpus) >= self.ratio(recipient)

    def move(self, donor: int, recipient: int, cpus: float) -> None:
        """Count CPUs as the recipient's instead of the donor's."""
        self.cpus[donor] -= cpus
        self.cpus[recipient] += cpus


class Rebalancer:
    """Reclaims machines for other shards or for scale-in, without causing a shortage.

    `on_demand_cpus` holds each shard's on-demand CPUs that have not been reclaimed. It is computed
    at the start of each plan and decreases with each reclaimed machine until the next plan.
    """

    def __init__(
        self, state: ClusterState, records: MachineRecords, tracker: DemandTracker
    ) -> None:
        self.state, self.records, self.tracker = state, records, tracker
        self.on_demand_cpus: dict[int, float] = {}

    def update_on_demand_cpus(self, active_machines: list[ManagedMachine]) -> None:
        """Recompute each shard's on-demand CPUs that have not been reclaimed."""
        shards = self.state.shards
        self.on_demand_cpus = dict.fromkeys(shards, 0.0)
        for machine in active_machines:
            route = machine.route
            if not route.spot and not route.reclaim_requested and route.shard in shards:
                self.on_demand_cpus[route.shard] += machine.type.cpus

    def can_reclaim(self, machine: ManagedMachine) -> bool:
        """Whether the shard keeps enough on-demand CPUs for its urgent work without the machine.

        Always true for spot machines.
        """
        shard = machine.route.shard
        if machine.route.spot or shard not in self.state.shards:
            return True
        needed_cpus = self.tracker.on_demand_peaks[shard].value()
        if needed_cpus <= 0:
            return True
        return self.on_demand_cpus.get(shard, 0.0) - machine.type.cpus >= needed_cpus

    def request_reclaim(self, now: float, machine: ManagedMachine, recipient: int | None) -> None:
        """Ask the owner to release a machine: for a recipient shard, or None for scale-in."""
        shard = machine.route.shard
        if not machine.route.spot and shard in self.on_demand_cpus:
            self.on_demand_cpus[shard] -= machine.type.cpus
        self.records.request_reclaim(now, machine, recipient)

    def coverage(self, active_machines: list[ManagedMachine]) -> ShardCoverage:
        """Compute coverage from active machines, those being reclaimed and pending requests.

        A machine that is being reclaimed for another shard counts for that shard.
        """
        state = self.state
        cpus = dict.fromkeys(state.shards, 0.0)
        for machine in active_machines:
            shard = machine.route.shard
            if machine.route.reclaim_requested and machine.reclaim_for_shard is not None:
                shard = machine.reclaim_for_shard
            if shard in cpus:
                cpus[shard] += machine.type.cpus
        for request in state.pending_requests.values():
            cpus[request.shard] += state.types[request.machine_group.type].cpus * request.machines
        peak_cpus = {shard: peak.value() for shard, peak in self.tracker.shard_peaks.items()}
        return ShardCoverage(cpus, peak_cpus)

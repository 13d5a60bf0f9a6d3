"""Maintains warm capacity: provisions it ahead of demand and scales in idle machines beyond it."""

from __future__ import annotations

from collections.abc import Iterator

from copperpass.core.autoscaling.demand import DemandTracker, WarmTargets
from copperpass.core.autoscaling.group_selection import (
    GroupQuery,
    PurchaseOption,
    choose_machine_group,
)
from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.rebalancing import Rebalancer
from copperpass.core.autoscaling.scale_out_plan import ScaleOutPlan
from copperpass.core.autoscaling.state import ClusterManagerContext, ClusterState, ManagedMachine
from copperpass.core.scheduling.prices import hourly_price


class WarmCapacity:
    """Keeps capacity for future urgent work: provisions, rebalances and scales in machines.

    `deferrable_cpus_in_use` are the CPUs in use by deferrable work, which do not count as warm.
    """

    def __init__(
        self,
        context: ClusterManagerContext,
        state: ClusterState,
        tracker: DemandTracker,
        rebalancer: Rebalancer,
    ) -> None:
        self.state, self.tracker, self.rebalancer = state, tracker, rebalancer
        self.inventory, self.tuning = state.inventory, context.tuning

    def provision(
        self,
        now: float,
        targets: WarmTargets,
        active_machines: list[ManagedMachine],
        deferrable_cpus_in_use: float,
        plan: ScaleOutPlan,
    ) -> None:
        """Plan machines up to the targets, each for the shard that is then least covered."""
        types = self.state.types
        warm_cpus = self._warm_cpus(active_machines, deferrable_cpus_in_use, plan)
        reserved_types = self.tracker.reserved_type_names()
        coverage = self.rebalancer.coverage(active_machines)
        for target, purchase_option in (
            (targets.total_cpus, PurchaseOption.ANY),
            (targets.spot_cpus, PurchaseOption.SPOT),
        ):
            while warm_cpus < target and not self._is_full(plan):
                query = GroupQuery(
                    purchase_option=purchase_option,
                    excluded_types=reserved_types,
                    machines_by_zone=plan.machines_by_zone,
                )
                machine_group = choose_machine_group(types, self.state.backoff, now, query)
                if machine_group is None:
                    break
                cpus = types[machine_group.type].cpus
                shard = coverage.least_covered()
                warm_cpus += cpus
                coverage.cpus[shard] += cpus
                plan.add(machine_group, shard)
        for shard in self.state.shards:
            self._provision_on_demand(now, shard, active_machines, reserved_types, plan)

    def _warm_cpus(
        self,
        active_machines: list[ManagedMachine],
        deferrable_cpus_in_use: float,
        plan: ScaleOutPlan,
    ) -> float:
        """Return the CPUs that count as warm, including requested and planned machines."""
        types = self.state.types
        warm_cpus = sum(machine.type.cpus for machine in active_machines) - deferrable_cpus_in_use
        warm_cpus += sum(
            types[request.machine_group.type].cpus * request.machines
            for request in self.state.pending_requests.values()
        )
        warm_cpus += sum(
            types[destination.machine_group.type].cpus * count
            for destination, count in plan.counts.items()
        )
        return warm_cpus

    def _is_full(self, plan: ScaleOutPlan) -> bool:
        """Whether the plan or the inventory can hold no more machines."""
        return plan.full or self.inventory.is_full()

    def _provision_on_demand(
        self,
        now: float,
        shard: int,
        active_machines: list[ManagedMachine],
        excluded_types: set[str],
        plan: ScaleOutPlan,
    ) -> None:
        """Plan on-demand machines for a shard's urgent work that may not run on spot machines.

        The zone with the most on-demand CPUs is preferred, since a gang needs its capacity in one
        zone. Other zones are used when the cloud has no more capacity there.
        """
        types = self.state.types
        needed_cpus = self.tracker.on_demand_peaks[shard].value()
        cpus_by_zone = self._on_demand_cpus_by_zone(shard, active_machines, plan)
        while sum(cpus_by_zone.values()) < needed_cpus and not self._is_full(plan):
            preferred_zone = max(
                sorted(cpus_by_zone), key=lambda zone: cpus_by_zone[zone], default=None
            )
            machine_group = self._choose_on_demand(now, excluded_types, preferred_zone)
            if machine_group is None and preferred_zone is not None:
                machine_group = self._choose_on_demand(now, excluded_types, None)
            if machine_group is None:
                break
            zone, cpus = machine_group.zone, types[machine_group.type].cpus
            cpus_by_zone[zone] = cpus_by_zone.get(zone, 0.0) + cpus
            plan.add(machine_group, shard)

    def _on_demand_cpus_by_zone(
        self, shard: int, active_machines: list[ManagedMachine], plan: ScaleOutPlan
    ) -> dict[str, float]:
        """Return, by zone, the on-demand CPUs that a shard has or will have."""
        cpus_by_zone: dict[str, float] = {}
        for machine in active_machines:
            if machine.route.shard == shard and not machine.route.spot:
                zone = machine.route.zone
                cpus_by_zone[zone] = cpus_by_zone.get(zone, 0.0) + machine.type.cpus
        for machine_group, count in self._incoming(shard, plan):
            if not machine_group.spot:
                zone, cpus = machine_group.zone, self.state.types[machine_group.type].cpus * count
                cpus_by_zone[zone] = cpus_by_zone.get(zone, 0.0) + cpus
        return cpus_by_zone

    def _incoming(self, shard: int, plan: ScaleOutPlan) -> Iterator[tuple[MachineGroup, int]]:
        """Yield the group and count of machines that are requested or planned for a shard."""
        for request in self.state.pending_requests.values():
            if request.shard == shard:
                yield request.machine_group, request.machines
        for destination, count in plan.counts.items():
            if destination.shard == shard:
                yield destination.machine_group, count

    def _choose_on_demand(
        self, now: float, excluded_types: set[str], zone: str | None
    ) -> MachineGroup | None:
        """Choose the cheapest on-demand group in a zone, or in any zone for None."""
        query = GroupQuery(
            purchase_option=PurchaseOption.ON_DEMAND, excluded_types=excluded_types, zone=zone
        )
        return choose_machine_group(self.state.types, self.state.backoff, now, query)

    def rebalance(self, now: float, active_machines: list[ManagedMachine]) -> None:
        """Move idle machines to the least covered shard, before it requests them.

        Ends when every shard's peak is covered.
        """
        if len(self.state.shards) == 1:
            return
        coverage = self.rebalancer.coverage(active_machines)
        reserved_types = self.tracker.reserved_type_names()
        for machine in active_machines:
            recipient, donor = coverage.least_covered(), machine.route.shard
            if coverage.ratio(recipient) >= 1.0:
                break
            if not machine.reclaimable or machine.route.reclaim_requested:
                continue
            if donor not in coverage.cpus or donor == recipient:
                continue
            if machine.type.name in reserved_types or not self.rebalancer.can_reclaim(machine):
                continue
            if coverage.can_donate(donor, recipient, machine.type.cpus):
                coverage.move(donor, recipient, machine.type.cpus)
                self.rebalancer.request_reclaim(now, machine, recipient)

    def scale_in(self, now: float, targets: WarmTargets, deferrable_cpus_in_use: float) -> None:
        """Reclaim idle machines beyond the targets, those with the highest price per CPU first."""
        active_machines = self.state.active_machines()
        warm_cpus = sum(machine.type.cpus for machine in active_machines) - deferrable_cpus_in_use
        min_idle_s = self.tuning.idle_boots * self.state.boot_s
        idle = [
            machine
            for machine in active_machines
            if machine.reclaimable
            and not machine.route.reclaim_requested
            and now - max(machine.idle_since, machine.registered_at) >= min_idle_s
        ]
        idle.sort(
            key=lambda machine: -hourly_price(machine.type, machine.route.spot) / machine.type.cpus
        )
        for machine in idle:
            target = targets.spot_cpus if machine.route.spot else targets.total_cpus
            if warm_cpus - machine.type.cpus >= target and self.rebalancer.can_reclaim(machine):
                warm_cpus -= machine.type.cpus
                self.rebalancer.request_reclaim(now, machine, None)

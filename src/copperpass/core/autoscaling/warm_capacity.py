"""Room kept up before it is asked for, and the return of what idles beyond it."""

from __future__ import annotations

from collections.abc import Iterator

from copperpass.core.autoscaling.demand import DemandTracker, WarmTargets
from copperpass.core.autoscaling.group_selection import choose_machine_group
from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.rebalancing import Rebalancer
from copperpass.core.autoscaling.scale_out_plan import ScaleOutPlan
from copperpass.core.autoscaling.state import ManagedMachine, ManagerContext, ManagerState
from copperpass.core.scheduling.prices import hourly_price


class WarmCapacity:
    """Keeps room for urgent work that may come: rents it, spreads it over shards, returns the rest.

    `taken` is everywhere the CPUs in use by work that can wait: they don't count as room.
    """

    def __init__(
        self,
        context: ManagerContext,
        state: ManagerState,
        tracker: DemandTracker,
        rebalancer: Rebalancer,
    ) -> None:
        self.state, self.tracker, self.rebalancer = state, tracker, rebalancer
        self.fleet_store, self.tuning = state.fleet_store, context.tuning

    def keep(
        self,
        now: float,
        warm: WarmTargets,
        serving: list[ManagedMachine],
        taken: float,
        plan: ScaleOutPlan,
    ) -> None:
        """Plan machines until there is the warm room, for the shards that are covered least."""
        types, backoff = self.state.types, self.state.backoff
        total = sum(machine.type.cpus for machine in serving) - taken
        total += sum(
            types[p.type].cpus * count for p, count, _ in self.state.pending_requests.values()
        )
        total += sum(types[d.machine_group.type].cpus * count for d, count in plan.counts.items())
        reserved_types = self.tracker.reserved_type_names()
        coverage = self.rebalancer.coverage(serving)
        for cpus, spot_only in ((warm.total_cpus, False), (warm.spot_cpus, True)):
            while total < cpus and not plan.full and not self.fleet_store.full():
                machine_group = choose_machine_group(
                    None, 1, types, plan.zones, backoff, now, spot_only, reserved_types
                )
                if machine_group is None:
                    break
                total += types[machine_group.type].cpus
                number = coverage.least()
                coverage.have[number] += types[machine_group.type].cpus
                plan.add(machine_group, number)
        for number in self.state.shards:
            self._keep_on_demand(now, number, serving, reserved_types, plan)

    def _keep_on_demand(
        self,
        now: float,
        number: int,
        serving: list[ManagedMachine],
        excluded_types: set[str],
        plan: ScaleOutPlan,
    ) -> None:
        """Plan ordinary room for a shard's urgent work that may use no other.

        In the zone that has most of it, since a gang needs room in one zone; elsewhere when that
        zone has no more.
        """
        need = self.tracker.on_demand_peaks[number].value()
        zones = self._on_demand_by_zone(number, serving, plan)
        while sum(zones.values()) < need and not plan.full and not self.fleet_store.full():
            most = max(sorted(zones), key=lambda zone: zones[zone], default=None)
            found: MachineGroup | None = None
            for within in dict.fromkeys((most, None)):
                found = found or self._choose_on_demand_group(now, excluded_types, within)
            if found is None:
                break
            zones[found.zone] = zones.get(found.zone, 0.0) + self.state.types[found.type].cpus
            plan.add(found, number)

    def _on_demand_by_zone(
        self, number: int, serving: list[ManagedMachine], plan: ScaleOutPlan
    ) -> dict[str, float]:
        """The ordinary CPUs that a shard has or will have, by zone."""
        zones: dict[str, float] = {}
        for machine in serving:
            if machine.entry.shard == number and not machine.entry.spot:
                zone = machine.entry.zone
                zones[zone] = zones.get(zone, 0.0) + machine.type.cpus
        for machine_group, count in self._coming(number, plan):
            if not machine_group.spot:
                cpus = self.state.types[machine_group.type].cpus * count
                zones[machine_group.zone] = zones.get(machine_group.zone, 0.0) + cpus
        return zones

    def _coming(self, number: int, plan: ScaleOutPlan) -> Iterator[tuple[MachineGroup, int]]:
        """The machines booked or planned for a shard."""
        for instance_request in self.state.pending_requests.values():
            if instance_request.shard == number:
                yield instance_request.machine_group, instance_request.machines
        for destination, count in plan.counts.items():
            if destination.shard == number:
                yield destination.machine_group, count

    def _choose_on_demand_group(
        self, now: float, excluded_types: set[str], within: str | None
    ) -> MachineGroup | None:
        """The cheapest place for an ordinary machine, in one zone or in any."""
        state = self.state
        return choose_machine_group(
            None,
            1,
            state.types,
            {},
            state.backoff,
            now,
            False,
            excluded_types,
            within,
            on_demand_only=True,
        )

    def balance(self, now: float, serving: list[ManagedMachine]) -> None:
        """Move idle machines to the shard whose peak is covered least, before it asks."""
        if len(self.state.shards) == 1:
            return
        coverage = self.rebalancer.coverage(serving)
        reserved_types = self.tracker.reserved_type_names()
        for machine in serving:
            short, own = coverage.least(), machine.entry.shard
            if coverage.of(short) >= 1.0:
                break
            if (
                not machine.releasable
                or machine.entry.back
                or own not in coverage.have
                or own == short
            ):
                continue
            if machine.type.name in reserved_types or not self.rebalancer.can_release(machine):
                continue
            if coverage.can_donate(own, short, machine.type.cpus):
                coverage.move(own, short, machine.type.cpus)
                self.rebalancer.request_release(now, machine, short)

    def return_idle(self, now: float, warm: WarmTargets, taken: float) -> None:
        """Ask back the dearest idle machines beyond the warm room."""
        serving = self.state.serving()
        total = sum(machine.type.cpus for machine in serving) - taken
        idle_s = self.tuning.idle_boots * self.state.boot_s
        idle = [
            machine
            for machine in serving
            if machine.releasable
            and not machine.entry.back
            and now - max(machine.idle_since, machine.up_at) >= idle_s
        ]
        idle.sort(key=lambda m: -hourly_price(m.type, m.entry.spot) / m.type.cpus)
        for machine in idle:
            kept = warm.spot_cpus if machine.entry.spot else warm.total_cpus
            if total - machine.type.cpus >= kept and self.rebalancer.can_release(machine):
                total -= machine.type.cpus
                self.rebalancer.request_release(now, machine, None)

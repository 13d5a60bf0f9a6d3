"""Room kept up before it is asked for, and the return of what idles beyond it."""

from __future__ import annotations

from collections.abc import Iterator

from copperpass.core.autoscaling import provisioning
from copperpass.core.autoscaling.demand import DemandTracker
from copperpass.core.autoscaling.provisioning import MachineGroup
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
        warm: provisioning.WarmTargets,
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
        total += sum(types[d.place.type].cpus * count for d, count in plan.counts.items())
        reserved_types = self.tracker.reserved_type_names()
        cover = self.rebalancer.cover(serving)
        for cpus, spot_only in ((warm.any, False), (warm.cheap, True)):
            while total < cpus and not plan.full and not self.fleet_store.full():
                place = provisioning.choose_machine_group(
                    None, 1, types, plan.zones, backoff, now, spot_only, reserved_types
                )
                if place is None:
                    break
                total += types[place.type].cpus
                number = cover.least()
                cover.have[number] += types[place.type].cpus
                plan.add(place, number)
        for number in self.state.shards:
            self._keep_ordinary(now, number, serving, reserved_types, plan)

    def _keep_ordinary(
        self,
        now: float,
        number: int,
        serving: list[ManagedMachine],
        closed: set[str],
        plan: ScaleOutPlan,
    ) -> None:
        """Plan ordinary room for a shard's urgent work that may use no other.

        In the zone that has most of it, since a gang needs room in one zone; elsewhere when that
        zone has no more.
        """
        need = self.tracker.on_demand_peaks[number].value()
        zones = self._ordinary_by_zone(number, serving, plan)
        while sum(zones.values()) < need and not plan.full and not self.fleet_store.full():
            most = max(sorted(zones), key=lambda zone: zones[zone], default=None)
            found: MachineGroup | None = None
            for within in dict.fromkeys((most, None)):
                found = found or self._ordinary_place(now, closed, within)
            if found is None:
                break
            zones[found.zone] = zones.get(found.zone, 0.0) + self.state.types[found.type].cpus
            plan.add(found, number)

    def _ordinary_by_zone(
        self, number: int, serving: list[ManagedMachine], plan: ScaleOutPlan
    ) -> dict[str, float]:
        """The ordinary CPUs that a shard has or will have, by zone."""
        zones: dict[str, float] = {}
        for machine in serving:
            if machine.entry.shard == number and not machine.entry.spot:
                zone = machine.entry.zone
                zones[zone] = zones.get(zone, 0.0) + machine.type.cpus
        for place, count in self._coming(number, plan):
            if not place.spot:
                cpus = self.state.types[place.type].cpus * count
                zones[place.zone] = zones.get(place.zone, 0.0) + cpus
        return zones

    def _coming(self, number: int, plan: ScaleOutPlan) -> Iterator[tuple[MachineGroup, int]]:
        """The machines booked or planned for a shard."""
        for booking in self.state.pending_requests.values():
            if booking.shard == number:
                yield booking.place, booking.machines
        for destination, count in plan.counts.items():
            if destination.shard == number:
                yield destination.place, count

    def _ordinary_place(
        self, now: float, closed: set[str], within: str | None
    ) -> MachineGroup | None:
        """The cheapest place for an ordinary machine, in one zone or in any."""
        state = self.state
        return provisioning.choose_machine_group(
            None, 1, state.types, {}, state.backoff, now, False, closed, within, on_demand_only=True
        )

    def balance(self, now: float, serving: list[ManagedMachine]) -> None:
        """Move idle machines to the shard whose peak is covered least, before it asks."""
        if len(self.state.shards) == 1:
            return
        cover = self.rebalancer.cover(serving)
        reserved_types = self.tracker.reserved_type_names()
        for machine in serving:
            short, own = cover.least(), machine.entry.shard
            if cover.of(short) >= 1.0:
                break
            if not machine.spare or machine.entry.back or own not in cover.have or own == short:
                continue
            if machine.type.name in reserved_types or not self.rebalancer.may_leave(machine):
                continue
            if cover.may_donate(own, short, machine.type.cpus):
                cover.move(own, short, machine.type.cpus)
                self.rebalancer.let_go(now, machine, short)

    def return_idle(self, now: float, warm: provisioning.WarmTargets, taken: float) -> None:
        """Ask back the dearest idle machines beyond the warm room."""
        serving = self.state.serving()
        total = sum(machine.type.cpus for machine in serving) - taken
        idle_s = self.tuning.idle_boots * self.state.boot_s
        idle = [
            machine
            for machine in serving
            if machine.spare
            and not machine.entry.back
            and now - max(machine.idle_since, machine.up_at) >= idle_s
        ]
        idle.sort(key=lambda m: -hourly_price(m.type, m.entry.spot) / m.type.cpus)
        for machine in idle:
            kept = warm.cheap if machine.entry.spot else warm.any
            if total - machine.type.cpus >= kept and self.rebalancer.may_leave(machine):
                total -= machine.type.cpus
                self.rebalancer.let_go(now, machine, None)

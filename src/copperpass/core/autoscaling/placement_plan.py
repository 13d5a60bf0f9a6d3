"""Finds capacity for what owners have none for: idle machines of others first, then new ones."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.autoscaling.bin_packing import pack_tasks, with_zone_affinity
from copperpass.core.autoscaling.demand import DemandTracker
from copperpass.core.autoscaling.free_capacity import (
    FreeCapacity,
    empty_machine_capacity,
    remaining_capacity,
)
from copperpass.core.autoscaling.group_selection import choose_machine_group
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.rebalancing import CoverageRatio, Rebalancer
from copperpass.core.autoscaling.scale_out_plan import ScaleOutPlan
from copperpass.core.autoscaling.state import (
    CapacityRequest,
    ManagedMachine,
    ManagerContext,
    ManagerState,
    Shard,
)
from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.prices import hourly_price
from copperpass.protocol.frames.messages import NO_SHARD
from copperpass.protocol.users import JobSpec

# Requests older than this many reports' time are no longer true.
REQUEST_REPORTS = 2


@dataclass(slots=True)
class ShardOffer:
    """What there is for one shard while its requests are served; each request takes its part."""

    shard: Shard
    serving: list[ManagedMachine]
    # Machines on their way to the shard.
    capacities: list[FreeCapacity]
    # Idle machines of other shards, the cheapest first.
    releasable: list[ManagedMachine]
    coverage: CoverageRatio
    # About what the shard's own machines have left; None until a gang asks.
    own_free_capacity: list[FreeCapacity] | None = None

    def own(self) -> list[FreeCapacity]:
        """The capacity that is left on the shard's own machines."""
        if self.own_free_capacity is None:
            self.own_free_capacity = [
                remaining_capacity(machine.type, machine.machine_group, machine.used_cpus)
                for machine in self.serving
                if machine.entry.shard == self.shard.number
            ]
        return self.own_free_capacity


@dataclass(slots=True)
class Search:
    """How far the search of capacity for one request has come."""

    job: Job
    # The job's shape, with the zone that it is tied to.
    spec: JobSpec
    # Tasks that have found no capacity so far.
    left: int
    horizon: float
    # The types that are kept for others.
    excluded_types: set[str]
    # The zone that all of a gang's tasks must be in.
    zone: str | None
    # Whether it waits for cheap capacity.
    patient: bool


class PlacementPlanner:
    """Serves the requests of one shard after the other."""

    def __init__(
        self,
        context: ManagerContext,
        state: ManagerState,
        records: MachineRecords,
        tracker: DemandTracker,
        rebalancer: Rebalancer,
    ) -> None:
        self.state, self.records, self.rebalancer = state, records, rebalancer
        self.cluster, self.tuning = context.cluster, context.tuning
        self.reserved_types, self.fleet_store = tracker.reserved_types, state.fleet_store

    def serve(
        self, now: float, shard: Shard, serving: list[ManagedMachine], plan: ScaleOutPlan | None
    ) -> None:
        """Serve a shard's requests, each with what those before it have left.

        Without a plan nothing is rented, and nothing taken that others need: this only moves what
        idles.
        """
        if now - shard.wants_at > REQUEST_REPORTS * self.state.report_s:
            return
        offer = self._offer(shard, serving)
        for request in shard.wants:
            over = plan is not None and plan.full and not offer.releasable
            if over and not request.job.guaranteed:
                # Nothing can be rented or moved in this plan any more: the next one goes on.
                continue
            search = self._begin(now, offer, request)
            self._move_releasable(now, offer, search)
            if plan is not None:
                self._rent(now, offer, search, plan)
                self._claim_warm_capacity(now, offer, search)
                self._reclaim_guarantee(now, offer, search)

    def _offer(self, shard: Shard, serving: list[ManagedMachine]) -> ShardOffer:
        """Gather what is on its way to a shard and what others could lend."""
        capacities = [
            empty_machine_capacity(self.state.types[machine_group.type], machine_group)
            for machine_group, count, number in self.state.pending_requests.values()
            if number == shard.number
            for _ in range(count)
        ]
        capacities += [
            empty_machine_capacity(machine.type, machine.machine_group)
            for machine in serving
            if machine.back_for == shard.number and machine.entry.back
        ]
        releasable = [
            machine
            for machine in serving
            if machine.releasable
            and machine.entry.shard != shard.number
            and not machine.entry.back
            and machine.entry.shard != NO_SHARD
        ]
        releasable.sort(key=lambda m: hourly_price(m.type, m.entry.spot) / m.type.cpus)
        return ShardOffer(shard, serving, capacities, releasable, self.rebalancer.coverage(serving))

    def _begin(self, now: float, offer: ShardOffer, request: CapacityRequest) -> Search:
        """Start a request's search with the capacity that is on its way."""
        job, count, horizon = request
        zone_affinity = offer.shard.zone_affinities.get(job.spec.id)
        spec = with_zone_affinity(job.spec, [zone_affinity] if zone_affinity else [])
        excluded_types = self.reserved_types.reserved_from(spec)
        zone: str | None = None
        capacities = offer.capacities
        if spec.gang and spec.one_zone:
            # All of it in one zone: what the shard has there, then what is moved or rented. The
            # owner asks for the whole: only the leader can complete what one zone has.
            capacities = capacities + offer.own()
            zone = spec.zone or self._gang_zone(now, spec, count, capacities, offer.releasable)
            capacities = [capacity for capacity in capacities if capacity.zone == zone]
        left = pack_tasks(capacities, spec, count, horizon, excluded_types)
        # Work that can wait for longer than a boot asks only for the cheap kind at first.
        # Not for the rest of a gang, for which other machines are kept idle meanwhile.
        long = horizon > self.tuning.patient_boots * self.state.boot_s
        patient = long and spec.spot and zone is None
        return Search(job, spec, left, horizon, excluded_types, zone, patient)

    def _gang_zone(
        self,
        now: float,
        spec: JobSpec,
        count: int,
        capacities: list[FreeCapacity],
        releasable: list[ManagedMachine],
    ) -> str | None:
        """The zone where most of a gang's tasks fit already and the rest can be provisioned."""
        state = self.state
        slots: dict[str, int] = {}
        offers = capacities + [
            empty_machine_capacity(machine.type, machine.machine_group) for machine in releasable
        ]
        for capacity in offers:
            slots[capacity.zone] = slots.get(capacity.zone, 0) + capacity.slots(
                spec, count, state.boot_s
            )
        for zone in sorted(slots, key=lambda z: (-slots[z], z)):
            if slots[zone] > 0 and (
                slots[zone] >= count
                or choose_machine_group(
                    spec, 1, state.types, {}, state.backoff, now, False, set(), zone
                )
            ):
                return zone
        return None

    def _move_releasable(self, now: float, offer: ShardOffer, search: Search) -> None:
        """Ask for idle machines of shards that stay covered as far as this one."""
        number = offer.shard.number
        for machine in list(offer.releasable):
            if search.left <= 0:
                break
            donor = machine.entry.shard
            if search.zone is not None and machine.entry.zone != search.zone:
                continue
            if (
                not self.rebalancer.can_release(machine)
                or machine.type.name in search.excluded_types
            ):
                continue
            if search.patient and self.state.on_demand_excess and not machine.entry.spot:
                continue
            if not offer.coverage.can_donate(donor, number, machine.type.cpus):
                continue
            capacity = empty_machine_capacity(machine.type, machine.machine_group)
            taken = capacity.take(search.spec, search.left, search.horizon)
            if taken > 0:
                search.left -= taken
                offer.coverage.move(donor, number, machine.type.cpus)
                offer.capacities.append(capacity)
                offer.releasable.remove(machine)
                self.rebalancer.request_release(now, machine, number)

    def _rent(self, now: float, offer: ShardOffer, search: Search, plan: ScaleOutPlan) -> None:
        """Plan new machines for what is left."""
        state, spec = self.state, search.spec
        while search.left > 0 and not plan.full and not self.fleet_store.full():
            machine_group = choose_machine_group(
                spec,
                search.left,
                state.types,
                plan.zones,
                state.backoff,
                now,
                search.patient,
                search.excluded_types,
                search.zone,
            )
            if machine_group is None:
                break
            if spec.gang and spec.one_zone:
                search.zone = machine_group.zone
            capacity = empty_machine_capacity(state.types[machine_group.type], machine_group)
            taken = capacity.take(spec, search.left, search.horizon)
            if taken <= 0:
                break
            search.left -= taken
            offer.capacities.append(capacity)
            plan.add(machine_group, offer.shard.number)

    def _claim_warm_capacity(self, now: float, offer: ShardOffer, search: Search) -> None:
        """Nothing can be rented: what others keep for later serves who needs it now."""
        if search.left <= 0 or search.horizon > self.state.boot_s:
            return
        for machine in offer.releasable:
            if search.left <= 0:
                break
            if machine.type.name in search.excluded_types or search.zone not in (
                None,
                machine.entry.zone,
            ):
                continue
            if not self.rebalancer.can_release(machine):
                continue
            capacity = empty_machine_capacity(machine.type, machine.machine_group)
            taken = capacity.take(search.spec, search.left, search.horizon)
            if taken > 0:
                search.left -= taken
                self.rebalancer.request_release(now, machine, offer.shard.number)
        offer.releasable = [machine for machine in offer.releasable if not machine.entry.back]

    def _reclaim_guarantee(self, now: float, offer: ShardOffer, search: Search) -> None:
        """Give a shard its guarantee out of what another has beyond its own."""
        job, spec, left = search.job, search.job.spec, search.left
        if left <= 0 or not job.guaranteed or search.horizon > self.state.boot_s:
            return
        for other in self.state.shards.values():
            theirs = [m for m in offer.serving if m.entry.shard == other.number]
            own = sum(team.cpus for team in self.cluster.teams if team.name in other.teams)
            beyond = sum(machine.used_cpus for machine in theirs) - own
            for machine in sorted(theirs, key=lambda m: m.used_cpus):
                used = machine.used_cpus
                if other is offer.shard or left <= 0 or beyond < used or machine.entry.back:
                    break
                capacity = empty_machine_capacity(machine.type, machine.machine_group)
                taken = capacity.take(spec, left, 0.0)
                if taken > 0 and machine.type.name not in self.reserved_types.reserved_from(spec):
                    left -= taken
                    beyond -= used
                    self.records.ask_back(now, machine, offer.shard.number, vacate=True)

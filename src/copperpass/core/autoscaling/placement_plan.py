"""Placement of requested capacity: on reclaimable machines of other shards, then on new ones."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.autoscaling.bin_packing import pack_tasks, with_zone_affinity
from copperpass.core.autoscaling.demand import DemandTracker
from copperpass.core.autoscaling.free_capacity import FreeCapacity, unused_capacity
from copperpass.core.autoscaling.group_selection import (
    GroupQuery,
    PurchaseOption,
    choose_machine_group,
)
from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.rebalancing import CoverageRatio, Rebalancer
from copperpass.core.autoscaling.scale_out_plan import ScaleOutPlan
from copperpass.core.autoscaling.state import (
    CapacityRequest,
    ClusterManagerContext,
    ClusterState,
    ManagedMachine,
    Shard,
)
from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.prices import hourly_price
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.frames.messages import NO_SHARD
from copperpass.protocol.users import JobSpec

# A shard's requests are out of date after so many heartbeat intervals.
REQUEST_REPORTS = 2


@dataclass(slots=True)
class ShardSupply:
    """The capacity that one shard can get; each of its requests in turn takes a part."""

    shard: Shard
    serving: list[ManagedMachine]
    # Machines that are requested for the shard or reclaimed for it.
    incoming: list[FreeCapacity]
    # Reclaimable machines of other shards, the cheapest CPUs first.
    reclaimable: list[ManagedMachine]
    coverage: CoverageRatio
    # Computed when a gang needs it.
    _own: list[FreeCapacity] | None = None

    def own(self) -> list[FreeCapacity]:
        """About what the shard's own machines have free."""
        if self._own is None:
            self._own = [
                unused_capacity(machine.type, machine.machine_group, machine.used_cpus)
                for machine in self.serving
                if machine.route.shard == self.shard.number
            ]
        return self._own


@dataclass(slots=True)
class PlacementSearch:
    """How far the search of capacity for one request has come."""

    job: Job
    # The job's shape, with its zone affinity.
    spec: JobSpec
    # Tasks that no machine has been found for.
    unplaced: int
    # Seconds until the tasks should start.
    horizon_s: float
    # The types that are reserved for other work.
    excluded_types: set[str]
    # The zone that all of a gang's tasks must be in.
    zone: str | None
    # Whether it waits for spot capacity.
    prefers_spot: bool

    def place_on_empty(
        self, machine_type: MachineType, machine_group: MachineGroup
    ) -> FreeCapacity | None:
        """Place tasks on an empty machine; returns what is left of it, None if no task fits."""
        capacity = unused_capacity(machine_type, machine_group)
        placed = capacity.reserve(self.spec, self.unplaced, self.horizon_s)
        self.unplaced -= placed
        return capacity if placed > 0 else None

    def excludes(self, machine: ManagedMachine) -> bool:
        """Whether a machine is of a type or in a zone that the tasks may not use."""
        if machine.type.name in self.excluded_types:
            return True
        return self.zone is not None and machine.route.zone != self.zone


class PlacementPlanner:
    """Serves the capacity requests of one shard after the other."""

    def __init__(
        self,
        context: ClusterManagerContext,
        state: ClusterState,
        records: MachineRecords,
        tracker: DemandTracker,
        rebalancer: Rebalancer,
    ) -> None:
        self.state, self.records, self.rebalancer = state, records, rebalancer
        self.cluster, self.tuning = context.cluster, context.tuning
        self.reserved_types, self.inventory = tracker.reserved_types, state.inventory

    def serve(
        self, now: float, shard: Shard, serving: list[ManagedMachine], plan: ScaleOutPlan | None
    ) -> None:
        """Serve a shard's requests, each with what those before it have left.

        Without a plan nothing is provisioned, and nothing claimed that others keep for their
        peaks: this only moves machines that are idle and not needed.
        """
        if now - shard.capacity_requests_at > REQUEST_REPORTS * self.state.heartbeat_interval_s:
            return
        supply = self._supply(shard, serving)
        for request in shard.capacity_requests:
            exhausted = plan is not None and plan.full and not supply.reclaimable
            if exhausted and not request.job.guaranteed:
                # This plan can neither provision nor move anything more: the next one goes on.
                continue
            search = self._begin(now, supply, request)
            self._move_reclaimable(now, supply, search)
            if plan is not None:
                self._provision(now, supply, search, plan)
                self._claim_warm_capacity(now, supply, search)
                self._reclaim_guarantee(now, supply, search)

    def _supply(self, shard: Shard, serving: list[ManagedMachine]) -> ShardSupply:
        """What is incoming for a shard and what can be reclaimed from others."""
        incoming = [
            unused_capacity(self.state.types[request.machine_group.type], request.machine_group)
            for request in self.state.pending_requests.values()
            if request.shard == shard.number
            for _ in range(request.machines)
        ]
        incoming += [
            unused_capacity(machine.type, machine.machine_group)
            for machine in serving
            if machine.reclaim_for_shard == shard.number and machine.route.reclaim_requested
        ]
        reclaimable = [
            machine
            for machine in serving
            if machine.reclaimable
            and machine.route.shard != shard.number
            and not machine.route.reclaim_requested
            and machine.route.shard != NO_SHARD
        ]
        reclaimable.sort(key=lambda m: hourly_price(m.type, m.route.spot) / m.type.cpus)
        return ShardSupply(shard, serving, incoming, reclaimable, self.rebalancer.coverage(serving))

    def _begin(self, now: float, supply: ShardSupply, request: CapacityRequest) -> PlacementSearch:
        """Start a request's search by packing its tasks into the incoming capacity."""
        job, count, horizon_s = request.job, request.tasks, request.horizon_s
        zone_affinity = supply.shard.zone_affinities.get(job.spec.id)
        spec = with_zone_affinity(job.spec, [zone_affinity] if zone_affinity else [])
        excluded_types = self.reserved_types.reserved_from(spec)
        zone: str | None = None
        capacities = supply.incoming
        if spec.gang and spec.one_zone:
            # All of it in one zone: on the shard's own machines there, then on those that are moved
            # or provisioned. The owner requests capacity for the whole gang: only the leader can
            # complete what one zone has.
            capacities = capacities + supply.own()
            zone = spec.zone or self._gang_zone(now, spec, count, capacities, supply.reclaimable)
            capacities = [capacity for capacity in capacities if capacity.zone == zone]
        unplaced = pack_tasks(capacities, spec, count, horizon_s, excluded_types)
        # Work that can wait for longer than a boot requests only spot capacity at first. Not the
        # rest of a gang, since other machines are kept idle for it meanwhile.
        deferrable = horizon_s > self.tuning.patient_boots * self.state.boot_s
        prefers_spot = deferrable and spec.spot and zone is None
        return PlacementSearch(job, spec, unplaced, horizon_s, excluded_types, zone, prefers_spot)

    def _gang_zone(
        self,
        now: float,
        spec: JobSpec,
        count: int,
        capacities: list[FreeCapacity],
        reclaimable: list[ManagedMachine],
    ) -> str | None:
        """The zone where most of a gang's tasks fit already and the rest can be provisioned."""
        state = self.state
        offers = capacities + [
            unused_capacity(machine.type, machine.machine_group) for machine in reclaimable
        ]
        fitting: dict[str, int] = {}
        for capacity in offers:
            tasks = capacity.feasible_tasks(spec, count, state.boot_s)
            fitting[capacity.zone] = fitting.get(capacity.zone, 0) + tasks
        for zone in sorted(fitting, key=lambda name: (-fitting[name], name)):
            if fitting[zone] <= 0:
                continue
            query = GroupQuery(spec=spec, zone=zone)
            if fitting[zone] >= count or choose_machine_group(
                state.types, state.backoff, now, query
            ):
                return zone
        return None

    def _move_reclaimable(self, now: float, supply: ShardSupply, search: PlacementSearch) -> None:
        """Reclaim idle machines whose shards stay covered as far as this one."""
        number = supply.shard.number
        spot_only = search.prefers_spot and self.state.on_demand_excess
        for machine in list(supply.reclaimable):
            if search.unplaced <= 0:
                break
            if search.excludes(machine) or not self.rebalancer.can_reclaim(machine):
                continue
            if spot_only and not machine.route.spot:
                continue
            donor, cpus = machine.route.shard, machine.type.cpus
            if not supply.coverage.can_donate(donor, number, cpus):
                continue
            capacity = search.place_on_empty(machine.type, machine.machine_group)
            if capacity is not None:
                supply.coverage.move(donor, number, cpus)
                supply.incoming.append(capacity)
                supply.reclaimable.remove(machine)
                self.rebalancer.request_reclaim(now, machine, number)

    def _provision(
        self, now: float, supply: ShardSupply, search: PlacementSearch, plan: ScaleOutPlan
    ) -> None:
        """Plan new machines for the tasks that are still unplaced."""
        state, spec = self.state, search.spec
        purchase_option = PurchaseOption.SPOT if search.prefers_spot else PurchaseOption.ANY
        while search.unplaced > 0 and not plan.full and not self.inventory.full():
            query = GroupQuery(
                spec=spec,
                tasks=search.unplaced,
                purchase_option=purchase_option,
                excluded_types=search.excluded_types,
                zone=search.zone,
                machines_by_zone=plan.machines_by_zone,
            )
            machine_group = choose_machine_group(state.types, state.backoff, now, query)
            if machine_group is None:
                break
            if spec.gang and spec.one_zone:
                search.zone = machine_group.zone
            capacity = search.place_on_empty(state.types[machine_group.type], machine_group)
            if capacity is None:
                break
            supply.incoming.append(capacity)
            plan.add(machine_group, supply.shard.number)

    def _claim_warm_capacity(
        self, now: float, supply: ShardSupply, search: PlacementSearch
    ) -> None:
        """Nothing can be provisioned: urgent work gets what others keep for their peaks."""
        if search.unplaced <= 0 or search.horizon_s > self.state.boot_s:
            return
        for machine in supply.reclaimable:
            if search.unplaced <= 0:
                break
            if search.excludes(machine) or not self.rebalancer.can_reclaim(machine):
                continue
            if search.place_on_empty(machine.type, machine.machine_group) is not None:
                self.rebalancer.request_reclaim(now, machine, supply.shard.number)
        supply.reclaimable = [
            machine for machine in supply.reclaimable if not machine.route.reclaim_requested
        ]

    def _reclaim_guarantee(self, now: float, supply: ShardSupply, search: PlacementSearch) -> None:
        """Give a shard its guaranteed quota out of what others use beyond their own."""
        spec, unplaced = search.job.spec, search.unplaced
        if unplaced <= 0 or not search.job.guaranteed or search.horizon_s > self.state.boot_s:
            return
        excluded_types = self.reserved_types.reserved_from(spec)
        for other in self.state.shards.values():
            if other is supply.shard or unplaced <= 0:
                continue
            machines = [m for m in supply.serving if m.route.shard == other.number]
            quota = sum(team.cpus for team in self.cluster.teams if team.name in other.teams)
            excess = sum(machine.used_cpus for machine in machines) - quota
            for machine in sorted(machines, key=lambda m: m.used_cpus):
                used_cpus = machine.used_cpus
                if unplaced <= 0 or excess < used_cpus or machine.route.reclaim_requested:
                    break
                capacity = unused_capacity(machine.type, machine.machine_group)
                placed = capacity.reserve(spec, unplaced, 0.0)
                if placed > 0 and machine.type.name not in excluded_types:
                    unplaced -= placed
                    excess -= used_cpus
                    self.records.request_reclaim(now, machine, supply.shard.number, drain=True)

"""Serves capacity requests from other shards' reclaimable machines, then with new machines."""

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
from copperpass.core.autoscaling.rebalancing import Rebalancer, ShardCoverage
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

# A shard's capacity requests are ignored as stale after this many heartbeat intervals.
REQUEST_TTL_HEARTBEATS = 2


@dataclass(slots=True)
class ShardSupply:
    """The capacity available to one shard; each of its requests in turn takes a part of it."""

    shard: Shard
    active_machines: list[ManagedMachine]
    # Free capacity of machines that are requested from the cloud or reclaimed for the shard.
    incoming: list[FreeCapacity]
    # Reclaimable machines of other shards, the cheapest CPUs first.
    reclaimable: list[ManagedMachine]
    coverage: ShardCoverage
    # Cache of `own_capacities`; None until a gang needs them.
    _own_capacities: list[FreeCapacity] | None = None

    def own_capacities(self) -> list[FreeCapacity]:
        """Return the estimated free capacity of the shard's own machines."""
        if self._own_capacities is None:
            self._own_capacities = [
                unused_capacity(machine.type, machine.machine_group, machine.used_cpus)
                for machine in self.active_machines
                if machine.route.shard == self.shard.number
            ]
        return self._own_capacities


@dataclass(slots=True)
class PlacementSearch:
    """The progress of the search for capacity for one request."""

    job: Job
    # The job's spec, pinned to its zone affinity if it has one.
    spec: JobSpec
    # Tasks for which no machine has been found yet.
    unplaced: int
    # Seconds until the tasks should start.
    horizon_s: float
    # The types that are reserved for other work.
    excluded_types: set[str]
    # The zone that all tasks of a one-zone gang must be in; None until one is chosen, and for other
    # jobs.
    zone: str | None
    # Whether to provision only spot machines at first.
    prefers_spot: bool
    # Whether capacity that is kept for other work may be taken.
    starving: bool = False

    def place_on_empty(
        self, machine_type: MachineType, machine_group: MachineGroup
    ) -> FreeCapacity | None:
        """Place tasks on an empty machine; returns its remaining capacity, None if no task fits."""
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
    """Serves the capacity requests of one shard at a time."""

    def __init__(
        self,
        context: ClusterManagerContext,
        state: ClusterState,
        records: MachineRecords,
        tracker: DemandTracker,
        rebalancer: Rebalancer,
    ) -> None:
        self.state, self.records, self.rebalancer = state, records, rebalancer
        self.tuning = context.tuning
        self.reserved_types, self.inventory = tracker.reserved_types, state.inventory

    def serve_requests(
        self,
        now: float,
        shard: Shard,
        active_machines: list[ManagedMachine],
        plan: ScaleOutPlan | None,
    ) -> None:
        """Serve a shard's requests in order, each from the capacity that earlier ones have left.

        With `plan` None, no machines are provisioned and no capacity is taken that other shards
        keep for their peaks: only idle machines that they do not need are moved.
        """
        if (
            now - shard.capacity_requests_at
            > REQUEST_TTL_HEARTBEATS * self.state.heartbeat_interval_s
        ):
            return
        supply = self._collect_supply(shard, active_machines)
        for request in shard.capacity_requests:
            exhausted = plan is not None and plan.full and not supply.reclaimable
            if exhausted and not request.job.guaranteed:
                # This plan can neither provision nor move more machines; the next plan continues.
                continue
            search = self._start_search(now, supply, request)
            self._move_reclaimable(now, supply, search)
            if plan is not None:
                self._provision(now, supply, search, plan)
                self._claim_warm_capacity(now, supply, search)
                self._reclaim_guaranteed_quota(now, supply, search)

    def _collect_supply(self, shard: Shard, active_machines: list[ManagedMachine]) -> ShardSupply:
        """Collect the incoming capacity of a shard and the reclaimable machines of other shards."""
        incoming = [
            unused_capacity(self.state.types[request.machine_group.type], request.machine_group)
            for request in self.state.pending_requests.values()
            if request.shard == shard.number
            for _ in range(request.machines)
        ]
        incoming += [
            unused_capacity(machine.type, machine.machine_group)
            for machine in active_machines
            if machine.reclaim_for_shard == shard.number and machine.route.reclaim_requested
        ]
        reclaimable = [
            machine
            for machine in active_machines
            if machine.reclaimable
            and machine.route.shard != shard.number
            and not machine.route.reclaim_requested
            and machine.route.shard != NO_SHARD
        ]
        reclaimable.sort(
            key=lambda machine: hourly_price(machine.type, machine.route.spot) / machine.type.cpus
        )
        return ShardSupply(
            shard, active_machines, incoming, reclaimable, self.rebalancer.coverage(active_machines)
        )

    def _start_search(
        self, now: float, supply: ShardSupply, request: CapacityRequest
    ) -> PlacementSearch:
        """Start the search for a request by packing its tasks into the incoming capacity."""
        job, count, horizon_s = request.job, request.tasks, request.horizon_s
        zone_affinity = supply.shard.zone_affinities.get(job.spec.id)
        spec = with_zone_affinity(job.spec, [zone_affinity] if zone_affinity else [])
        starving = request.starving
        excluded_types = set() if starving else self.reserved_types.excluded_types(spec)
        zone: str | None = None
        capacities = supply.incoming
        if spec.gang and spec.one_zone:
            # All tasks must be in one zone: on the shard's own machines there, then on machines
            # that are moved or provisioned. The owner requests capacity for the whole gang, because
            # only the leader can add the capacity that a zone lacks.
            capacities = capacities + supply.own_capacities()
            zone = spec.zone or self._choose_gang_zone(
                now, spec, count, capacities, supply.reclaimable
            )
            capacities = [capacity for capacity in capacities if capacity.zone == zone]
        unplaced = pack_tasks(capacities, spec, count, horizon_s, excluded_types)
        # Work that can wait for longer than a boot requests only spot capacity at first. The rest
        # of a one-zone gang does not, since other machines are kept idle for the gang meanwhile.
        deferrable = horizon_s > self.tuning.patient_boots * self.state.boot_s
        prefers_spot = deferrable and spec.spot and zone is None
        return PlacementSearch(
            job, spec, unplaced, horizon_s, excluded_types, zone, prefers_spot, starving
        )

    def _choose_gang_zone(
        self,
        now: float,
        spec: JobSpec,
        count: int,
        capacities: list[FreeCapacity],
        reclaimable: list[ManagedMachine],
    ) -> str | None:
        """Choose the zone where most of a gang's tasks fit already and the rest can be provisioned.

        None if there is no such zone.
        """
        state = self.state
        available = capacities + [
            unused_capacity(machine.type, machine.machine_group) for machine in reclaimable
        ]
        feasible_by_zone: dict[str, int] = {}
        for capacity in available:
            tasks = capacity.feasible_tasks(spec, count, state.boot_s)
            feasible_by_zone[capacity.zone] = feasible_by_zone.get(capacity.zone, 0) + tasks
        for zone in sorted(feasible_by_zone, key=lambda name: (-feasible_by_zone[name], name)):
            if feasible_by_zone[zone] <= 0:
                continue
            query = GroupQuery(spec=spec, zone=zone)
            if feasible_by_zone[zone] >= count or choose_machine_group(
                state.types, state.backoff, now, query
            ):
                return zone
        return None

    def _move_reclaimable(self, now: float, supply: ShardSupply, search: PlacementSearch) -> None:
        """Reclaim idle machines of shards that stay at least as well covered as this one."""
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
        """Add new machines to the plan for the tasks that are still unplaced."""
        state, spec = self.state, search.spec
        purchase_option = PurchaseOption.SPOT if search.prefers_spot else PurchaseOption.ANY
        while search.unplaced > 0 and not plan.full and not self.inventory.is_full():
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
        """Give urgent tasks the idle machines that other shards keep for their peaks.

        Used for tasks that are still unplaced when nothing more can be provisioned.
        """
        if search.unplaced <= 0 or search.horizon_s > self.state.boot_s:
            return
        for machine in supply.reclaimable:
            if search.unplaced <= 0:
                break
            if search.excludes(machine):
                continue
            if not search.starving and not self.rebalancer.can_reclaim(machine):
                continue
            if search.place_on_empty(machine.type, machine.machine_group) is not None:
                self.rebalancer.request_reclaim(now, machine, supply.shard.number)
        supply.reclaimable = [
            machine for machine in supply.reclaimable if not machine.route.reclaim_requested
        ]

    def _reclaim_guaranteed_quota(
        self, now: float, supply: ShardSupply, search: PlacementSearch
    ) -> None:
        """Drain machines of shards that use more than their quota, for urgent guaranteed tasks.

        Used for tasks that are still unplaced. Only the owner of a machine knows which tasks it
        certainly runs, so it says which machines are beyond its teams' guarantees.
        """
        spec, unplaced = search.job.spec, search.unplaced
        if unplaced <= 0 or not search.job.guaranteed or search.horizon_s > self.state.boot_s:
            return
        excluded_types = self.reserved_types.excluded_types(spec)
        drainable = [
            machine
            for machine in supply.active_machines
            if machine.route.shard not in (supply.shard.number, NO_SHARD)
            and machine.status.beyond_guarantee
            and not machine.route.reclaim_requested
            and machine.type.name not in excluded_types
        ]
        for machine in sorted(drainable, key=lambda machine: machine.used_cpus):
            if unplaced <= 0:
                break
            capacity = unused_capacity(machine.type, machine.machine_group)
            placed = capacity.reserve(spec, unplaced, 0.0)
            if placed > 0:
                unplaced -= placed
                self.records.request_reclaim(now, machine, supply.shard.number, drain=True)

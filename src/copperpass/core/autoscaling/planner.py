"""The scaling plan, made four times per heartbeat interval: rebalancing, scale-out and scale-in."""

from __future__ import annotations

from copperpass.core.autoscaling.allocation_plan import (
    allocate,
    allocation_ratio,
    remaining_by_team,
)
from copperpass.core.autoscaling.demand import Demand, DemandTracker, WarmTargets
from copperpass.core.autoscaling.instance_requests import InstanceRequests
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.placement_plan import PlacementPlanner
from copperpass.core.autoscaling.rebalancing import Rebalancer
from copperpass.core.autoscaling.scale_out_plan import (
    MAX_MACHINES_PER_CALL,
    ScaleOutPlan,
    max_machines_per_plan,
)
from copperpass.core.autoscaling.state import (
    CapacityRequest,
    ClusterManagerContext,
    ClusterState,
    ManagedMachine,
    Shard,
)
from copperpass.core.autoscaling.warm_capacity import WarmCapacity
from copperpass.core.scheduling import allocation
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.frames.messages import CapacityRequests, Occupancy

# The fleet is logged once in so many heartbeat intervals.
SUMMARY_REPORTS = 5


class Planner:
    """Divides the fleet among the shards and changes its size.

    Owns the parts of the plan, and when the next one is due.
    """

    def __init__(
        self,
        context: ClusterManagerContext,
        state: ClusterState,
        records: MachineRecords,
        instance_requests: InstanceRequests,
    ) -> None:
        self.state, self.instance_requests = state, instance_requests
        self.cluster, self.jobs, self.out = context.cluster, context.jobs, context.out
        self.tracker = DemandTracker(context, state)
        self.rebalancer = Rebalancer(state, records, self.tracker)
        self.placement = PlacementPlanner(context, state, records, self.tracker, self.rebalancer)
        self.warm_capacity = WarmCapacity(context, state, self.tracker, self.rebalancer)
        self.next_plan_at = self.next_summary_at = state.elected_at
        cloud_rps = context.cluster.cloud.rps
        self.plan_interval_s = max(state.heartbeat_interval_s / 4, 2.0 / cloud_rps)
        self.max_machines_per_plan = max_machines_per_plan(cloud_rps, self.plan_interval_s)

    def due(self, now: float) -> bool:
        """Whether it is time for the next plan; needs the cloud's offer."""
        if now < self.next_plan_at or not self.state.types:
            return False
        self.next_plan_at = now + self.plan_interval_s
        return True

    def on_capacity_requests(self, now: float, frame: CapacityRequests) -> None:
        """An owner requests capacity for tasks that its machines can't start in time.

        Ignored if it was sent before the owner knew of the machines that it was last assigned.
        """
        state = self.state
        shard = state.shards.get(frame.shard)
        if shard is None or frame.acknowledged_sequence < state.last_added_sequence.get(
            shard.number, 0
        ):
            return
        jobs = self.jobs.jobs
        shard.capacity_requests = [
            CapacityRequest(jobs[job_id], count, horizon_s)
            for job_id, count, horizon_s in frame.requests
            if job_id in jobs
        ]
        shard.capacity_requests_at = now
        if shard.capacity_requests and len(state.shards) > 1 and state.ready:
            # Idle machines of other shards can serve at once; scale-out waits for the next plan.
            self.tracker.sample_shard(now, shard.number, self.tracker.measure(now))
            self.placement.serve(now, shard, state.serving(), None)

    def plan(self, now: float) -> None:
        """Allocate the fleet, move idle machines, request what is missing, scale in the rest."""
        state = self.state
        demand = self.tracker.measure(now)
        self.tracker.sample(now, demand)
        targets = self.tracker.warm_targets()
        serving = state.serving()
        self.rebalancer.recount(serving)
        deferrable_cpus = self._deferrable_cpus_in_use(serving, demand)
        total_cpus = sum(machine.type.cpus for machine in serving)
        state.on_demand_excess = total_cpus - deferrable_cpus > targets.total_cpus
        remaining = remaining_by_team(self.cluster, self.jobs.jobs.values())
        allocated = allocate(self.cluster, serving, remaining)
        shards = sorted(
            state.shards.values(),
            key=lambda shard: allocation_ratio(shard, serving, remaining, allocated),
        )
        # Not while a machine may hold tasks of any shard, as after a failover.
        if not any(machine.route.occupancy == Occupancy.ANY_SHARD for machine in serving):
            self._scale_out(now, shards, serving, targets, deferrable_cpus)
        if now >= self.next_summary_at:
            self.next_summary_at = now + SUMMARY_REPORTS * state.heartbeat_interval_s
            self._log_fleet(targets, demand, allocated)
        self.warm_capacity.scale_in(now, targets, deferrable_cpus)

    def _deferrable_cpus_in_use(self, serving: list[ManagedMachine], demand: Demand) -> float:
        """The CPUs in use by deferrable work, which don't count as warm capacity.

        None where every class can wait for a machine to boot: nothing is gained there by keeping
        capacity beside deferrable work, and it costs a good deal.
        """
        if not self.tracker.slos.has_start_target_below(self.state.boot_s):
            return 0.0
        used_cpus = sum(machine.used_cpus for machine in serving)
        return min(demand.deferrable, max(0.0, used_cpus - demand.total_urgent))

    def _scale_out(
        self,
        now: float,
        shards: list[Shard],
        serving: list[ManagedMachine],
        targets: WarmTargets,
        deferrable_cpus: float,
    ) -> None:
        """Serve the shards in their order, keep warm capacity, request the planned machines."""
        plan = ScaleOutPlan.for_fleet(serving, self.max_machines_per_plan)
        for shard in shards:
            self.placement.serve(now, shard, serving, plan)
        self.warm_capacity.provision(now, targets, serving, deferrable_cpus, plan)
        self.warm_capacity.rebalance(now, serving)
        for destination, count in plan.counts.items():
            machine_group = destination.machine_group
            pending = self.state.pending_requests.values()
            # At most one pending request per group.
            if not any(request.machine_group == machine_group for request in pending):
                self.instance_requests.provision(
                    now, machine_group, min(count, MAX_MACHINES_PER_CALL), destination.shard
                )

    def _log_fleet(
        self, targets: WarmTargets, demand: Demand, allocated: allocation.Allocation
    ) -> None:
        """Log the machines by shard, type and state: their number, their CPUs, how many idle."""
        kinds: dict[str, list[float]] = {}
        for machine in self.state.machines.values():
            route, status = machine.route, machine.status
            kind = "spot" if route.spot else "on-demand"
            state = "up" if status.registered else "booting"
            sums = kinds.setdefault(
                f"{route.shard} {machine.type.name} {kind} {state}", [0, 0.0, 0]
            )
            sums[0] += 1
            sums[1] += machine.type.cpus
            sums[2] += status.idle
        self.out.log(
            LogLevel.INFO,
            LogEvent.CLUSTER_SUMMARY,
            warm_cpus=round(targets.total_cpus),
            urgent_cpus=round(demand.total_urgent),
            machines={key: [round(x) for x in sums] for key, sums in sorted(kinds.items())},
            owners={shard.number: shard.owner for shard in self.state.shards.values()},
            allocation_factors=[round(factor, 3) for factor in allocated.factors],
        )

"""Plans rebalancing, scale-out and scale-in, up to four times per heartbeat interval."""

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

# The interval of the log event `cluster summary`, in heartbeat intervals.
SUMMARY_HEARTBEATS = 5


class Planner:
    """Distributes the fleet among the shards and scales it.

    Creates the components that make up a plan and schedules the plans.
    """

    def __init__(
        self,
        context: ClusterManagerContext,
        state: ClusterState,
        records: MachineRecords,
        instance_requests: InstanceRequests,
    ) -> None:
        self.state, self.instance_requests = state, instance_requests
        self.cluster, self.jobs, self.outbox = context.cluster, context.jobs, context.outbox
        self.tracker = DemandTracker(context, state)
        self.rebalancer = Rebalancer(state, records, self.tracker)
        self.placement = PlacementPlanner(context, state, records, self.tracker, self.rebalancer)
        self.warm_capacity = WarmCapacity(context, state, self.tracker, self.rebalancer)
        self.next_plan_at = self.next_summary_at = state.elected_at
        cloud_rps = context.cluster.cloud.rps
        self.plan_interval_s = max(state.heartbeat_interval_s / 4, 2.0 / cloud_rps)
        self.max_machines_per_plan = max_machines_per_plan(cloud_rps, self.plan_interval_s)

    def schedule_next_if_due(self, now: float) -> bool:
        """Schedule the following plan if a plan is due now; returns whether it is.

        No plan is due before the cloud's machine types are known.
        """
        if now < self.next_plan_at or not self.state.types:
            return False
        self.next_plan_at = now + self.plan_interval_s
        return True

    def on_capacity_requests(self, now: float, frame: CapacityRequests) -> None:
        """Replace a shard's requests for capacity for tasks that its machines cannot start in time.

        A frame is ignored if its owner sent it before it knew of the machines last assigned to it.
        """
        state = self.state
        shard = state.shards.get(frame.shard)
        if shard is None or frame.acknowledged_sequence < state.last_added_sequence.get(
            shard.number, 0
        ):
            return
        jobs = self.jobs.jobs
        shard.capacity_requests = [
            CapacityRequest(jobs[job_id], count, max(0.0, horizon_s), starving=horizon_s < 0.0)
            for job_id, count, horizon_s in frame.requests
            if job_id in jobs
        ]
        shard.capacity_requests_at = now
        if shard.capacity_requests and len(state.shards) > 1 and state.ready:
            # Idle machines of other shards can be moved now; scale-out waits for the next plan.
            self.tracker.sample_shard(now, shard.number, self.tracker.measure(now))
            self.placement.serve_requests(now, shard, state.active_machines(), None)

    def plan(self, now: float) -> None:
        """Allocate the fleet, move idle machines, request missing ones, scale in surplus ones."""
        state = self.state
        demand = self.tracker.measure(now)
        self.tracker.sample(now, demand)
        targets = self.tracker.warm_targets()
        active_machines = state.active_machines()
        self.rebalancer.update_on_demand_cpus(active_machines)
        deferrable_cpus_in_use = self._deferrable_cpus_in_use(active_machines, demand)
        total_cpus = sum(machine.type.cpus for machine in active_machines)
        state.on_demand_excess = total_cpus - deferrable_cpus_in_use > targets.total_cpus
        remaining = remaining_by_team(self.cluster, self.jobs.jobs.values())
        allocated = allocate(self.cluster, active_machines, remaining)
        shards = sorted(
            state.shards.values(),
            key=lambda shard: allocation_ratio(shard, active_machines, remaining, allocated),
        )
        # No scale-out while a machine may hold tasks of any shard, as after a failover.
        if not any(machine.route.occupancy == Occupancy.ANY_SHARD for machine in active_machines):
            self._scale_out(now, shards, active_machines, targets, deferrable_cpus_in_use)
        if now >= self.next_summary_at:
            self.next_summary_at = now + SUMMARY_HEARTBEATS * state.heartbeat_interval_s
            self._log_summary(targets, demand, allocated)
        self.warm_capacity.scale_in(now, targets, deferrable_cpus_in_use)

    def _deferrable_cpus_in_use(
        self, active_machines: list[ManagedMachine], demand: Demand
    ) -> float:
        """Return the CPUs in use by deferrable work, which do not count as warm capacity.

        0 if every job class can wait for a machine to boot: keeping capacity in addition to the
        deferrable work would then gain nothing and cost much.
        """
        if not self.tracker.slos.has_start_target_below(self.state.boot_s):
            return 0.0
        used_cpus = sum(machine.used_cpus for machine in active_machines)
        return min(demand.deferrable, max(0.0, used_cpus - demand.total_urgent))

    def _scale_out(
        self,
        now: float,
        shards: list[Shard],
        active_machines: list[ManagedMachine],
        targets: WarmTargets,
        deferrable_cpus_in_use: float,
    ) -> None:
        """Serve the shards in order, provision warm capacity, request the planned machines."""
        plan = ScaleOutPlan.for_fleet(active_machines, self.max_machines_per_plan)
        for shard in shards:
            self.placement.serve_requests(now, shard, active_machines, plan)
        self.warm_capacity.provision(now, targets, active_machines, deferrable_cpus_in_use, plan)
        self.warm_capacity.rebalance(now, active_machines)
        for destination, count in plan.counts.items():
            machine_group = destination.machine_group
            pending = self.state.pending_requests.values()
            # At most one pending request per machine group.
            if not any(request.machine_group == machine_group for request in pending):
                self.instance_requests.provision(
                    now, machine_group, min(count, MAX_MACHINES_PER_CALL), destination.shard
                )

    def _log_summary(
        self, targets: WarmTargets, demand: Demand, allocated: allocation.Allocation
    ) -> None:
        """Log the fleet: machine count, CPUs and idle count by shard, type, spot and boot state."""
        totals_by_category: dict[str, list[float]] = {}
        for machine in self.state.machines.values():
            route, status = machine.route, machine.status
            purchase_option = "spot" if route.spot else "on-demand"
            state = "up" if status.registered else "booting"
            totals = totals_by_category.setdefault(
                f"{route.shard} {machine.type.name} {purchase_option} {state}", [0, 0.0, 0]
            )
            totals[0] += 1
            totals[1] += machine.type.cpus
            totals[2] += status.idle
        self.outbox.log(
            LogLevel.INFO,
            LogEvent.CLUSTER_SUMMARY,
            warm_cpus=round(targets.total_cpus),
            urgent_cpus=round(demand.total_urgent),
            machines={
                category: [round(total) for total in totals]
                for category, totals in sorted(totals_by_category.items())
            },
            owners={shard.number: shard.owner for shard in self.state.shards.values()},
            allocation_factors=[round(factor, 3) for factor in allocated.factors],
        )

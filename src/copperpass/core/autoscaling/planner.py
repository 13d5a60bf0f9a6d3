"""The plan, made every quarter of a report's time: what to move, to rent and to return."""

from __future__ import annotations

from copperpass.core.autoscaling.allocation_plan import allocate, fullness, remaining_by_team
from copperpass.core.autoscaling.demand import Demand, DemandTracker, WarmTargets
from copperpass.core.autoscaling.instance_requests import InstanceRequests
from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.placement_plan import PlacementPlanner
from copperpass.core.autoscaling.rebalancing import Rebalancer
from copperpass.core.autoscaling.scale_out_plan import (
    MACHINES_PER_CALL,
    ScaleOutPlan,
    max_machines_per_plan,
)
from copperpass.core.autoscaling.state import (
    CapacityRequest,
    ManagedMachine,
    ManagerContext,
    ManagerState,
    Shard,
)
from copperpass.core.autoscaling.warm_capacity import WarmCapacity
from copperpass.core.scheduling import allocation
from copperpass.protocol.frames.messages import CapacityRequests, Occupancy

# The part of patient work's room that doesn't count as warm room for work that can't wait.
PATIENT_PART = 1.0
# The fleet is logged once in so many reports' time.
SUMMARY_REPORTS = 5


class Planner:
    """Shares the fleet out among shards and changes its size."""

    def __init__(
        self,
        context: ManagerContext,
        state: ManagerState,
        records: MachineRecords,
        instance_requests: InstanceRequests,
    ) -> None:
        self.state, self.instance_requests = state, instance_requests
        self.cluster, self.jobs, self.out = context.cluster, context.jobs, context.out
        self.tracker = DemandTracker(context, state)
        self.rebalancer = Rebalancer(state, records, self.tracker)
        self.placement = PlacementPlanner(context, state, records, self.tracker, self.rebalancer)
        self.warm_capacity = WarmCapacity(context, state, self.tracker, self.rebalancer)
        self.next_plan = self.next_summary = state.won_at
        cloud_rps = context.cluster.cloud.rps
        self.plan_s = max(state.report_s / 4, 2.0 / cloud_rps)
        self.max_machines_per_plan = max_machines_per_plan(cloud_rps, self.plan_s)

    def due(self, now: float) -> bool:
        """Whether it is time for the next plan; needs the cloud's offer."""
        if now < self.next_plan or not self.state.types:
            return False
        self.next_plan = now + self.plan_s
        return True

    def asked(self, now: float, frame: CapacityRequests) -> None:
        """An owner has tasks that its machines have no room for in time."""
        state = self.state
        shard = state.shards.get(frame.shard)
        if shard is None or frame.applied < state.added.get(shard.number, 0):
            return
        jobs = self.jobs.jobs
        shard.wants = [
            CapacityRequest(jobs[job_id], count, horizon)
            for job_id, count, horizon in frame.wants
            if job_id in jobs
        ]
        shard.wants_at = now
        if shard.wants and len(state.shards) > 1 and state.ready:
            # Idle machines of others can serve at once; renting waits for the next plan.
            self.tracker.sample_shard(now, shard.number, self.tracker.measure(now))
            self.placement.serve(now, shard, state.serving(), None)

    def plan(self, now: float) -> None:
        """Compute shares, move what idles to where it is needed, rent the rest, return."""
        demand = self.tracker.measure(now)
        self.tracker.sample(now, demand)
        warm = self.tracker.warm()
        serving = self.state.serving()
        self.rebalancer.recount(serving)
        taken = self._deferrable_cpus_in_use(serving, demand)
        room = sum(machine.type.cpus for machine in serving)
        self.state.on_demand_excess = room - taken > warm.total_cpus
        remaining = remaining_by_team(self.cluster, self.jobs.jobs.values())
        allocated = allocate(self.cluster, serving, remaining)
        order = sorted(
            self.state.shards.values(),
            key=lambda shard: fullness(shard, serving, remaining, allocated),
        )
        if not any(machine.entry.may_hold == Occupancy.ANY_SHARD for machine in serving):
            self._change(now, order, serving, warm, taken)
        if now >= self.next_summary:
            self.next_summary = now + SUMMARY_REPORTS * self.state.report_s
            self._summary(warm.total_cpus, demand.total_urgent, allocated)
        self.warm_capacity.return_idle(now, warm, taken)

    def _deferrable_cpus_in_use(self, serving: list[ManagedMachine], demand: Demand) -> float:
        """The CPUs in use by work that can wait.

        Where a class can't wait for a boot: else nothing is gained by keeping room beside work
        that can wait, and a good deal is paid for it.
        """
        used = sum(machine.used_cpus for machine in serving)
        apart = PATIENT_PART if self.tracker.slos.has_start_target_below(self.state.boot_s) else 0.0
        return apart * min(demand.patient, max(0.0, used - demand.total_urgent))

    def _change(
        self,
        now: float,
        order: list[Shard],
        serving: list[ManagedMachine],
        warm: WarmTargets,
        taken: float,
    ) -> None:
        """Serve the shards in their order, keep warm room, rent what was planned."""
        plan = ScaleOutPlan.beside(serving, self.max_machines_per_plan)
        for shard in order:
            self.placement.serve(now, shard, serving, plan)
        self.warm_capacity.keep(now, warm, serving, taken, plan)
        self.warm_capacity.balance(now, serving)
        for (machine_group, number), count in plan.counts.items():
            if not any(
                instance_request.machine_group == machine_group
                for instance_request in self.state.pending_requests.values()
            ):
                self.instance_requests.provision(
                    now, machine_group, min(count, MACHINES_PER_CALL), number
                )

    def _summary(self, warm: float, tight: float, allocated: allocation.Allocation) -> None:
        """Say for the log how the fleet stands."""
        kinds: dict[str, list[float]] = {}
        for machine in self.state.machines.values():
            entry, status = machine.entry, machine.status
            kind = "spot" if entry.spot else "ordinary"
            state = "up" if status.up else "starting"
            sums = kinds.setdefault(
                f"{entry.shard} {machine.type.name} {kind} {state}", [0, 0.0, 0]
            )
            sums[0] += 1
            sums[1] += machine.type.cpus
            sums[2] += status.idle
        self.out.log(
            "info",
            "fleet",
            warm=round(warm),
            tight=round(tight),
            machines={key: [round(x) for x in sums] for key, sums in sorted(kinds.items())},
            owners={shard.number: shard.owner for shard in self.state.shards.values()},
            factors=[round(factor, 3) for factor in allocated.factors],
        )

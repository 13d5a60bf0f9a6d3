"""Demand: how much work is left, how urgent it is, and the peaks to keep capacity for."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.autoscaling.sliding_maximum import SlidingMaximum
from copperpass.core.autoscaling.state import ClusterManagerContext, ClusterState
from copperpass.core.autoscaling.urgency import is_urgent
from copperpass.core.scheduling.guarantees import assess_guarantees
from copperpass.core.scheduling.objectives import ServiceLevelObjectives
from copperpass.core.scheduling.reserved_types import ReservedTypes

# A shard's own peak is kept for so many times longer: the fewer its jobs, the more they vary.
SHARD_WINDOW = 2.4


@dataclass(frozen=True, slots=True)
class WarmTargets:
    """CPUs to keep provisioned for demand that can't wait for a machine to boot.

    Spot capacity is kept for longer than on-demand capacity, which costs more.
    """

    total_cpus: float
    spot_cpus: float


@dataclass(frozen=True, slots=True)
class Demand:
    """The CPUs of all work that isn't completed.

    `urgent` is what can't wait for a machine to boot, by shard; `on_demand` is the part of it that
    may not run on spot machines. `deferrable` is all the rest.
    """

    urgent: dict[int, float]
    on_demand: dict[int, float]
    deferrable: float

    @property
    def total_urgent(self) -> float:
        """The urgent work of all shards."""
        return sum(self.urgent.values())


class DemandTracker:
    """Measures demand and keeps its peaks, in CPUs, over sliding windows."""

    def __init__(self, context: ClusterManagerContext, state: ClusterState) -> None:
        tuning = context.tuning
        self.state, self.cluster, self.jobs = state, context.cluster, context.jobs
        self.slos = ServiceLevelObjectives(context.cluster.objectives, tuning.patience_s)
        self.reserved_types = ReservedTypes(context.types, tuning.keep_scarce_s)
        window_s = tuning.warm_window_boots * state.boot_s
        self.urgent_peak = SlidingMaximum(window_s)
        self.urgent_spot_peak = SlidingMaximum(tuning.cheap_window_boots * state.boot_s)
        shard_window_s = SHARD_WINDOW * tuning.warm_window_boots * state.boot_s
        # Urgent work by shard: all of it, and the part that may not run on spot machines.
        self.shard_peaks = {number: SlidingMaximum(shard_window_s) for number in state.shards}
        self.on_demand_peaks = {number: SlidingMaximum(window_s) for number in state.shards}

    def measure(self, now: float) -> Demand:
        """Sum up the work that is left; first assesses which jobs are guaranteed."""
        state = self.state
        urgent: dict[int, float] = dict.fromkeys(state.shards, 0.0)
        on_demand: dict[int, float] = dict.fromkeys(state.shards, 0.0)
        deferrable = 0.0
        jobs = list(self.jobs.jobs.values())
        assess_guarantees(jobs, {team.name: team.cpus for team in self.cluster.teams})
        self.reserved_types.observe(now, jobs)
        for job in jobs:
            spec = job.spec
            if is_urgent(job, self.slos, state.boot_s) and spec.team in state.shard_of:
                tasks_left = spec.tasks - job.completed_count - len(job.unstored)
                shard = state.shard_of[spec.team]
                urgent[shard] += tasks_left * spec.cpus
                if not spec.spot:
                    on_demand[shard] += tasks_left * spec.cpus
            else:
                deferrable += (spec.tasks - job.completed_count) * spec.cpus
        return Demand(urgent, on_demand, deferrable)

    def sample(self, now: float, demand: Demand) -> None:
        """Add a measurement to all peaks."""
        limit = sum(team.cpus_limit for team in self.cluster.teams)
        total = min(demand.total_urgent, limit)
        self.urgent_peak.add(now, total)
        self.urgent_spot_peak.add(now, total)
        for shard, cpus in demand.urgent.items():
            self.shard_peaks[shard].add(now, cpus)
            self.on_demand_peaks[shard].add(now, demand.on_demand[shard])

    def sample_shard(self, now: float, shard: int, demand: Demand) -> None:
        """Add a measurement to one shard's peak, between plans."""
        self.shard_peaks[shard].add(now, demand.urgent[shard])

    def warm_targets(self) -> WarmTargets:
        """The warm capacity to keep for urgent work."""
        return WarmTargets(self.urgent_peak.value(), self.urgent_spot_peak.value())

    def reserved_type_names(self) -> set[str]:
        """The types that are reserved for work that fits no other."""
        return {name for names in self.reserved_types.last_demand for name in names}

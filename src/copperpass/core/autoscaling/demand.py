"""Measures remaining work by urgency and tracks the peaks that warm capacity must cover."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.autoscaling.sliding_maximum import SlidingMaximum
from copperpass.core.autoscaling.state import ClusterManagerContext, ClusterState
from copperpass.core.autoscaling.urgency import is_urgent
from copperpass.core.scheduling.guarantees import assess_guarantees
from copperpass.core.scheduling.objectives import ServiceLevelObjectives
from copperpass.core.scheduling.reserved_types import ReservedTypes

# The window of a shard's peak, as a multiple of `warm_window_boots`. It is longer than the fleet's
# because a shard has fewer jobs, so its demand varies more.
SHARD_WINDOW_FACTOR = 2.4


@dataclass(frozen=True, slots=True)
class WarmTargets:
    """CPUs to keep provisioned for demand that cannot wait for a machine to boot.

    `total_cpus` is the peak over `warm_window_boots`, `spot_cpus` the peak over
    `cheap_window_boots`. The latter is longer by default: on-demand capacity costs more, so spot
    capacity is kept for longer.
    """

    total_cpus: float
    spot_cpus: float


@dataclass(frozen=True, slots=True)
class Demand:
    """CPUs of all tasks that are not completed.

    `urgent` holds, by shard, the work that cannot wait for a machine to boot, and `on_demand` the
    part of it that may not run on spot machines. `deferrable` is all other work.
    """

    urgent: dict[int, float]
    on_demand: dict[int, float]
    deferrable: float

    @property
    def total_urgent(self) -> float:
        """The CPUs of the urgent work of all shards."""
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
        shard_window_s = SHARD_WINDOW_FACTOR * tuning.warm_window_boots * state.boot_s
        # Peaks of urgent work by shard: of all of it, and of the work that may not run on spot
        # machines.
        self.shard_peaks = {number: SlidingMaximum(shard_window_s) for number in state.shards}
        self.on_demand_peaks = {number: SlidingMaximum(window_s) for number in state.shards}

    def measure(self, now: float) -> Demand:
        """Update guaranteed jobs and reserved types, then sum up the remaining work."""
        state = self.state
        urgent: dict[int, float] = dict.fromkeys(state.shards, 0.0)
        on_demand: dict[int, float] = dict.fromkeys(state.shards, 0.0)
        deferrable = 0.0
        jobs = list(self.jobs.jobs.values())
        assess_guarantees(jobs, {team.name: team.cpus for team in self.cluster.teams})
        self.reserved_types.observe(now, jobs)
        for job in jobs:
            spec = job.spec
            if is_urgent(job, self.slos, state.boot_s) and spec.team in state.shard_by_team:
                remaining_tasks = spec.tasks - job.completed_count - len(job.unstored)
                shard = state.shard_by_team[spec.team]
                urgent[shard] += remaining_tasks * spec.cpus
                if not spec.spot:
                    on_demand[shard] += remaining_tasks * spec.cpus
            else:
                deferrable += (spec.tasks - job.completed_count) * spec.cpus
        return Demand(urgent, on_demand, deferrable)

    def sample(self, now: float, demand: Demand) -> None:
        """Add a measurement to all peaks; the fleet's are capped at the sum of team limits."""
        cpus_limit = sum(team.cpus_limit for team in self.cluster.teams)
        urgent_cpus = min(demand.total_urgent, cpus_limit)
        self.urgent_peak.add(now, urgent_cpus)
        self.urgent_spot_peak.add(now, urgent_cpus)
        for shard, cpus in demand.urgent.items():
            self.shard_peaks[shard].add(now, cpus)
            self.on_demand_peaks[shard].add(now, demand.on_demand[shard])

    def sample_shard(self, now: float, shard: int, demand: Demand) -> None:
        """Add a measurement to the peak of one shard only, between plans."""
        self.shard_peaks[shard].add(now, demand.urgent[shard])

    def warm_targets(self) -> WarmTargets:
        """Return the warm capacity to keep for urgent work."""
        return WarmTargets(self.urgent_peak.value(), self.urgent_spot_peak.value())

    def reserved_type_names(self) -> set[str]:
        """Return the names of the types that are reserved for tasks that fit no other type."""
        return {name for names in self.reserved_types.last_demand for name in names}

"""How much work waits, of which kind, and the peaks that room is kept for."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.autoscaling.sliding_maximum import SlidingMaximum
from copperpass.core.autoscaling.state import ManagerContext, ManagerState
from copperpass.core.autoscaling.urgency import is_urgent
from copperpass.core.scheduling.guarantees import assess_guarantees
from copperpass.core.scheduling.objectives import ServiceLevelObjectives
from copperpass.core.scheduling.reserved_types import ReservedTypes

# A shard's own peak is kept for longer: the fewer its jobs, the more they vary.
SHARD_WINDOW = 2.4


@dataclass(frozen=True, slots=True)
class WarmTargets:
    """CPUs to keep up for demand that can't wait for a boot.

    Room on cheap machines is kept for longer than capacity on dear ones.
    """

    total_cpus: float
    spot_cpus: float


@dataclass(frozen=True, slots=True)
class Demand:
    """CPUs of all work that isn't done.

    Urgent is what can't wait for a boot; `on_demand` is its part that may use ordinary machines
    only. Both by shard.
    """

    urgent: dict[int, float]
    on_demand: dict[int, float]
    patient: float

    @property
    def total_urgent(self) -> float:
        """The urgent work of all shards."""
        return sum(self.urgent.values())


class DemandTracker:
    """Measures demand and keeps its peaks over sliding windows."""

    def __init__(self, context: ManagerContext, state: ManagerState) -> None:
        tuning = context.tuning
        self.state, self.cluster, self.jobs = state, context.cluster, context.jobs
        self.slos = ServiceLevelObjectives(context.cluster.objectives, tuning.patience_s)
        self.reserved_types = ReservedTypes(context.types, tuning.keep_scarce_s)
        warm_s = tuning.warm_window_boots * state.boot_s
        self.urgent_peak = SlidingMaximum(warm_s)
        self.urgent_spot_peak = SlidingMaximum(tuning.cheap_window_boots * state.boot_s)
        window = SHARD_WINDOW * tuning.warm_window_boots * state.boot_s
        self.shard_peaks = {number: SlidingMaximum(window) for number in state.shards}
        # Urgent work that may use ordinary machines only.
        self.on_demand_peaks = {number: SlidingMaximum(warm_s) for number in state.shards}

    def measure(self, now: float) -> Demand:
        """Sum up the work that is left; judges on the way which jobs are guaranteed."""
        state = self.state
        urgent: dict[int, float] = dict.fromkeys(state.shards, 0.0)
        on_demand: dict[int, float] = dict.fromkeys(state.shards, 0.0)
        patient = 0.0
        jobs = list(self.jobs.jobs.values())
        assess_guarantees(jobs, {team.name: team.cpus for team in self.cluster.teams})
        self.reserved_types.observe(now, jobs)
        for job in jobs:
            cannot_wait = is_urgent(job, self.slos, state.boot_s)
            if cannot_wait and job.spec.team in state.shard_of:
                left = job.spec.tasks - job.done_count - len(job.finished)
                number = state.shard_of[job.spec.team]
                urgent[number] += left * job.spec.cpus
                if not job.spec.spot:
                    on_demand[number] += left * job.spec.cpus
            else:
                patient += (job.spec.tasks - job.done_count) * job.spec.cpus
        return Demand(urgent, on_demand, patient)

    def sample(self, now: float, demand: Demand) -> None:
        """Take a measure into all peaks."""
        limit = sum(team.cpus_limit for team in self.cluster.teams)
        total = demand.total_urgent
        self.urgent_peak.add(now, min(total, limit))
        self.urgent_spot_peak.add(now, min(total, limit))
        for number, cpus in demand.urgent.items():
            self.shard_peaks[number].add(now, cpus)
            self.on_demand_peaks[number].add(now, demand.on_demand[number])

    def sample_shard(self, now: float, number: int, demand: Demand) -> None:
        """Take a measure into one shard's peak, between plans."""
        self.shard_peaks[number].add(now, demand.urgent[number])

    def warm(self) -> WarmTargets:
        """The room to keep up for urgent work."""
        return WarmTargets(self.urgent_peak.value(), self.urgent_spot_peak.value())

    def reserved_type_names(self) -> set[str]:
        """The types that are kept for work that fits no other."""
        return {name for names in self.reserved_types.last_demand for name in names}

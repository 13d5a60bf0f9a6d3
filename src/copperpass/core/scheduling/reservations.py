"""Room that is reserved: scarce types for large tasks, ordinary machines for who needs them."""

from __future__ import annotations

from copperpass.core.autoscaling.sliding_maximum import SlidingMaximum
from copperpass.core.autoscaling.urgency import needs_on_demand
from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.bin_packing.ranking import PlacementPolicy
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.reserved_types import ReservedTypes
from copperpass.core.scheduling.state import ShardState

# The part of its patience after which a job none of whose tasks has started finds any room.
STARVATION_SHARE = 0.6


class Reservations:
    """What is reserved from whom, and the policy for a job's placement that follows from it."""

    def __init__(self, context: SchedulerContext, state: ShardState) -> None:
        self.state, self.tuning = state, context.tuning
        self.reserved_types = ReservedTypes(context.types, self.tuning.keep_scarce_s)
        # Ordinary machines that are kept for work that may use no other.
        self.reserved_machines: frozenset[str] = frozenset()
        self.on_demand_peak = SlidingMaximum(self.tuning.warm_window_boots * state.timing.boot_s)

    def is_starving(self, job: Job, now: float) -> bool:
        """Whether none of a job's tasks has had a place for so long that nothing is kept from it.

        Room that is kept or held for others must not let a job wait beside it without a bound,
        also when some of its tasks have ended before.
        """
        waits = not job.placed and not job.finished
        since = max(job.arrived, job.last_placed) if job.done_count else job.arrived
        return waits and now - since > STARVATION_SHARE * self.tuning.patience_s

    def policy(self, job: Job, starving: bool, spot_only: bool, urgent: bool) -> PlacementPolicy:
        """Where the job's tasks may be started in this round, whether a gang's or single ones."""
        return PlacementPolicy(
            reserved_types=frozenset() if starving else self.reserved_types.reserved_from(job.spec),
            smallest_large_tasks=self.reserved_types.smallest_tasks,
            spot_only=spot_only,
            urgent=urgent,
            reserved_machines=frozenset() if job.spec.gang else self.reserved_machines,
            ignore_reservations=starving,
        )

    def reserve_on_demand(self, now: float, jobs: list[Job], usable: list[Machine]) -> None:
        """Choose the ordinary machines that are kept from work that may use cheap ones.

        Work that needs ordinary room and can't wait for a boot would otherwise find it taken by
        work that could have gone elsewhere; gangs need it in one zone at that, and whole.
        """
        slos, boot_s = self.state.slos, self.state.timing.boot_s
        self.on_demand_peak.add(
            now,
            sum(
                job.spec.cpus * (job.spec.tasks - job.done_count)
                for job in jobs
                if needs_on_demand(job, slos, boot_s)
            ),
        )
        need = self.on_demand_peak.value()
        reserved: set[str] = set()
        if need > 0:
            for machine in self._on_demand_by_preference(usable):
                if need <= 0:
                    break
                need -= machine.type.cpus
                reserved.add(machine.name)
        self.reserved_machines = frozenset(reserved)

    def _on_demand_by_preference(self, usable: list[Machine]) -> list[Machine]:
        """Those that are kept stay so, and whole zones before parts of many."""
        zones: dict[str, float] = {}
        ordinary = [machine for machine in usable if not machine.spot]
        for machine in ordinary:
            zones[machine.zone] = zones.get(machine.zone, 0.0) + machine.type.cpus
        ordinary.sort(
            key=lambda m: (m.name not in self.reserved_machines, -zones[m.zone], m.zone, m.name)
        )
        return ordinary

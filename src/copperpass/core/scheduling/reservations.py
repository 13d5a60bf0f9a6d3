"""Reserved capacity: types for large tasks, on-demand machines for those who can't use spot."""

from __future__ import annotations

from copperpass.core.autoscaling.sliding_maximum import SlidingMaximum
from copperpass.core.autoscaling.urgency import needs_on_demand
from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.ranking import PlacementPolicy
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.reserved_types import ReservedTypes
from copperpass.core.scheduling.state import ShardState

# The part of the longest wait after which a job without any placement ignores reservations.
STARVATION_SHARE = 0.6


def reserve_machine(machine: Machine, job_id: str, until: float, ready_at: float = 0.0) -> None:
    """Reserve a machine's free capacity for a job, in place of an earlier reservation.

    `ready_at`: when all capacity that a gang waits for will be free; short work may run before.
    """
    machine.reserved_for_job, machine.reserved_until = job_id, until
    machine.reservation_ready_at = ready_at


class Reservations:
    """What is reserved from whom, and the placement policy of a job that follows from it.

    Reservations of single machines are kept on the machines, see `reserve_machine`.
    """

    def __init__(self, context: SchedulerContext, state: ShardState) -> None:
        self.state, self.tuning = state, context.tuning
        self.reserved_types = ReservedTypes(context.types, self.tuning.keep_scarce_s)
        # On-demand machines that are reserved for work that may use no other.
        self.reserved_machines: frozenset[str] = frozenset()
        # The CPUs of jobs that can't wait for an on-demand machine to boot.
        self.on_demand_peak = SlidingMaximum(self.tuning.warm_window_boots * state.timing.boot_s)

    def is_starving(self, job: Job, now: float) -> bool:
        """Whether a job has been without any placement for so long that no reservation binds it.

        Capacity that is reserved for others must not let a job wait beside it without a bound,
        also when some of its tasks have completed before.
        """
        without_placement = not job.assigned and not job.unstored
        since = max(job.arrived_at, job.last_assigned_at) if job.completed_count else job.arrived_at
        return without_placement and now - since > STARVATION_SHARE * self.tuning.patience_s

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
        """Choose the on-demand machines that are reserved from work that may use spot machines.

        Work that needs on-demand capacity and can't wait for a boot would otherwise find it taken
        by work that could have gone elsewhere; gangs need it in one zone at that, and whole.
        """
        slos, boot_s = self.state.slos, self.state.timing.boot_s
        self.on_demand_peak.add(
            now,
            sum(
                job.spec.cpus * (job.spec.tasks - job.completed_count)
                for job in jobs
                if needs_on_demand(job, slos, boot_s)
            ),
        )
        missing_cpus = self.on_demand_peak.value()
        reserved: set[str] = set()
        if missing_cpus > 0:
            for machine in self._on_demand_by_preference(usable):
                if missing_cpus <= 0:
                    break
                missing_cpus -= machine.type.cpus
                reserved.add(machine.name)
        self.reserved_machines = frozenset(reserved)

    def _on_demand_by_preference(self, usable: list[Machine]) -> list[Machine]:
        """Machines that are reserved stay so, and whole zones come before parts of many."""
        zone_cpus: dict[str, float] = {}
        on_demand = [machine for machine in usable if not machine.spot]
        for machine in on_demand:
            zone_cpus[machine.zone] = zone_cpus.get(machine.zone, 0.0) + machine.type.cpus
        on_demand.sort(
            key=lambda machine: (
                machine.name not in self.reserved_machines,
                -zone_cpus[machine.zone],
                machine.zone,
                machine.name,
            )
        )
        return on_demand

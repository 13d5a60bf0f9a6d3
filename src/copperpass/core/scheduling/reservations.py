"""Reserved capacity: machine types for large tasks, on-demand machines for non-spot jobs."""

from __future__ import annotations

from copperpass.core.autoscaling.sliding_maximum import SlidingMaximum
from copperpass.core.autoscaling.urgency import needs_on_demand
from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.ranking import PlacementPolicy
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.reserved_types import ReservedTypes
from copperpass.core.scheduling.state import ShardState

# A job ignores reservations once it has had no placement for this fraction of `patience_s`, the
# bound on the wait of jobs without a target that can still be met.
STARVATION_SHARE = 0.6


def reserve_machine(machine: Machine, job_id: str, until: float, ready_at: float = 0.0) -> None:
    """Reserve a machine's free capacity for a job, in place of an earlier reservation.

    For a gang, `ready_at` is when all of its reserved capacity will be free. Tasks that end well
    before then may still use the machine.
    """
    machine.reserved_for_job, machine.reserved_until = job_id, until
    machine.reservation_ready_at = ready_at


class Reservations:
    """Reserved machine types and on-demand machines, and each job's resulting placement policy.

    Reservations of a machine for one job are stored on the machine, see `reserve_machine`.
    """

    def __init__(self, context: SchedulerContext, state: ShardState) -> None:
        self.state, self.tuning = state, context.tuning
        self.reserved_types = ReservedTypes(context.types, self.tuning.keep_scarce_s)
        # Names of the on-demand machines reserved for jobs that may not use spot machines.
        self.reserved_machines: frozenset[str] = frozenset()
        # The CPUs of jobs that need on-demand machines and can't wait for one to boot.
        self.on_demand_peak = SlidingMaximum(self.tuning.warm_window_boots * state.timing.boot_s)

    def is_starving(self, job: Job, now: float) -> bool:
        """Whether a job has had no placement for so long that it may ignore reservations.

        This bounds how long a job can wait while capacity is reserved for others. It also applies
        to a job that has completed some of its tasks.
        """
        without_placement = not job.assigned and not job.unstored
        unplaced_since = (
            max(job.arrived_at, job.last_assigned_at) if job.completed_count else job.arrived_at
        )
        return (
            without_placement and now - unplaced_since > STARVATION_SHARE * self.tuning.patience_s
        )

    def policy(self, job: Job, starving: bool, spot_only: bool, urgent: bool) -> PlacementPolicy:
        """Return the policy for placing a job's tasks in this round, as a gang or one by one."""
        return PlacementPolicy(
            reserved_types=frozenset()
            if starving
            else self.reserved_types.excluded_types(job.spec),
            smallest_large_tasks=self.reserved_types.smallest_tasks,
            spot_only=spot_only,
            urgent=urgent,
            reserved_machines=frozenset() if job.spec.gang else self.reserved_machines,
            ignore_reservations=starving,
        )

    def reserve_on_demand(self, now: float, jobs: list[Job], usable: list[Machine]) -> None:
        """Choose the on-demand machines to reserve for jobs that may not use spot machines.

        Otherwise jobs that could run elsewhere would take on-demand capacity from jobs that need it
        and can't wait for a machine to boot. Gangs also need all of their capacity at once and in
        one zone.
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
        cpus_to_reserve = self.on_demand_peak.value()
        reserved: set[str] = set()
        if cpus_to_reserve > 0:
            for machine in self._on_demand_by_preference(usable):
                if cpus_to_reserve <= 0:
                    break
                cpus_to_reserve -= machine.type.cpus
                reserved.add(machine.name)
        self.reserved_machines = frozenset(reserved)

    def _on_demand_by_preference(self, usable: list[Machine]) -> list[Machine]:
        """Sort the on-demand machines by preference for a reservation.

        Machines that are already reserved come first. Then come the zones with the most on-demand
        CPUs, so that whole zones are reserved rather than parts of many.
        """
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

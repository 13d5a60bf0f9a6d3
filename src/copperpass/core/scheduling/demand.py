"""Demand of the shard's teams: usage, startable jobs, capacity requests and claims."""

from __future__ import annotations

from copperpass.core.autoscaling.bin_packing import (
    pack_gang,
    pack_tasks,
    with_zone_affinity,
    without_exhausted,
)
from copperpass.core.autoscaling.free_capacity import free_capacities
from copperpass.core.jobs.job import Job
from copperpass.core.scheduling import allocation
from copperpass.core.scheduling.bin_packing.feasibility import (
    CAPACITY_TOLERANCE,
    SMALL_TASK_SLOTS,
    feasible_on_type,
    satisfies_constraints,
)
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.quota import PossibleUsage
from copperpass.core.scheduling.reservations import Reservations
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_order import task_order
from copperpass.core.scheduling.task_statuses import MIN_MACHINES_OF_FAULTY_JOB
from copperpass.protocol.frames.messages import PendingTasks
from copperpass.protocol.users import JobSpec

# The horizon of requests for a job that has had no placement for too long.
STARVING_HORIZON_S = -1.0
# A machine's type, its zone, and whether it is a spot machine.
MachineKind = tuple[str, str, bool]


class Demand:
    """Computes which jobs may start or need machines, and what the teams use and claim.

    All results are computed from the state. Only `zone_affinities` is kept, from the latest
    capacity requests.
    """

    def __init__(
        self, context: SchedulerContext, state: ShardState, reservations: Reservations
    ) -> None:
        self.state, self.reservations = state, reservations
        self.types, self.machines = context.types, state.machines
        self.has_gpu_quotas = context.cluster.has_gpu_quotas
        # The zones, by job id, of jobs that need machines and may run only in the zone of their
        # placed tasks.
        self.zone_affinities: dict[str, str] = {}

    def capacity_requests(self, now: float) -> list[PendingTasks]:
        """Return tasks for which the machines have no capacity in time, by start deadline."""
        state, timing = self.state, self.state.timing
        waiting = [job for job in state.own_jobs() if job.pending_count() > 0]
        if not waiting:
            return []
        capacities = free_capacities(self.machines.values(), now, timing.heartbeat_timeout_s)
        unreported_kinds = self.unreported_kinds()
        smallest_cpus = min(job.spec.cpus for job in waiting)
        requests = []
        self.zone_affinities.clear()
        requested_cpus = {team: state.quota_usage.of(team)[0] for team in state.teams_by_name}
        for job in task_order(waiting, state.slos, now, timing.boot_s / 2):
            # No machines are needed for tasks that may already run on machines from which no
            # heartbeat has arrived yet.
            if not self.is_startable(job, now, unreported_kinds):
                continue
            count = self._count_under_limit(job, requested_cpus)
            if count is None:
                continue
            starving = self.reservations.is_starving(job, now)
            horizon_s = 0.0 if starving else self._horizon_s(job, now)
            spec = self._with_affinity(job)
            pack = pack_gang if spec.gang else pack_tasks
            reserved = self.reservations.reserved_types.excluded_types(spec)
            unplaced_count = pack(
                capacities, spec, count, horizon_s, set() if starving else reserved
            )
            if unplaced_count > 0:
                requested_horizon_s = STARVING_HORIZON_S if starving else horizon_s
                requests.append(PendingTasks(spec.id, unplaced_count, requested_horizon_s))
                # Otherwise each waiting job would examine each full machine.
                capacities = without_exhausted(capacities, smallest_cpus)
        return requests

    def _horizon_s(self, job: Job, now: float) -> float:
        """Return in how many seconds the job needs capacity for its next task."""
        if job.spec.gang and job.assigned:
            # The placed tasks of the gang wait for the rest, and hold their capacity until then.
            return 0.0
        return max(0.0, self.state.slos.capacity_deadline(job, now) - now)

    def _with_affinity(self, job: Job) -> JobSpec:
        """Return the job's spec, restricted to the zone to which its placed tasks bind the rest."""
        machines = self.machines
        zones = (machines[name].zone for name in job.assigned.values() if name in machines)
        spec = with_zone_affinity(job.spec, zones)
        if spec.one_zone and spec.zone is not None:
            self.zone_affinities[spec.id] = spec.zone
        return spec

    def _count_under_limit(self, job: Job, requested_cpus: dict[str, float]) -> int | None:
        """Return how many tasks of a job may request machines under its team's limit.

        Adds the job's tasks to the team's `requested_cpus`. None if the limit doesn't allow a whole
        gang, which then needs no machines.
        """
        spec, count = job.spec, job.pending_count()
        free_quota = self.state.teams_by_name[spec.team].cpus_limit - requested_cpus[spec.team]
        if len(job.failed_on) >= MIN_MACHINES_OF_FAULTY_JOB and not spec.gang:
            # The job is probably faulty, but until it is cancelled it must find capacity for
            # retries.
            count = 1
        requested_cpus[spec.team] += count * spec.cpus
        if spec.cpus > 0:
            allowed = max(0.0, free_quota / spec.cpus + CAPACITY_TOLERANCE)
            if spec.gang and allowed < count:
                return None
            count = int(min(count, allowed))
        elif not spec.gang:
            # No limit applies to tasks without CPUs. One machine at a time is requested for them.
            count = min(count, SMALL_TASK_SLOTS)
        return count

    def possible_usage(self) -> dict[str, PossibleUsage]:
        """Return what each team's tasks use or may use.

        Capacity that unidentified tasks may use counts for every team: the free capacity of
        machines whose tasks are not all identified, and the whole capacity of machines of other
        shards that may hold tasks of this shard.
        """
        state, types = self.state, self.types
        unidentified_cpus = unidentified_gpus = 0.0
        for name in state.unreconciled | state.quota_usage.unidentified:
            cpus, gpus, _ = self.machines[name].free_capacity()
            unidentified_cpus += max(0.0, cpus)
            unidentified_gpus += max(0.0, gpus)
        for type_name, _, _ in state.other_shard_machines.values():
            if type_name in types:
                unidentified_cpus += types[type_name].cpus
                unidentified_gpus += types[type_name].gpus
        return {
            team.name: PossibleUsage(*state.quota_usage.of(team.name)).plus(
                unidentified_cpus, unidentified_gpus
            )
            for team in state.teams
        }

    def is_startable(
        self, job: Job, now: float, unreported_kinds: set[MachineKind] | None = None
    ) -> bool:
        """Whether tasks of a job may be started, regardless of capacity.

        A caller with many jobs passes `unreported_kinds()`, so that the machines are scanned once.
        """
        state = self.state
        if now < job.backoff_until or job.gang_ending or job.cancelled:
            return False
        if job.created_revision > state.required_revision or not (
            state.unreconciled or state.other_shard_machines
        ):
            return True
        # Tasks of a job that is older than this assignment may still run on machines that have sent
        # no heartbeat since, but only on machines that the job allows and that can hold a task.
        if unreported_kinds is None:
            unreported_kinds = self.unreported_kinds()
        return not any(self._may_hold(job.spec, kind) for kind in unreported_kinds)

    def _may_hold(self, spec: JobSpec, kind: MachineKind) -> bool:
        """Whether a machine of a kind may hold a task of a job."""
        type_name, zone, spot = kind
        machine_type = self.types.get(type_name)
        return machine_type is None or (
            satisfies_constraints(spec, machine_type, zone, spot)
            and feasible_on_type(spec, machine_type)
        )

    def unreported_kinds(self) -> set[MachineKind]:
        """Return the kinds of machines that may hold tasks which have not been reported yet."""
        kinds = set(self.state.other_shard_machines.values())
        for name in self.state.unreconciled:
            machine = self.machines[name]
            kinds.add((machine.type.name, machine.zone, machine.spot))
        return kinds

    def claims(self) -> list[allocation.Claim]:
        """Return the capacity claim of each team with tasks, from the mean of its latest tasks."""
        claims = []
        task_counts: dict[str, int] = {}
        for job in self.state.own_jobs():
            team_name = job.spec.team
            tasks = job.pending_count() + len(job.assigned)
            task_counts[team_name] = task_counts.get(team_name, 0) + tasks
        for team in self.state.teams:
            recent = self.state.recent_tasks[team.name]
            if not recent or not task_counts.get(team.name):
                continue
            cpus, gpus, memory_gb = (
                sum(task[resource] for task in recent) / len(recent) for resource in range(3)
            )
            cap = float(task_counts[team.name])
            if cpus > 0:
                cap = min(cap, team.cpus_limit / cpus)
            weight = allocation.weight_of_quota(team.cpus, team.gpus, self.has_gpu_quotas)
            second_resource = gpus if self.has_gpu_quotas else memory_gb
            claims.append(allocation.Claim(team.name, (cpus, second_resource), weight, cap))
        return claims

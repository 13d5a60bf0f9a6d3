"""What the shard's teams use, may start, claim, and want machines for."""

from __future__ import annotations

from copperpass.core.autoscaling.bin_packing import (
    pack_gang,
    pack_tasks,
    with_zone_affinity,
    without_exhausted,
)
from copperpass.core.autoscaling.free_capacity import free_capacities
from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling import allocation
from copperpass.core.scheduling.bin_packing.feasibility import (
    CAPACITY_TOLERANCE,
    feasible_on_type,
    satisfies_constraints,
)
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.quota import ResourceUsage
from copperpass.core.scheduling.reservations import Reservations
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_order import task_order
from copperpass.core.scheduling.task_statuses import FAILED_MACHINES
from copperpass.protocol.frames.messages import PendingTasks

# A machine's type, its zone, and whether it is a spot machine.
MachineKind = tuple[str, str, bool]


class Demand:
    """Answers what jobs may start, what teams take, and which tasks need machines."""

    def __init__(
        self, context: SchedulerContext, state: ShardState, reservations: Reservations
    ) -> None:
        self.state, self.reservations = state, reservations
        self.types, self.machines = context.types, state.machines
        self.gpus_matter = context.cluster.gpus_matter
        # Jobs in need of machines that may only run in the zone where others of their tasks are.
        self.zone_affinities: dict[str, str] = {}

    def capacity_requests(self, now: float) -> list[PendingTasks]:
        """Tasks that the machines have no room for in time, the most urgent first."""
        state, timing = self.state, self.state.timing
        waiting = [job for job in state.own_jobs() if job.waiting() > 0]
        if not waiting:
            return []
        capacities = free_capacities(self.machines.values(), now, timing.silence_s)
        unreported_kinds = self.unreported_kinds()
        least_cpus = min(job.spec.cpus for job in waiting)
        unmet = []
        self.zone_affinities.clear()
        taken = {team: state.tally.of(team)[0] for team in state.by_team}
        for job in task_order(waiting, state.slos, now, timing.boot_s / 2):
            # Tasks that may be running where we have not looked yet need no machines.
            if not self.is_startable(job, now, unreported_kinds):
                continue
            count = self._count_under_limit(job, taken)
            if count is None:
                continue
            horizon = max(0.0, state.slos.capacity_deadline(job, now) - now)
            if job.spec.gang and job.placed:
                # The rest of a gang waits for it: what they take isn't free before.
                horizon = 0.0
            where = (self.machines[m].zone for m in job.placed.values() if m in self.machines)
            spec = with_zone_affinity(job.spec, where)
            if spec.one_zone and spec.zone is not None:
                self.zone_affinities[spec.id] = spec.zone
            pack = pack_gang if spec.gang else pack_tasks
            closed = self.reservations.reserved_types.reserved_from(spec)
            left = pack(capacities, spec, count, horizon, closed)
            if left > 0:
                unmet.append(PendingTasks(spec.id, left, horizon))
                # Without it each job that waits would look at each full machine.
                capacities = without_exhausted(capacities, least_cpus)
        return unmet

    def _count_under_limit(self, job: Job, taken: dict[str, float]) -> int | None:
        """How many tasks of a job may want machines under its team's limit; adds to `taken`.

        None: the limit has no room for the whole of a gang, so it needs no machines.
        """
        spec, count = job.spec, job.waiting()
        free_quota = self.state.by_team[spec.team].cpus_limit - taken[spec.team]
        if len(job.failed_on) >= FAILED_MACHINES and not spec.gang:
            # Probably it has a mistake; but it must find room to try again while it is wanted.
            count = 1
        taken[spec.team] += count * spec.cpus
        if spec.cpus > 0:
            under = max(0.0, free_quota / spec.cpus + CAPACITY_TOLERANCE)
            if spec.gang and under < count:
                return None
            count = int(min(count, under))
        return count

    def usage(self) -> dict[str, ResourceUsage]:
        """What each team's tasks use, or may use: all that could run unseen counts for every team.

        That is the free capacity of machines whose tasks are not all identified, and the whole of
        machines of other shards that may hold tasks of this one.
        """
        state, types = self.state, self.types
        unidentified_cpus = unidentified_gpus = 0.0
        for name in state.unsettled | state.tally.unidentified:
            cpus, gpus, _ = self.machines[name].free_capacity()
            unidentified_cpus += max(0.0, cpus)
            unidentified_gpus += max(0.0, gpus)
        for type_name, _, _ in state.elsewhere.values():
            if type_name in types:
                unidentified_cpus += types[type_name].cpus
                unidentified_gpus += types[type_name].gpus
        return {
            team.name: ResourceUsage(*state.tally.of(team.name)).plus(
                unidentified_cpus, unidentified_gpus
            )
            for team in state.teams
        }

    def is_startable(
        self, job: Job, now: float, unreported_kinds: set[MachineKind] | None = None
    ) -> bool:
        """Whether tasks of a job may be started, room or not.

        A caller with many jobs passes `unreported_kinds()`, so the machines are scanned once.
        """
        state = self.state
        if now < job.backoff_until or job.ending or job.announce_cancelled:
            return False
        if job.created > state.required_revision or not (state.unsettled or state.elsewhere):
            return True
        # Tasks of a job from before our time may still run where we have not looked yet, but only
        # on machines that the job allows and that can hold one of its tasks.
        types = self.types
        return not any(
            kind not in types
            or (
                satisfies_constraints(job.spec, types[kind], zone, spot)
                and feasible_on_type(job.spec, types[kind])
            )
            for kind, zone, spot in (
                self.unreported_kinds() if unreported_kinds is None else unreported_kinds
            )
        )

    def unreported_kinds(self) -> set[MachineKind]:
        """The kinds of machines that may hold tasks which we have not seen."""
        unreported_kinds = set(self.state.elsewhere.values())
        for name in self.state.unsettled:
            machine = self.machines[name]
            unreported_kinds.add((machine.type.name, machine.zone, machine.spot))
        return unreported_kinds

    def claims(self) -> list[allocation.Claim]:
        """What each team with work claims of the machines, by its latest tasks."""
        claims = []
        demand: dict[str, int] = {}
        for job in self.state.own_jobs():
            waiting = job.waiting() + len(job.placed)
            demand[job.spec.team] = demand.get(job.spec.team, 0) + waiting
        for team in self.state.teams:
            recent = self.state.recent[team.name]
            if not recent or not demand.get(team.name):
                continue
            count = len(recent)
            cpus = sum(r[0] for r in recent) / count
            gpus = sum(r[1] for r in recent) / count
            memory = sum(r[2] for r in recent) / count
            cap = float(demand[team.name])
            if cpus > 0:
                cap = min(cap, team.cpus_limit / cpus)
            weight = allocation.weight_of_quota(team.cpus, team.gpus, self.gpus_matter)
            second = gpus if self.gpus_matter else memory
            claims.append(allocation.Claim(team.name, (cpus, second), weight, cap))
        return claims

"""The dispatch round: which waiting tasks start now, and where.

Teams take turns by what their allocation leaves them, a team's jobs by urgency, machines by fit.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling import allocation
from copperpass.core.scheduling.bin_packing.feasibility import fits_within
from copperpass.core.scheduling.bin_packing.ranking import Ranking
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.demand import Demand
from copperpass.core.scheduling.gang_placer import GangPlacer
from copperpass.core.scheduling.guarantees import assess_guarantees
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.preemption import Preemption
from copperpass.core.scheduling.reservation_planning import machine_to_reserve
from copperpass.core.scheduling.reservations import Reservations, reserve_machine
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_order import limit_past_deadline_share, task_order
from copperpass.core.scheduling.tasks import TaskLifecycle

# The part of a shard's room that overdue work gets before work that can still be in time.
PAST_DEADLINE_SHARE = 0.5
# A task is large if it takes as many times the CPUs of the smallest one about.
LARGE_FACTOR = 4
# The time to the next round: at least, and for each job that waits.
LEAST_PAUSE_S, PAUSE_PER_JOB_S = 0.01, 0.002
# A team without an allocation comes after all that have one.
NO_ALLOCATION = 1e3
# Stands for gangs among the teams that room is held for.
GANGS = "gang"


@dataclass(frozen=True, slots=True)
class QuotaReservation:
    """Room under a team's limit that is held for one gang or large task."""

    # When its job came: what has waited for longer isn't held up.
    arrived: float
    cpus: float
    gpus: float


NO_RESERVATION = QuotaReservation(0.0, 0.0, 0.0)


class Dispatcher:
    """Runs dispatch rounds, and keeps what passes from one to the next."""

    def __init__(
        self,
        context: SchedulerContext,
        state: ShardState,
        commands: Commands,
        tasks: TaskLifecycle,
        reservations: Reservations,
        demand: Demand,
        gangs: GangPlacer,
        preemption: Preemption,
        now: float,
    ) -> None:
        self.state, self.commands, self.tasks = state, commands, tasks
        self.reservations, self.demand, self.gangs = reservations, demand, gangs
        self.preemption, self.tuning = preemption, context.tuning
        self.allocations: allocation.Allocation | None = None
        # Jobs that found no room in the latest round and are due before a machine would boot.
        self.urgent: set[str] = set()
        self.next_round_at = now

    def run_round(self, now: float) -> None:
        """Start what can be started."""
        state = self.state
        state.dirty = False
        jobs = state.own_jobs()
        for job in jobs:
            if job.placed:
                job.last_placed = now
        self.reservations.reserved_types.observe(now, jobs)
        if all(job.waiting() <= 0 for job in jobs):
            # Most reports of a quiet hour change nothing that could be started.
            state.needs_machines, self.urgent = False, set()
            self.next_round_at = now + LEAST_PAUSE_S
            return
        silence_s = state.timing.silence_s
        usable = [m for m in state.machines.values() if m.usable(now, silence_s)]
        capacity = self._capacity(usable)
        self.allocations = allocation.allocate(self.demand.claims(), capacity)
        current = DispatchRound(self, now, jobs, usable, PAST_DEADLINE_SHARE * capacity[0])
        self.reservations.reserve_on_demand(now, jobs, usable)
        current.place_all()
        for machine in {m.name: m for m in current.started_on}.values():
            self.commands.send(now, machine)
        self._flag_urgent(now, current.unplaced)
        if current.unplaced and self.tuning.preemption:
            self.preemption.preempt(now, current.unplaced, usable, current.used)
        # The next round comes sooner when idle and later under load: a batch widens with it.
        most = state.timing.report_s / 4
        self.next_round_at = now + min(most, LEAST_PAUSE_S + PAUSE_PER_JOB_S * current.backlog)

    def _capacity(self, usable: list[Machine]) -> tuple[float, float]:
        """CPUs, and the second resource that the allocation is about."""
        gpus_matter = self.demand.gpus_matter
        return (
            sum(m.type.cpus for m in usable),
            sum(m.type.gpus if gpus_matter else m.type.memory_gb for m in usable),
        )

    def _flag_urgent(self, now: float, unplaced: Iterable[Job]) -> None:
        """Have the leader told at once of jobs that have become urgent."""
        slos, boot_s = self.state.slos, self.state.timing.boot_s
        urgent = {job.spec.id for job in unplaced if slos.start_deadline(job, now) - now < boot_s}
        self.state.needs_machines = bool(urgent - self.urgent)
        self.urgent = urgent


class DispatchRound:
    """One dispatch round: the queues, what teams use, and what has been started so far."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        now: float,
        jobs: list[Job],
        usable: list[Machine],
        past_deadline_quota: float,
    ) -> None:
        self.now, self.usable, self.past_deadline_quota = now, usable, past_deadline_quota
        self.state, self.tasks = dispatcher.state, dispatcher.tasks
        self.reservations, self.gangs = dispatcher.reservations, dispatcher.gangs
        self.tuning, self.slos = dispatcher.tuning, dispatcher.state.slos
        self.boot_s = dispatcher.state.timing.boot_s
        self.targets = dispatcher.allocations.tasks if dispatcher.allocations else {}
        self.used = dispatcher.demand.usage()
        self._fill_queues(dispatcher.demand, jobs)
        self.smallest_cpus = min((j.spec.cpus for j in jobs if j.spec.cpus > 0), default=0.0)
        self.candidates = [
            m for m in usable if fits_within(self.smallest_cpus, m.type.cpus - m.used_cpus)
        ]
        # By team.
        self.quota_reservations: dict[str, QuotaReservation] = {}
        # For whom a large gap has been held in this round: teams, or `GANGS`.
        self.reserving: set[str] = set()
        # Jobs that room is held for, by stopping tasks or for want of a large gap.
        self.jobs_with_reservation = {m.reserved_for_job for m in usable if now < m.reserved_until}
        # Jobs that found no room.
        self.unplaced: list[Job] = []
        # Where tasks have been started, in order.
        self.started_on: list[Machine] = []
        self.rankings: dict[str, Ranking] = {}
        # Shapes that found no room: it only shrinks within a round.
        self.infeasible_shapes: set[tuple[object, ...]] = set()

    def _fill_queues(self, demand: Demand, jobs: list[Job]) -> None:
        """Queue each team's jobs that may start, by urgency, and count its tasks."""
        now, slos, teams = self.now, self.slos, self.state.teams
        assess_guarantees(jobs, {team.name: team.cpus for team in teams})
        self.running = {team.name: 0 for team in teams}
        queues: dict[str, list[Job]] = {team.name: [] for team in teams}
        unreported_kinds = demand.unreported_kinds()
        for job in jobs:
            name = job.spec.team
            self.running[name] = self.running.get(name, 0) + len(job.placed)
            if job.waiting() > 0 and demand.is_startable(job, now, unreported_kinds):
                queues.setdefault(name, []).append(job)
        self.backlog = sum(len(queue) for queue in queues.values())
        bonus = self.boot_s / 2
        self.queues = {name: task_order(queue, slos, now, bonus) for name, queue in queues.items()}
        self.past_deadline_cpus = sum(
            len(job.placed) * job.spec.cpus for job in jobs if slos.is_past_deadline(job, now)
        )
        for queue in self.queues.values():
            limit_past_deadline_share(
                queue, slos, now, self.past_deadline_cpus, self.past_deadline_quota
            )

    def place_all(self) -> None:
        """Start tasks until no queue has one that finds room."""
        while self.usable:
            names = [name for name, queue in self.queues.items() if queue]
            if not names:
                break
            name = min(names, key=lambda team: (self._allocation_used(team), team))
            job = self.queues[name][0]
            if job.spec.gang:
                self._place_gang(name, job)
            else:
                self._place_task(name, job)

    def _allocation_used(self, team: str) -> float:
        """How much of its allocation a team's tasks take; the least goes first."""
        target = self.targets.get(team, 0.0)
        running = self.running[team]
        return running / target if target > 0 else float(running) + NO_ALLOCATION

    def _count(self, name: str, job: Job, tasks: int) -> None:
        """Count started tasks against their team."""
        spec, used = job.spec, self.used[name]
        self.used[name] = (used[0] + tasks * spec.cpus, used[1] + tasks * spec.gpus)
        self.running[name] += tasks

    def _place_gang(self, name: str, job: Job) -> None:
        """Start a gang whole, or see that it finds room later."""
        now, spec = self.now, job.spec
        self.queues[name].pop(0)
        placed = self.gangs.place(now, job, self.candidates, self.used[name], self.started_on)
        if placed:
            self.started_on += placed
            self._count(name, job, len(placed))
        elif placed is None:
            if (
                name not in self.quota_reservations
                and self.slos.start_deadline(job, now) - now < self.boot_s
            ):
                # Tasks of the team that come after it would take each gap under the limit.
                missing = len(job.missing())
                self.quota_reservations[name] = QuotaReservation(
                    job.arrived, missing * spec.cpus, missing * spec.gpus
                )
        else:
            self.unplaced.append(job)
            if GANGS not in self.reserving:
                # As in the design: freed room is held for one gang at a time.
                self.reserving.add(GANGS)
                self.jobs_with_reservation |= self.gangs.reserve_capacity(now, job, self.usable)

    def _place_task(self, name: str, job: Job) -> None:
        """Start the next task of a job, or take the job off its queue."""
        index = job.peek()
        if index is None:
            self.queues[name].pop(0)
            return
        now = self.now
        starving = self.reservations.is_starving(job, now)
        # Work that can wait does so for cheap room; dear room is for what can't.
        slack = self.slos.start_deadline(job, now) - now
        can_wait = slack > self.tuning.patient_boots * self.boot_s and not starving
        if self._over_limit(name, job, starving):
            self.queues[name].pop(0)
            self._reserve_quota(name, job, can_wait)
            return
        machine = self._find_machine(job, slack, can_wait, starving)
        if machine is None:
            self.queues[name].pop(0)
            self.unplaced.append(job)
            self._reserve_capacity(name, job, can_wait)
            return
        self.tasks.start(now, job, index, machine)
        if starving:
            # Its first task has room; for the rest what is kept for others is closed again.
            del self.rankings[job.spec.id]
        if self.past_deadline_cpus < self.past_deadline_quota and self.slos.is_past_deadline(
            job, now
        ):
            self.past_deadline_cpus += job.spec.cpus
            queue = self.queues[name]
            limit_past_deadline_share(
                queue, self.slos, now, self.past_deadline_cpus, self.past_deadline_quota
            )
        self.started_on.append(machine)
        self._count(name, job, 1)

    def _over_limit(self, name: str, job: Job, starving: bool) -> bool:
        """Whether one more task would exceed the team's limit, less what a gang waits for."""
        spec, team, used = job.spec, self.state.by_team[name], self.used[name]
        reservation = self.quota_reservations.get(name, NO_RESERVATION)
        if job.arrived <= reservation.arrived or starving:
            # What has waited for longer isn't held up: neither starves the other.
            reservation = NO_RESERVATION
        return not fits_within(
            used[0] + reservation.cpus + spec.cpus, team.cpus_limit
        ) or not fits_within(used[1] + reservation.gpus + spec.gpus, team.gpus_limit)

    def _reserve_quota(self, name: str, job: Job, can_wait: bool) -> None:
        """Hold room under its team's limit for a large task.

        As with gangs: small tasks of its team would take each gap under the limit.
        """
        if name not in self.quota_reservations and not can_wait and self._is_large(job):
            self.quota_reservations[name] = QuotaReservation(
                job.arrived, job.spec.cpus, job.spec.gpus
            )

    def _is_large(self, job: Job) -> bool:
        """Whether a job's tasks are large beside the smallest that are about."""
        return job.spec.cpus >= LARGE_FACTOR * self.smallest_cpus

    def _find_machine(
        self, job: Job, slack: float, can_wait: bool, starving: bool
    ) -> Machine | None:
        """The best machine for the job's next task."""
        spec = job.spec
        patient = self.state.on_demand_excess and spec.spot and can_wait
        shape = None
        if not (
            spec.types
            or spec.zone
            or spec.one_zone
            or spec.spread
            or spec.id in self.jobs_with_reservation
        ):
            # What large tasks leave is open to short work only.
            length_s = spec.estimate_s if self.reservations.reserved_types.smallest_tasks else 0.0
            shape = (spec.cpus, spec.gpus, spec.memory_gb, spec.spot, patient, starving, length_s)
        if shape in self.infeasible_shapes:
            return None
        ranking = self.rankings.get(spec.id)
        if ranking is None:
            policy = self.reservations.policy(job, starving, patient, slack < self.boot_s)
            ranking = self.rankings[spec.id] = Ranking(
                job, self.candidates, self.state.machines, self.now, policy, len(self.started_on)
            )
        machine = ranking.best(self.started_on)
        if machine is None and shape is not None:
            self.infeasible_shapes.add(shape)
        return machine

    def _reserve_capacity(self, name: str, job: Job, can_wait: bool) -> None:
        """Hold freed room for a large task, for one of them a team at a time, as with gangs.

        A large task never finds room among small ones that take each gap.
        """
        spec, now = job.spec, self.now
        if name in self.reserving or can_wait or not self._is_large(job):
            return
        self.reserving.add(name)
        machine = machine_to_reserve(job, self.usable, self.state.machines, now)
        if machine is not None:
            reserve_machine(machine, spec.id, now + self.state.timing.report_s)
            self.jobs_with_reservation.add(spec.id)

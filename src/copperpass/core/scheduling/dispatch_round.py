"""One dispatch round: chooses the pending tasks that start now, and their machines.

The next task comes from the team that has used the smallest fraction of its allocation. In a team,
jobs are ordered by start deadline. The machine is chosen by the ranking in `bin_packing`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import fits_within
from copperpass.core.scheduling.bin_packing.ranking import Ranking
from copperpass.core.scheduling.gang_placer import GangPlacer
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.quota import (
    QuotaReservation,
    exceeds_limit,
)
from copperpass.core.scheduling.reservation_planning import machine_to_reserve
from copperpass.core.scheduling.reservations import Reservations, reserve_machine
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.scheduling.team_queues import TeamQueues
from copperpass.tuning import Tuning

# A task is large if it takes at least this many times the CPUs of the smallest present task.
LARGE_TASK_RATIO = 4
# A round starts at most this many tasks besides those of its last gang; the next round goes on. It
# limits the time for which the controller's only thread serves nothing else.
MAX_STARTS_PER_ROUND = 1024
# The entry for all gangs in `reservation_holders`, whose other entries are team names.
GANG_HOLDER = "gang"

# CPUs, GPUs, GB of memory, may use spot machines, may use only spot machines, is starving,
# estimated run time in seconds (0 while no type is reserved for a present large task).
TaskShape = tuple[float, float, float, bool, bool, bool, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementComponents:
    """The components of a scheduler that a dispatch round uses to place tasks."""

    state: ShardState
    tuning: Tuning
    tasks: TaskLifecycle
    reservations: Reservations
    gangs: GangPlacer


class Urgency(NamedTuple):
    """How soon a job's next task must start."""

    # Seconds until its start deadline.
    slack_s: float
    # It can wait for spot capacity; on-demand capacity is left to jobs that can't wait.
    can_wait: bool
    # It has had no placement for so long that it may use capacity reserved for others.
    starving: bool


class DispatchRound:
    """The state of one dispatch round: its machines, started tasks and reservations.

    Invariant: within a round free capacity only shrinks.
    """

    def __init__(
        self,
        now: float,
        components: PlacementComponents,
        queues: TeamQueues,
        jobs: list[Job],
        usable: list[Machine],
    ) -> None:
        self.now, self.queues, self.usable = now, queues, usable
        self.state, self.tasks, self.tuning = components.state, components.tasks, components.tuning
        self.reservations, self.gangs = components.reservations, components.gangs
        self.slos, self.boot_s = components.state.slos, components.state.timing.boot_s
        self.smallest_cpus = min((job.spec.cpus for job in jobs if job.spec.cpus > 0), default=0.0)
        # The machines with enough free CPUs for the smallest task.
        self.candidates = [
            machine
            for machine in usable
            if fits_within(self.smallest_cpus, machine.type.cpus - machine.used_cpus)
        ]
        # At most one for each team.
        self.quota_reservations: dict[str, QuotaReservation] = {}
        # The teams for which capacity has been reserved in this round, and `GANG_HOLDER` if it has
        # been for a gang.
        self.reservation_holders: set[str] = set()
        # Jobs with a machine reserved for them: by preemption, or because they need much capacity
        # on one machine.
        self.jobs_with_reservation = {
            machine.reserved_for_job for machine in usable if now < machine.reserved_until
        }
        # Jobs with a pending task that no machine could take in this round.
        self.unplaced: list[Job] = []
        # The machines on which tasks have been started, in order of the starts.
        self.started_on: list[Machine] = []
        self.rankings: dict[str, Ranking] = {}
        # Shapes for which a search found no machine; the round does not search for them again.
        self.infeasible_shapes: set[TaskShape] = set()

    def place_all(self) -> None:
        """Start tasks until all queues are empty or the round has reached its limit.

        A job without a feasible machine leaves its queue for the rest of the round.
        """
        while self.usable and not self.is_full:
            job = self.queues.next_job()
            if job is None:
                break
            if job.spec.gang:
                self._place_gang(job)
            else:
                self._place_task(job)

    @property
    def is_full(self) -> bool:
        """Whether the round has started as many tasks as one round may start."""
        return len(self.started_on) >= MAX_STARTS_PER_ROUND

    def _place_gang(self, job: Job) -> None:
        """Start a gang as a whole; if it can't start, reserve quota or capacity for it."""
        now, team = self.now, job.spec.team
        self.queues.dequeue(job)
        used = self.queues.used[team]
        placed = self.gangs.place(now, job, self.candidates, used, self.started_on)
        if placed is None:
            self._reserve_quota_for_gang(job)
        elif placed:
            self.started_on += placed
            self.queues.on_started(job, len(placed))
        else:
            self.unplaced.append(job)
            if GANG_HOLDER not in self.reservation_holders:
                # By design, a round reserves capacity for one gang only.
                self.reservation_holders.add(GANG_HOLDER)
                self.jobs_with_reservation |= self.gangs.reserve_capacity(now, job, self.usable)

    def _reserve_quota_for_gang(self, job: Job) -> None:
        """Reserve quota for a gang that must start before a machine would boot.

        Otherwise tasks of jobs that arrived later would take any quota that becomes free, and the
        team would never have enough for the whole gang.
        """
        spec = job.spec
        if spec.team in self.quota_reservations:
            return
        if self.slos.start_deadline(job, self.now) - self.now < self.boot_s:
            count = job.pending_count()
            self.quota_reservations[spec.team] = QuotaReservation(
                job.arrived_at, count * spec.cpus, count * spec.gpus
            )

    def _place_task(self, job: Job) -> None:
        """Start the next task of a job, or remove the job from its queue."""
        index = job.next_task()
        if index is None:
            self.queues.dequeue(job)
            return
        urgency = self._urgency(job)
        if self._exceeds_quota(job, urgency):
            self.queues.dequeue(job)
            self._reserve_quota(job, urgency)
            return
        machine = self._choose_machine(job, urgency)
        if machine is None:
            self.queues.dequeue(job)
            self.unplaced.append(job)
            self._reserve_capacity(job, urgency)
            return
        self.tasks.start(self.now, job, index, machine)
        self.rankings[job.spec.id].on_started(machine)
        if urgency.starving:
            # The job is no longer starving once a task is placed. Its ranking ignored reservations;
            # the next task needs a new one that respects them.
            del self.rankings[job.spec.id]
        self.queues.count_past_deadline(job)
        self.started_on.append(machine)
        self.queues.on_started(job, 1)

    def _urgency(self, job: Job) -> Urgency:
        starving = self.reservations.is_starving(job, self.now)
        slack_s = self.slos.start_deadline(job, self.now) - self.now
        can_wait = slack_s > self.tuning.patient_boots * self.boot_s and not starving
        return Urgency(slack_s, can_wait, starving)

    def _exceeds_quota(self, job: Job, urgency: Urgency) -> bool:
        """Whether one more task would exceed the team's limit less its quota reservation."""
        spec = job.spec
        used = self.queues.used[spec.team]
        reservation = self.quota_reservations.get(spec.team)
        # A reservation binds only jobs that arrived after its holder. So later jobs can't starve
        # the holder, and the holder can't starve earlier jobs.
        if (
            reservation is not None
            and job.arrived_at > reservation.job_arrived_at
            and not urgency.starving
        ):
            used = used.plus(reservation.cpus, reservation.gpus)
        return exceeds_limit(self.state.teams_by_name[spec.team], used, spec.cpus, spec.gpus)

    def _reserve_quota(self, job: Job, urgency: Urgency) -> None:
        """Reserve quota under its team's limit for a large task.

        Otherwise, as with gangs, small tasks of the team would take any quota that becomes free.
        """
        spec = job.spec
        if spec.team in self.quota_reservations or urgency.can_wait or not self._is_large(job):
            return
        self.quota_reservations[spec.team] = QuotaReservation(job.arrived_at, spec.cpus, spec.gpus)

    def _is_large(self, job: Job) -> bool:
        """Whether a job's tasks are large compared with the smallest present task."""
        return job.spec.cpus >= LARGE_TASK_RATIO * self.smallest_cpus

    def _choose_machine(self, job: Job, urgency: Urgency) -> Machine | None:
        """Return the best machine for the job's next task; None if no machine can take it."""
        spec = job.spec
        spot_only = self.state.on_demand_excess and spec.spot and urgency.can_wait
        shape = self._shape(job, urgency, spot_only)
        if shape in self.infeasible_shapes:
            return None
        ranking = self.rankings.get(spec.id)
        if ranking is None:
            urgent = urgency.slack_s < self.boot_s
            policy = self.reservations.policy(job, urgency.starving, spot_only, urgent)
            ranking = self.rankings[spec.id] = Ranking(
                job, self.candidates, self.state.machines, self.now, policy, len(self.started_on)
            )
        machine = ranking.best(self.started_on)
        if machine is None and shape is not None:
            self.infeasible_shapes.add(shape)
        return machine

    def _shape(self, job: Job, urgency: Urgency, spot_only: bool) -> TaskShape | None:
        """Return the properties that decide on which machines a job's tasks are feasible.

        None if feasibility depends on the job itself: by its constraints, or by a machine that is
        reserved for it.
        """
        spec = job.spec
        if spec.types or spec.zone or spec.one_zone or spec.spread:
            return None
        if spec.id in self.jobs_with_reservation:
            return None
        # On types reserved for large tasks, only tasks that are short enough may backfill.
        estimate_s = spec.estimate_s if self.reservations.reserved_types.smallest_tasks else 0.0
        return (
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.spot,
            spot_only,
            urgency.starving,
            estimate_s,
        )

    def _reserve_capacity(self, job: Job, urgency: Urgency) -> None:
        """Reserve a machine for a large task; at most one reservation for each team and round.

        Otherwise small tasks would take any capacity that becomes free, and no machine would ever
        have enough for the large task.
        """
        spec = job.spec
        if spec.team in self.reservation_holders or urgency.can_wait or not self._is_large(job):
            return
        self.reservation_holders.add(spec.team)
        machine = machine_to_reserve(job, self.usable, self.state.machines, self.now)
        if machine is not None:
            reserve_machine(machine, spec.id, self.now + self.state.timing.heartbeat_interval_s)
            self.jobs_with_reservation.add(spec.id)

"""One dispatch round: which waiting tasks start now, and where.

Teams take turns by what their allocation leaves them, a team's jobs by deadline, machines by the
ranking of `bin_packing`.
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

# A task is large if it takes as many times the CPUs of the smallest task present.
LARGE_FACTOR = 4
# Stands for gangs among the teams that capacity is reserved for.
GANGS = "gang"

# CPUs, GPUs, GB of memory, may use spot machines, may use only these, is starving, seconds.
TaskShape = tuple[float, float, float, bool, bool, bool, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementParts:
    """The parts of a scheduler that a round places tasks with."""

    state: ShardState
    tuning: Tuning
    tasks: TaskLifecycle
    reservations: Reservations
    gangs: GangPlacer


class Urgency(NamedTuple):
    """How soon a job's next task must start."""

    # Seconds until its start deadline.
    slack_s: float
    # It waits for cheap capacity; on-demand capacity is for work that can't.
    can_wait: bool
    # It has been without any placement for so long that no reservation binds it.
    starving: bool


class DispatchRound:
    """The machines of one round, and what has been started and reserved on them so far.

    Invariant: within a round free capacity only shrinks.
    """

    def __init__(
        self,
        now: float,
        parts: PlacementParts,
        queues: TeamQueues,
        jobs: list[Job],
        usable: list[Machine],
    ) -> None:
        self.now, self.queues, self.usable = now, queues, usable
        self.state, self.tasks, self.tuning = parts.state, parts.tasks, parts.tuning
        self.reservations, self.gangs = parts.reservations, parts.gangs
        self.slos, self.boot_s = parts.state.slos, parts.state.timing.boot_s
        self.smallest_cpus = min((job.spec.cpus for job in jobs if job.spec.cpus > 0), default=0.0)
        # The machines with capacity for the smallest task.
        self.candidates = [
            machine
            for machine in usable
            if fits_within(self.smallest_cpus, machine.type.cpus - machine.used_cpus)
        ]
        # By team.
        self.quota_reservations: dict[str, QuotaReservation] = {}
        # For whom capacity has been reserved in this round: teams, or `GANGS`.
        self.reserving: set[str] = set()
        # Jobs that machines are reserved for, by preemption or in want of a large gap.
        self.jobs_with_reservation = {
            machine.reserved_for_job for machine in usable if now < machine.reserved_until
        }
        # Jobs that no machine had capacity for.
        self.unplaced: list[Job] = []
        # Where tasks have been started, in order.
        self.started_on: list[Machine] = []
        self.rankings: dict[str, Ranking] = {}
        # Shapes that no machine had capacity for.
        self.infeasible_shapes: set[TaskShape] = set()

    def place_all(self) -> None:
        """Start tasks until no queue has one that finds capacity."""
        while self.usable:
            job = self.queues.next_job()
            if job is None:
                break
            if job.spec.gang:
                self._place_gang(job)
            else:
                self._place_task(job)

    def _place_gang(self, job: Job) -> None:
        """Start a gang as a whole, or see that it finds capacity later."""
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
            if GANGS not in self.reserving:
                # As in the design: capacity is reserved for one gang at a time.
                self.reserving.add(GANGS)
                self.jobs_with_reservation |= self.gangs.reserve_capacity(now, job, self.usable)

    def _reserve_quota_for_gang(self, job: Job) -> None:
        """Reserve quota for a gang that must start before a machine would boot.

        Tasks of the team that come after it would take each gap under the limit.
        """
        spec = job.spec
        if spec.team in self.quota_reservations:
            return
        if self.slos.start_deadline(job, self.now) - self.now < self.boot_s:
            count = len(job.pending_tasks())
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
        if urgency.starving:
            # Its first task has a placement; the rest is bound by reservations again.
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
        """Whether one more task would exceed the team's limit less what is reserved under it."""
        spec = job.spec
        used = self.queues.used[spec.team]
        reservation = self.quota_reservations.get(spec.team)
        # Jobs that came earlier are not bound by the reservation: neither starves the other.
        if (
            reservation is not None
            and job.arrived_at > reservation.arrived
            and not urgency.starving
        ):
            used = used.plus(reservation.cpus, reservation.gpus)
        return exceeds_limit(self.state.teams_by_name[spec.team], used, spec.cpus, spec.gpus)

    def _reserve_quota(self, job: Job, urgency: Urgency) -> None:
        """Reserve quota under its team's limit for a large task.

        As with gangs: small tasks of its team would take each gap under the limit.
        """
        spec = job.spec
        if spec.team in self.quota_reservations or urgency.can_wait or not self._is_large(job):
            return
        self.quota_reservations[spec.team] = QuotaReservation(job.arrived_at, spec.cpus, spec.gpus)

    def _is_large(self, job: Job) -> bool:
        """Whether a job's tasks are large beside the smallest that are present."""
        return job.spec.cpus >= LARGE_FACTOR * self.smallest_cpus

    def _choose_machine(self, job: Job, urgency: Urgency) -> Machine | None:
        """The best machine for the job's next task."""
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
        """What decides where a job's tasks are feasible; None if that is the job itself."""
        spec = job.spec
        if spec.types or spec.zone or spec.one_zone or spec.spread:
            return None
        if spec.id in self.jobs_with_reservation:
            return None
        # What large tasks leave is open to short work only.
        length_s = spec.estimate_s if self.reservations.reserved_types.smallest_tasks else 0.0
        return (
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            spec.spot,
            spot_only,
            urgency.starving,
            length_s,
        )

    def _reserve_capacity(self, job: Job, urgency: Urgency) -> None:
        """Reserve a machine for a large task, for one of them a team at a time, as with gangs.

        A large task never finds capacity among small ones that take each gap.
        """
        spec = job.spec
        if spec.team in self.reserving or urgency.can_wait or not self._is_large(job):
            return
        self.reserving.add(spec.team)
        machine = machine_to_reserve(job, self.usable, self.state.machines, self.now)
        if machine is not None:
            reserve_machine(machine, spec.id, self.now + self.state.timing.heartbeat_interval_s)
            self.jobs_with_reservation.add(spec.id)

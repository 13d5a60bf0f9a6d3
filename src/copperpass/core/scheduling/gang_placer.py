"""Placement of gangs as a whole, and reservation of capacity for gangs that can't start yet."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.gang_placement import plan_gang
from copperpass.core.scheduling.bin_packing.ranking import Ranking
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import StopReason
from copperpass.core.scheduling.quota import PossibleUsage, exceeds_limit
from copperpass.core.scheduling.reservation_planning import plan_gang_reservation
from copperpass.core.scheduling.reservations import Reservations, reserve_machine
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.tasks import TaskLifecycle


class GangPlacer:
    """Starts gangs as a whole, and reserves the capacity where one can start soonest."""

    def __init__(self, state: ShardState, tasks: TaskLifecycle, reservations: Reservations) -> None:
        self.state, self.tasks, self.reservations = state, tasks, reservations
        self.machines = state.machines

    def place(
        self,
        now: float,
        job: Job,
        candidates: list[Machine],
        used: PossibleUsage,
        started_on: list[Machine],
    ) -> list[Machine] | None:
        """Start all missing tasks of a gang or none; return the machines they start on.

        Returns an empty list if there isn't enough capacity, and None if the team's limit doesn't
        allow the whole gang now or tasks of an earlier attempt are not proven gone. `started_on`
        lists the machines on which this round has started tasks.
        """
        spec, count = job.spec, job.pending_count()
        team = self.state.teams_by_name[spec.team]
        if exceeds_limit(team, used, count * spec.cpus, count * spec.gpus):
            return None
        if self._has_earlier_attempt(job):
            return None
        reservations = self.reservations
        policy = reservations.policy(
            job, reservations.is_starving(job, now), spot_only=False, urgent=True
        )
        ranking = Ranking(job, candidates, self.machines, now, policy, len(started_on))
        plan = plan_gang(ranking, self.machines)
        if plan is None:
            self._end_incomplete_attempt(now, job)
            return []
        job.incomplete_since = None
        if not job.attempt:
            job.attempt = self.tasks.new_attempt(job)
        for index, machine in plan.placements:
            self.tasks.start(now, job, index, machine)
        return [machine for _, machine in plan.placements]

    def _has_earlier_attempt(self, job: Job) -> bool:
        """Whether a task of an earlier attempt is not proven gone."""
        job_id, machines = job.spec.id, self.machines
        return any(
            placement.active and placement.job_id == job_id and placement.attempt != job.attempt
            for name in self.state.machines_of_job.get(job_id, ())
            if name in machines
            for placement in machines[name].tasks.values()
        )

    def _end_incomplete_attempt(self, now: float, job: Job) -> None:
        """End an attempt whose placed tasks have waited too long for capacity for the others.

        The others may be bound to a zone without capacity. Restarting the gang as a whole is better
        than occupying machines until the placed tasks time out.
        """
        if not job.assigned:
            return
        job.incomplete_since = now if job.incomplete_since is None else job.incomplete_since
        if now - job.incomplete_since > self.state.timing.gang_wait_s / 2:
            self.tasks.end_gang(now, job, StopReason.NO_CAPACITY, 0.0)

    def reserve_capacity(self, now: float, job: Job, usable: list[Machine]) -> set[str]:
        """Reserve the capacity where a gang can start soonest.

        Returns the gang's job id in a set; an empty set if nothing was reserved.
        """
        state, heartbeat_interval_s = self.state, self.state.timing.heartbeat_interval_s
        reservation = plan_gang_reservation(
            job, usable, self.machines, now, self.reservations.reserved_machines
        )
        if reservation is None:
            return set()
        for machine in reservation.machines:
            # The machines are not released to the cloud while the gang waits for the rest of its
            # capacity, however long that takes. If machines that boot one by one were released as
            # idle, the zone would never have enough of them for the gang.
            machine.retain_until = now + heartbeat_interval_s
        tuning = self.reservations.tuning
        waited_too_long = now - job.arrived_at > tuning.patience_s
        slack_s = state.slos.start_deadline(job, now) - now
        can_wait = slack_s > tuning.patient_boots * state.timing.boot_s
        if can_wait or (waited_too_long and not reservation.complete):
            # A gang that can wait comes last and must not delay other jobs. A reservation of only a
            # part of a gang's capacity is of no use to any job, so its duration is bounded.
            return set()
        for machine in reservation.machines:
            reserve_machine(machine, job.spec.id, now + heartbeat_interval_s, reservation.ready_at)
        return {job.spec.id}

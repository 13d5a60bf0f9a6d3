"""Preemption: stops tasks to free capacity for jobs that would miss their start deadline."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    CAPACITY_TOLERANCE,
    fits_within,
    is_zone_bound,
    tasks_by_zone,
    zone_feasible,
)
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.guarantee_excess import GuaranteeExcess, guarantee_excess
from copperpass.core.scheduling.machines import NO_PRIORITY, Machine
from copperpass.core.scheduling.placements import Placement, StopReason
from copperpass.core.scheduling.quota import PossibleUsage
from copperpass.core.scheduling.reservations import reserve_machine
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_estimates import worth_checkpointing
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.scheduling.victims import Preemptor, choose_victims, cost_of_victim

# The maximum number of a job's tasks for which capacity is freed at the same time.
MAX_TASKS_AT_ONCE = 8
# A machine with preempted tasks is reserved for the preempting job for this many heartbeat
# intervals.
RESERVATION_HEARTBEATS = 2


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """The victims on one machine, and the cost of preempting them in CPU seconds of work.

    `needs_guarantee`: a victim has the same or a higher priority than the job.
    """

    machine: Machine
    victims: list[Placement]
    cost: float
    needs_guarantee: bool


def tasks_within(job: Job, free_cpus: float) -> int:
    """Return how many of a job's pending tasks need at most `free_cpus`; a gang all or none."""
    count, cpus = job.pending_count(), job.spec.cpus
    if fits_within(count * cpus, free_cpus):
        return count
    if job.spec.gang or free_cpus <= 0.0:
        return 0
    return int((free_cpus + CAPACITY_TOLERANCE) / cpus)


class Preemption:
    """Preempts tasks of lower priority, and tasks of teams that use more than their guarantee."""

    def __init__(
        self,
        context: SchedulerContext,
        state: ShardState,
        commands: Commands,
        tasks: TaskLifecycle,
    ) -> None:
        self.jobs, self.state, self.commands, self.tasks = context.jobs, state, commands, tasks

    def preempt(
        self,
        now: float,
        unplaced: list[Job],
        usable: list[Machine],
        used: dict[str, PossibleUsage],
    ) -> None:
        """Free capacity for jobs without a placement that would miss their start deadline.

        `used` is the most that each team's tasks may be using. Preempted tasks that are still
        stopping count against the budget of every job, whichever job they were preempted for.
        """
        excess = guarantee_excess(self.state, now)
        stopping: int | None = None
        lowest_priority = min((machine.lowest_priority for machine in usable), default=NO_PRIORITY)
        for job in unplaced:
            preemptor = self._preemptor(now, job, used[job.spec.team].cpus, excess)
            if preemptor is None or (
                lowest_priority >= preemptor.priority and not preemptor.under_guarantee
            ):
                continue
            if stopping is None:
                stopping = self._count_stopping()
            wanted_tasks = 1 if job.spec.gang else min(job.pending_count(), MAX_TASKS_AT_ONCE)
            if wanted_tasks > stopping:
                stopping += self._free_capacity(
                    now, preemptor, usable, excess, wanted_tasks - stopping, stopping
                )

    def _preemptor(
        self, now: float, job: Job, used_cpus: float, excess: GuaranteeExcess
    ) -> Preemptor | None:
        """Return a job as a preemptor; None while a machine could still boot for it in time."""
        state, spec = self.state, job.spec
        slack_s = state.slos.start_deadline(job, now) - now
        if slack_s > state.timing.boot_s:
            return None
        guaranteed_tasks = 0
        if state.slos.guarantee_target_s is not None and excess.any_beyond(spec.team):
            free_cpus = state.teams_by_name[spec.team].cpus - used_cpus
            guaranteed_tasks = tasks_within(job, free_cpus)
        return Preemptor(job, slack_s, guaranteed_tasks)

    def _count_stopping(self) -> int:
        """Count the preempted tasks that have not ended yet."""
        return sum(
            1
            for machine in self.state.machines.values()
            for placement in machine.tasks.values()
            if placement.active
            and placement.stop_grace_s is not None
            and placement.stop_reason == StopReason.PREEMPTED
        )

    def _free_capacity(
        self,
        now: float,
        preemptor: Preemptor,
        usable: list[Machine],
        excess: GuaranteeExcess,
        budget: int,
        stopping: int,
    ) -> int:
        """Preempt tasks on the cheapest machines, at most `budget`; return how many tasks stop.

        `stopping` tasks were preempted before, and free capacity for as many guaranteed tasks.
        """
        stopped = plans_made = 0
        guaranteed_plans = preemptor.guaranteed_tasks - stopping
        plans = self._plans(now, preemptor, usable, excess)
        plans.sort(key=lambda plan: (plan.cost, plan.machine.name))
        for plan in plans:
            if plans_made == budget:
                break
            victims = plan.victims
            if plan.needs_guarantee:
                if guaranteed_plans <= 0 or not excess.any_beyond(preemptor.job.spec.team):
                    continue
                # Earlier plans have taken a part of the excess.
                victims = choose_victims(preemptor, plan.machine, self.jobs.jobs, excess, now) or []
                if not victims:
                    continue
                guaranteed_plans -= 1
            plans_made += 1
            stopped += len(victims)
            self._carry_out(now, preemptor, plan.machine, victims, excess)
        return stopped

    def _carry_out(
        self,
        now: float,
        preemptor: Preemptor,
        machine: Machine,
        victims: list[Placement],
        excess: GuaranteeExcess,
    ) -> None:
        """Stop the victims on a machine, and reserve it for the job for a while."""
        for placement in victims:
            excess.take(placement, self.jobs.jobs.get(placement.job_id))
            self._stop(now, preemptor, placement)
        reserved_until = now + RESERVATION_HEARTBEATS * self.state.timing.heartbeat_interval_s
        reserve_machine(machine, preemptor.job.spec.id, reserved_until)
        self.commands.send(now, machine)

    def _stop(self, now: float, preemptor: Preemptor, placement: Placement) -> None:
        """Stop one victim, with a checkpoint if it belongs to a gang or is worth its time."""
        victim = self.jobs.jobs.get(placement.job_id)
        if victim is None:
            self.tasks.stop(now, placement, StopReason.PREEMPTED)
            return
        victim.preempted.add(placement.index)
        checkpoint = victim.spec.gang or worth_checkpointing(
            placement, victim.spec, preemptor.slack_s, now
        )
        self.tasks.stop(now, placement, StopReason.PREEMPTED, checkpoint)

    def _plans(
        self, now: float, preemptor: Preemptor, usable: list[Machine], excess: GuaranteeExcess
    ) -> list[PreemptionPlan]:
        """List a plan for each machine on which preemption would free enough capacity."""
        job, priority = preemptor.job, preemptor.priority
        machines, jobs = self.state.machines, self.jobs.jobs
        zone_counts = tasks_by_zone(job, machines) if is_zone_bound(job.spec) else {}
        plans: list[PreemptionPlan] = []
        for machine in usable:
            if now < machine.reserved_until or (
                machine.lowest_priority >= priority and not preemptor.under_guarantee
            ):
                continue
            if not zone_feasible(job.spec, machine.zone, zone_counts):
                continue
            if machine.fetch_s(job.spec) > preemptor.slack_s:
                # The machine would fetch the job's image too late for the start deadline.
                continue
            victims = choose_victims(preemptor, machine, jobs, excess, now)
            if victims:
                cost = sum(
                    cost_of_victim(placement, jobs, now)[1] * placement.cpus
                    for placement in victims
                )
                needs_guarantee = any(placement.priority >= priority for placement in victims)
                plans.append(PreemptionPlan(machine, victims, cost, needs_guarantee))
        return plans

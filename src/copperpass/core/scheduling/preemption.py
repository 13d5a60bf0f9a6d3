"""Preemption: stops tasks to free capacity for jobs that would miss their start deadline."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import (
    fits_within,
    is_zone_bound,
    tasks_by_zone,
    zone_feasible,
)
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import NO_PRIORITY, Machine
from copperpass.core.scheduling.placements import Placement, StopReason
from copperpass.core.scheduling.quota import ResourceUsage
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
    """The victims on one machine, and the cost of preempting them in CPU seconds of work."""

    machine: Machine
    victims: list[Placement]
    cost: float


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
        used: dict[str, ResourceUsage],
    ) -> None:
        """Free capacity for jobs without a placement that would miss their start deadline.

        `used` is the usage of each team's tasks. Preempted tasks that are still stopping count
        against the budget of every job, whichever job they were preempted for.
        """
        over_guarantee = {
            team.name for team in self.state.teams if used[team.name].cpus > team.cpus + 1e-6
        }
        stopping: int | None = None
        lowest_priority = min((machine.lowest_priority for machine in usable), default=NO_PRIORITY)
        for job in unplaced:
            preemptor = self._preemptor(now, job, used[job.spec.team].cpus, over_guarantee)
            if preemptor is None or (
                lowest_priority >= preemptor.priority and not preemptor.under_guarantee
            ):
                continue
            if stopping is None:
                stopping = self._count_stopping()
            wanted_tasks = 1 if job.spec.gang else min(job.pending_count(), MAX_TASKS_AT_ONCE)
            budget = wanted_tasks - stopping
            if budget > 0:
                stopping += self._free_capacity(now, preemptor, usable, over_guarantee, budget)

    def _preemptor(
        self, now: float, job: Job, used_cpus: float, over_guarantee: set[str]
    ) -> Preemptor | None:
        """Return a job as a preemptor; None while a machine could still boot for it in time."""
        state, spec = self.state, job.spec
        slack_s = state.slos.start_deadline(job, now) - now
        if slack_s > state.timing.boot_s:
            return None
        under_guarantee = (
            bool(over_guarantee - {spec.team})
            and state.slos.guarantee_target_s is not None
            and fits_within(used_cpus + spec.cpus, state.teams_by_name[spec.team].cpus)
        )
        return Preemptor(job, slack_s, under_guarantee)

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
        over_guarantee: set[str],
        budget: int,
    ) -> int:
        """Preempt tasks on the cheapest machines, at most `budget`; return how many tasks stop."""
        stopped = 0
        plans = self._plans(now, preemptor, usable, over_guarantee)
        reserved_until = now + RESERVATION_HEARTBEATS * self.state.timing.heartbeat_interval_s
        for plan in heapq.nsmallest(budget, plans, key=lambda plan: (plan.cost, plan.machine.name)):
            for placement in plan.victims:
                self._stop(now, preemptor, placement)
                stopped += 1
            reserve_machine(plan.machine, preemptor.job.spec.id, reserved_until)
            self.commands.send(now, plan.machine)
        return stopped

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
        self, now: float, preemptor: Preemptor, usable: list[Machine], over_guarantee: set[str]
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
            victims = choose_victims(preemptor, machine, jobs, over_guarantee, now)
            if victims:
                cost = sum(
                    cost_of_victim(placement, jobs, now)[1] * placement.cpus
                    for placement in victims
                )
                plans.append(PreemptionPlan(machine, victims, cost))
        return plans

"""Tasks that are stopped so that others, which would miss their aim, find room."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from copperpass.core.jobs.job_table import Job
from copperpass.core.scheduling.bin_packing.feasibility import fits_within, zone_feasible
from copperpass.core.scheduling.commands import Commands
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import NO_PRIORITY, Machine, Placement, StopReason
from copperpass.core.scheduling.state import ShardState
from copperpass.core.scheduling.task_estimates import preemption_cost, worth_checkpointing
from copperpass.core.scheduling.tasks import TaskLifecycle
from copperpass.core.scheduling.victims import victims
from copperpass.protocol.users import PRIORITY_LEVELS

# Room is freed for as many tasks of a job at a time.
MAX_TASKS_AT_ONCE = 8
# A machine whose tasks are stopped is held for the job for as many reports.
RESERVED_HEARTBEATS = 2


@dataclass(frozen=True, slots=True)
class Preemptor:
    """A job that may have tasks of others stopped."""

    job: Job
    # Seconds until the nearest aim that can still be met.
    slack_s: float
    # Its team is under its guarantee, so it may take back what others have borrowed.
    under_guarantee: bool


class Preemption:
    """Stops work of lower priority, or in borrowed room."""

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
        used: dict[str, tuple[float, float]],
    ) -> None:
        """Stop work of lower priority, or borrowed room, for tasks that would miss their aim."""
        state = self.state
        over_guarantee = {
            team.name for team in state.teams if used[team.name][0] > team.cpus + 1e-6
        }
        stopping: int | None = None
        lowest = min((machine.lowest_priority for machine in usable), default=NO_PRIORITY)
        for job in unplaced:
            spec = job.spec
            slack = state.slos.start_deadline(job, now) - now
            if slack > state.timing.boot_s:
                continue
            under_guarantee = (
                bool(over_guarantee - {spec.team})
                and state.slos.guarantee_target_s is not None
                and fits_within(used[spec.team][0] + spec.cpus, state.by_team[spec.team].cpus)
            )
            if lowest >= PRIORITY_LEVELS[spec.priority] and not under_guarantee:
                continue
            if stopping is None:
                stopping = self._count_stopping()
            budget = (1 if spec.gang else min(job.waiting(), MAX_TASKS_AT_ONCE)) - stopping
            if budget > 0:
                preemptor = Preemptor(job, slack, under_guarantee)
                stopping += self._free_capacity(now, preemptor, usable, over_guarantee, budget)

    def _count_stopping(self) -> int:
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
        """Stop tasks on up to `budget` machines, where the least is lost; returns how many."""
        stopped = 0
        found = self._candidates(now, preemptor, usable, over_guarantee)
        for _, _, machine, chosen in heapq.nsmallest(budget, found):
            for placement in chosen:
                self._stop(now, preemptor, placement)
                stopped += 1
            machine.reservation_ready_at = 0.0
            machine.reserved_for_job = preemptor.job.spec.id
            machine.reserved_until = now + RESERVED_HEARTBEATS * self.state.timing.report_s
            self.commands.send(now, machine)
        return stopped

    def _stop(self, now: float, preemptor: Preemptor, placement: Placement) -> None:
        """Stop one task for a preemptor; it saves only where that is worth its while."""
        victim = self.jobs.jobs.get(placement.job_id)
        if victim is None:
            self.tasks.stop(now, placement, StopReason.PREEMPTED)
            return
        victim.preempted.add(placement.index)
        save = victim.spec.gang or worth_checkpointing(
            placement, victim.spec, preemptor.slack_s, now
        )
        self.tasks.stop(now, placement, StopReason.PREEMPTED, save)

    def _candidates(
        self, now: float, preemptor: Preemptor, usable: list[Machine], over_guarantee: set[str]
    ) -> list[tuple[float, str, Machine, list[Placement]]]:
        """The work that would be lost on each machine, and the tasks to stop there."""
        job, under_guarantee = preemptor.job, preemptor.under_guarantee
        priority = PRIORITY_LEVELS[job.spec.priority]
        machines, jobs = self.state.machines, self.jobs.jobs
        found: list[tuple[float, str, Machine, list[Placement]]] = []
        for machine in usable:
            if now < machine.reserved_until or (
                machine.lowest_priority >= priority and not under_guarantee
            ):
                continue
            if not zone_feasible(job, machine.zone, machines):
                continue
            if machine.fetch_s(job.spec) > preemptor.slack_s:
                # Its image would come too late for the aim that the room is for.
                continue
            chosen = victims(job, machine, jobs, over_guarantee, under_guarantee, now)
            if chosen:
                cost = sum(self._cost(placement, now) for placement in chosen)
                found.append((cost, machine.name, machine, chosen))
        return found

    def _cost(self, placement: Placement, now: float) -> float:
        """The CPU seconds that stopping a task costs."""
        victim = self.jobs.jobs.get(placement.job_id)
        return preemption_cost(placement, victim.spec if victim else None, now) * placement.cpus

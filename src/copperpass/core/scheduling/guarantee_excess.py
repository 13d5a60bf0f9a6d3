"""What teams' running tasks use beyond their guarantees, which bounds the preemption of these."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from copperpass.core.jobs.job import Job
from copperpass.core.scheduling.bin_packing.feasibility import CAPACITY_TOLERANCE, fits_within
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import Placement
from copperpass.core.scheduling.state import ShardState
from copperpass.settings import Team


def certain_cpus(
    machines: Iterable[Machine], now: float, heartbeat_timeout_s: float
) -> dict[str, float]:
    """Return the CPUs, by team, that tasks use which machines in contact have listed.

    A lower bound, unlike `PossibleUsage`. Tasks that are stopping don't count.
    """
    cpus: dict[str, float] = {}
    for machine in machines:
        if now - machine.last_heartbeat_at > heartbeat_timeout_s:
            continue
        for placement in machine.tasks.values():
            if placement.reported and placement.active and placement.stop_grace_s is None:
                cpus[placement.team] = cpus.get(placement.team, 0.0) + placement.cpus
    return cpus


class GuaranteeExcess:
    """The CPUs that each team's tasks use beyond its guarantee, less those that `take` has removed.

    `used_cpus` must be a lower bound: work is taken from a team only for what it certainly has.

    One task that lies partly within the guarantee may be taken, since a team could otherwise keep
    part of another team's guarantee for as long as its tasks run; no second one may be. A gang is
    taken as a whole, and only if its team keeps its guarantee without it.
    """

    def __init__(self, teams: Iterable[Team], used_cpus: Mapping[str, float]) -> None:
        self._cpus = {team.name: used_cpus.get(team.name, 0.0) - team.cpus for team in teams}
        self._taken_gangs: set[str] = set()

    def copy(self) -> GuaranteeExcess:
        """Return a copy, on which a plan can be tried."""
        excess = GuaranteeExcess((), {})
        excess._cpus, excess._taken_gangs = dict(self._cpus), set(self._taken_gangs)
        return excess

    def allows(self, placement: Placement, job: Job | None) -> bool:
        """Whether a task of a job, None if unknown, may be stopped for another team's guarantee."""
        cpus = self._cpus.get(placement.team, 0.0)
        if job is not None and job.spec.gang:
            return job.spec.id in self._taken_gangs or cpus >= _gang_cpus(job) - CAPACITY_TOLERANCE
        return cpus > CAPACITY_TOLERANCE

    def take(self, placement: Placement, job: Job | None) -> None:
        """Count a task of a job as stopped; with a gang's task, the whole gang."""
        cpus = placement.cpus
        if job is not None and job.spec.gang:
            cpus = 0.0 if job.spec.id in self._taken_gangs else _gang_cpus(job)
            self._taken_gangs.add(job.spec.id)
        if placement.team in self._cpus:
            self._cpus[placement.team] -= cpus

    def any_beyond(self, except_team: str) -> bool:
        """Whether a team other than `except_team` uses more than its guarantee."""
        return any(
            cpus > CAPACITY_TOLERANCE for team, cpus in self._cpus.items() if team != except_team
        )


def _gang_cpus(job: Job) -> float:
    return job.spec.cpus * job.spec.tasks


def guarantee_excess(state: ShardState, now: float) -> GuaranteeExcess:
    """Return what the shard's teams certainly use beyond their guarantees."""
    teams = [
        team
        for team in state.teams
        if not fits_within(state.quota_usage.of(team.name)[0], team.cpus)
    ]
    if not teams:
        return GuaranteeExcess((), {})
    timeout_s = state.timing.heartbeat_timeout_s
    return GuaranteeExcess(teams, certain_cpus(state.machines.values(), now, timeout_s))


def machines_beyond_guarantee(state: ShardState, now: float, jobs: Mapping[str, Job]) -> set[str]:
    """Return the machines whose tasks may all be stopped together; the least used come first.

    Machines without tasks are among them, also booting ones, once a team is beyond its guarantee.
    """
    excess, beyond = guarantee_excess(state, now), set[str]()
    if not excess.any_beyond(""):
        return beyond
    timeout_s = state.timing.heartbeat_timeout_s
    machines = [
        machine
        for machine in state.machines.values()
        if not machine.registered or now - machine.last_heartbeat_at <= timeout_s
    ]
    for machine in sorted(machines, key=lambda machine: (machine.used_cpus, machine.name)):
        running = [
            placement
            for placement in machine.tasks.values()
            if placement.active and placement.stop_grace_s is None
        ]
        trial = excess.copy()
        if all(_take_if_allowed(trial, placement, jobs) for placement in running):
            beyond.add(machine.name)
            excess = trial
    return beyond


def _take_if_allowed(
    excess: GuaranteeExcess, placement: Placement, jobs: Mapping[str, Job]
) -> bool:
    job = jobs.get(placement.job_id)
    allowed = excess.allows(placement, job)
    excess.take(placement, job)
    return allowed

"""The resources that each team's tasks use on the machines of one shard."""

from __future__ import annotations

from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.placements import Placement


class QuotaUsage:
    """Sums of the CPUs and GPUs that each team's tasks use, updated one machine at a time.

    `unidentified` holds the names of machines with tasks of jobs that are not in the watch cache.
    """

    def __init__(self) -> None:
        self.teams: dict[str, list[float]] = {}
        self.unidentified: set[str] = set()

    def recount(self, machine: Machine) -> None:
        """Update the sums after the tasks on a machine have changed."""
        self._add(machine, -1.0)
        machine.recount()
        self._add(machine, 1.0)
        if machine.holds_unidentified:
            self.unidentified.add(machine.name)
        else:
            self.unidentified.discard(machine.name)

    def on_task_added(self, machine: Machine, placement: Placement) -> None:
        """Update the sums after one identified task was added to a machine; takes constant time.

        The cost of a dispatch round would otherwise grow with the square of the number of tasks
        that it starts on one machine.
        """
        if machine.usage_stale:
            self.recount(machine)
            return
        machine.add_usage(placement)
        self._add_to_team(placement.team, placement.cpus, placement.gpus)

    def drop(self, machine: Machine) -> None:
        """Subtract the usage of a machine that the shard no longer owns."""
        self._add(machine, -1.0)
        machine.usage_by_team = {}
        self.unidentified.discard(machine.name)

    def _add(self, machine: Machine, sign: float) -> None:
        for team, (cpus, gpus) in machine.usage_by_team.items():
            self._add_to_team(team, sign * cpus, sign * gpus)

    def _add_to_team(self, team: str, cpus: float, gpus: float) -> None:
        sums = self.teams.setdefault(team, [0.0, 0.0])
        sums[0] += cpus
        sums[1] += gpus

    def of(self, team: str) -> tuple[float, float]:
        """Return the CPUs and GPUs that a team's tasks use or may be using."""
        cpus, gpus = self.teams.get(team, (0.0, 0.0))
        return cpus, gpus

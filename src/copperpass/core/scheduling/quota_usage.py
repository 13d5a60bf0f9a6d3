"""What each team's tasks use on the machines of one shard, against the team's quota."""

from __future__ import annotations

from copperpass.core.scheduling.machines import Machine


class QuotaUsage:
    """What each team's tasks take on an owner's machines: sums kept up machine by machine."""

    def __init__(self) -> None:
        self.teams: dict[str, list[float]] = {}
        self.unidentified: set[str] = set()

    def recount(self, machine: Machine) -> None:
        """Bring the sums up to a machine whose tasks have changed."""
        self._add(machine, -1.0)
        machine.recount()
        self._add(machine, 1.0)
        if machine.holds_unidentified:
            self.unidentified.add(machine.name)
        else:
            self.unidentified.discard(machine.name)

    def drop(self, machine: Machine) -> None:
        """A machine is not the owner's any more."""
        self._add(machine, -1.0)
        machine.by_team = {}
        self.unidentified.discard(machine.name)

    def _add(self, machine: Machine, sign: float) -> None:
        for team, (cpus, gpus) in machine.by_team.items():
            sums = self.teams.setdefault(team, [0.0, 0.0])
            sums[0] += sign * cpus
            sums[1] += sign * gpus

    def of(self, team: str) -> tuple[float, float]:
        """CPUs and GPUs that a team's tasks take or may take."""
        cpus, gpus = self.teams.get(team, (0.0, 0.0))
        return cpus, gpus

"""Quota: what teams use of their limits, and what is reserved under a limit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from copperpass.core.scheduling.bin_packing.feasibility import fits_within
from copperpass.settings import Team


class ResourceUsage(NamedTuple):
    """CPUs and GPUs that a team's tasks take or may take."""

    cpus: float
    gpus: float

    def plus(self, cpus: float, gpus: float) -> ResourceUsage:
        """The usage with some more of both."""
        return ResourceUsage(self.cpus + cpus, self.gpus + gpus)


@dataclass(frozen=True, slots=True)
class QuotaReservation:
    """Quota under a team's limit that is reserved for one gang or large task."""

    # When its job came: jobs that came earlier are not bound by it.
    arrived: float
    cpus: float
    gpus: float


def exceeds_limit(team: Team, used: ResourceUsage, cpus: float, gpus: float) -> bool:
    """Whether tasks that take so much more would exceed the team's limit."""
    return not (
        fits_within(used.cpus + cpus, team.cpus_limit)
        and fits_within(used.gpus + gpus, team.gpus_limit)
    )

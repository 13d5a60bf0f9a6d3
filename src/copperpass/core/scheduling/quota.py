"""Quota: the teams' resource usage, their limits, and quota reserved under a limit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from copperpass.core.scheduling.bin_packing.feasibility import fits_within
from copperpass.settings import Team


class PossibleUsage(NamedTuple):
    """The most CPUs and GPUs that a team's tasks may be using: an upper bound, for limits.

    What a team certainly uses is counted by `GuaranteeExcess`.
    """

    cpus: float
    gpus: float

    def plus(self, cpus: float, gpus: float) -> PossibleUsage:
        """Return the usage with `cpus` and `gpus` added."""
        return PossibleUsage(self.cpus + cpus, self.gpus + gpus)


@dataclass(frozen=True, slots=True)
class QuotaReservation:
    """Quota under a team's limit that is reserved for one gang or large task."""

    # When the job that holds it arrived: jobs that arrived earlier are not bound by it.
    job_arrived_at: float
    cpus: float
    gpus: float


def exceeds_limit(team: Team, used: PossibleUsage, cpus: float, gpus: float) -> bool:
    """Whether using `cpus` and `gpus` in addition to `used` would exceed the team's limit."""
    return not (
        fits_within(used.cpus + cpus, team.cpus_limit)
        and fits_within(used.gpus + gpus, team.gpus_limit)
    )

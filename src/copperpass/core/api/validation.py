"""Validation of submissions: refuses malformed jobs and jobs that can never run.

Error messages use the fields' outer names, which are those in the users' JSON.
"""

from __future__ import annotations

import math

from copperpass.core.scheduling.bin_packing.feasibility import feasible_on_type, fits_within
from copperpass.errors import RejectedJobError
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.users import JOB_ID_PATTERN, MAX_TASKS, JobSpec
from copperpass.settings import Cluster, Team

# HTTP statuses of refused requests.
MALFORMED, UNPROCESSABLE, UNAVAILABLE = 400, 422, 503


def is_job_id(text: str) -> bool:
    """Whether a text is a well-formed job id (`JOB_ID_PATTERN`)."""
    return JOB_ID_PATTERN.match(text) is not None


def validate(spec: JobSpec, cluster: Cluster, types: dict[str, MachineType]) -> None:
    """Raise `RejectedJobError` if the job is malformed or can never run."""
    _check_form(spec)
    team = next((team for team in cluster.teams if team.name == spec.team), None)
    if team is None:
        raise RejectedJobError(UNPROCESSABLE, "desk: unknown team")
    if not fits_within(spec.cpus, team.cpus_limit) or not fits_within(spec.gpus, team.gpus_limit):
        raise RejectedJobError(UNPROCESSABLE, "a task needs more than the team's limit")
    zones = _feasible_zones(spec, types)
    if not zones:
        raise RejectedJobError(UNPROCESSABLE, "a task fits no allowed machine type")
    if spec.gang:
        _check_gang(spec, team, zones)


def _check_form(spec: JobSpec) -> None:
    if not is_job_id(spec.id):
        raise RejectedJobError(MALFORMED, "id: not of the form req-000000")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise RejectedJobError(MALFORMED, "pages: outside 1..100000")
    amounts = {
        "cpus": spec.cpus,
        "cards": spec.gpus,
        "memory_gb": spec.memory_gb,
        "size_gb": spec.image_gb,
        "runtime_s": spec.estimate_s,
        "proof_s": spec.checkpoint_s,
        "flush_s": spec.save_s,
        "edition_s": spec.deadline_s or 0.0,
    }
    for name, amount in amounts.items():
        if not math.isfinite(amount) or amount < 0:
            raise RejectedJobError(MALFORMED, f"{name}: not an amount")
    if not spec.job_class or not spec.image:
        raise RejectedJobError(MALFORMED, "slot, master: must not be empty")


def _feasible_zones(spec: JobSpec, types: dict[str, MachineType]) -> set[str]:
    """The zones that offer an allowed machine type on which one task fits."""
    return {
        zone
        for machine_type in types.values()
        for zone in machine_type.zones
        if (spec.types is None or machine_type.name in spec.types)
        and spec.zone in (None, zone)
        and feasible_on_type(spec, machine_type)
    }


def _check_gang(spec: JobSpec, team: Team, zones: set[str]) -> None:
    """Raise `RejectedJobError` if a gang can never run; all its tasks must run at once."""
    if not fits_within(spec.cpus * spec.tasks, team.cpus_limit) or not fits_within(
        spec.gpus * spec.tasks, team.gpus_limit
    ):
        raise RejectedJobError(UNPROCESSABLE, "the gang needs more than the team's limit")
    if spec.spread and spec.tasks > 1 and (spec.one_zone or len(zones) < 2):
        raise RejectedJobError(UNPROCESSABLE, "a gang can't be both in one zone and spread")

"""Estimates for running tasks in seconds: the time that remains, and what preemption costs."""

from __future__ import annotations

from copperpass.core.scheduling.placements import Placement
from copperpass.protocol.users import JobSpec

# A task beyond its estimate is taken to need this part of what it has run already.
OVERRUN_SHARE = 0.25


def remaining_s(placement: Placement, now: float) -> float:
    """How long a task will still run, by its owner's estimate; never zero while it runs."""
    if not placement.running_at:
        return placement.estimate_s
    elapsed_s = now - placement.running_at
    return max(placement.estimate_s - elapsed_s, OVERRUN_SHARE * elapsed_s)


def work_since_checkpoint(placement: Placement, spec: JobSpec | None, now: float) -> float:
    """The work since a task's last checkpoint, about: all of it where it takes none."""
    if not placement.running_at:
        return 0.0
    elapsed_s = now - placement.running_at
    if spec is None or spec.checkpoint_s <= 0:
        return elapsed_s
    return elapsed_s % spec.checkpoint_s


def preemption_cost(placement: Placement, spec: JobSpec | None, now: float) -> float:
    """What stopping a task costs: work lost, or the time for a checkpoint if that is less."""
    lost_s = work_since_checkpoint(placement, spec, now)
    if spec is None or spec.checkpoint_s <= 0:
        return lost_s
    return min(lost_s, spec.save_s)


def worth_checkpointing(placement: Placement, spec: JobSpec, slack_s: float, now: float) -> bool:
    """Whether a task that is preempted should take a checkpoint first.

    Not where the checkpoint takes longer than the work since the last one did, nor where the
    capacity would come too late for the preempting task, which must start within `slack_s`.
    """
    return spec.save_s < min(work_since_checkpoint(placement, spec, now), slack_s)

"""Estimates for running tasks, in seconds: the remaining run time and the cost of preemption."""

from __future__ import annotations

from copperpass.core.scheduling.placements import Placement
from copperpass.protocol.users import JobSpec

# A task that has exceeded its estimate is assumed to run on for this fraction of its elapsed time.
OVERRUN_SHARE = 0.25


def remaining_s(placement: Placement, now: float) -> float:
    """Return how long a task will still run, by its owner's estimate; never zero while it runs."""
    if not placement.running_at:
        return placement.estimate_s
    elapsed_s = now - placement.running_at
    return max(placement.estimate_s - elapsed_s, OVERRUN_SHARE * elapsed_s)


def work_since_checkpoint_s(placement: Placement, spec: JobSpec | None, now: float) -> float:
    """Return the approximate work since a task's last checkpoint, in seconds.

    That is all of its work if it takes no checkpoints, and 0 if it hasn't started running.
    """
    if not placement.running_at:
        return 0.0
    elapsed_s = now - placement.running_at
    if spec is None or spec.checkpoint_s <= 0:
        return elapsed_s
    return elapsed_s % spec.checkpoint_s


def preemption_cost(placement: Placement, spec: JobSpec | None, now: float) -> float:
    """Return the cost of stopping a task: the lost work, or the checkpoint time if less."""
    lost_s = work_since_checkpoint_s(placement, spec, now)
    if spec is None or spec.checkpoint_s <= 0:
        return lost_s
    return min(lost_s, spec.save_s)


def worth_checkpointing(placement: Placement, spec: JobSpec, slack_s: float, now: float) -> bool:
    """Whether a task that is preempted should take a checkpoint first.

    A checkpoint isn't worth it if it takes longer than the work that it would save, or if it would
    free the capacity too late for the preempting task, which must start within `slack_s` seconds.
    """
    return spec.save_s < min(work_since_checkpoint_s(placement, spec, now), slack_s)

"""Estimates for tasks that run: time left, and what preempting them costs."""

from __future__ import annotations

from copperpass.core.scheduling.machines import Placement
from copperpass.protocol.users import JobSpec


def remaining_s(placement: Placement, now: float) -> float:
    """How long a task will still run, by its owner's estimate."""
    if not placement.running_at:
        return placement.estimate_s
    ran = now - placement.running_at
    # A task beyond its estimate is taken to need a part of what it has run already.
    return max(placement.estimate_s - ran, 0.25 * ran)


def work_since_checkpoint(placement: Placement, spec: JobSpec | None, now: float) -> float:
    """The work since a task's last checkpoint, about: all of it where it never saves."""
    if not placement.running_at:
        return 0.0
    ran = now - placement.running_at
    return ran % spec.checkpoint_s if spec is not None and spec.checkpoint_s > 0 else ran


def preemption_cost(placement: Placement, spec: JobSpec | None, now: float) -> float:
    """The seconds of work that stopping a task costs: lost, or spent on saving if that is less."""
    lost = work_since_checkpoint(placement, spec, now)
    return min(lost, spec.save_s) if spec is not None and spec.checkpoint_s > 0 else lost


def worth_checkpointing(placement: Placement, spec: JobSpec, slack_s: float, now: float) -> bool:
    """Whether a task that is stopped to make room should save first.

    Not where saving takes longer than the work since its last checkpoint did, nor where the room
    would come too late for the task that it is for.
    """
    return spec.save_s < min(work_since_checkpoint(placement, spec, now), slack_s)

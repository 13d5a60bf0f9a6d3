"""Counts of the tasks that were stopped, and of the work that they lost, by reason."""

from __future__ import annotations

from copperpass.core.jobs.job import Job
from copperpass.core.ports import Outbox
from copperpass.core.scheduling.placements import Placement, StopReason
from copperpass.core.scheduling.task_estimates import work_since_checkpoint_s
from copperpass.log_events import LogEvent, LogLevel

# Time between two log records, in heartbeat intervals.
LOG_HEARTBEATS = 5


class StopStatistics:
    """The tasks that a shard's scheduler has stopped since its assignment began; times in seconds.

    Lost work is the run time since the last checkpoint, times the CPUs, of tasks that did not save
    when they were stopped.
    """

    def __init__(self, outbox: Outbox, shard: int, heartbeat_interval_s: float) -> None:
        self.outbox, self.shard = outbox, shard
        self.log_interval_s = LOG_HEARTBEATS * heartbeat_interval_s
        self.stopped: dict[StopReason, int] = {}
        self.lost_cpu_s: dict[StopReason, float] = {}
        self._changed = False
        self._next_log_at = 0.0

    def on_stopped(self, now: float, placement: Placement, job: Job | None, saved: bool) -> None:
        """Count a task that has exited after it was told to stop."""
        reason = placement.stop_reason
        if reason is None:
            return
        spec = job.spec if job is not None else None
        lost_s = 0.0 if saved else work_since_checkpoint_s(placement, spec, now)
        self.stopped[reason] = self.stopped.get(reason, 0) + 1
        lost_cpu_s = self.lost_cpu_s.get(reason, 0.0) + lost_s * placement.cpus
        self.lost_cpu_s[reason] = lost_cpu_s
        self._changed = True

    def log_if_due(self, now: float) -> None:
        """Log the totals if they have changed, from time to time."""
        if not self._changed or now < self._next_log_at:
            return
        self._changed, self._next_log_at = False, now + self.log_interval_s
        self.outbox.log(
            LogLevel.INFO,
            LogEvent.TASKS_STOPPED,
            shard=self.shard,
            stopped={str(reason): count for reason, count in self.stopped.items()},
            lost_cpu_s={str(reason): round(lost) for reason, lost in self.lost_cpu_s.items()},
        )

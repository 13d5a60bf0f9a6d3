"""Whose tasks are stopped for more urgent work."""

import json

import msgspec
import pytest

from copperpass.core.scheduling.task_estimates import preemption_cost, worth_checkpointing
from copperpass.protocol.workers import TaskState
from tests.request_bodies import job
from tests.scheduler_bench import SchedulerBench

URGENT, PATIENT = {"urgency": "high"}, {"urgency": "low", "slot": "slow"}


class Crowded(SchedulerBench):
    """A shard whose one machine is full of patient tasks of 4 CPUs."""

    def __init__(self, **more):
        super().__init__()
        self.submit(1, **{"tasks": 4, "run_s": 100.0, **PATIENT, **more})
        self.scheduler.dispatch_round(self.now)
        self.take_calls("worker")
        self.run_all()

    def submit(self, number, **more):
        record = json.dumps({"spec": job(number, **more)}).encode()
        self.jobs.on_watch_event(self.now, f"c/live/req-{number:06d}", record, 70 + number)

    def run_all(self):
        """Report every task as running, and as halted those with a stop command."""
        statuses = []
        for task in self.scheduler.machines["m-1"].tasks.values():
            name = f"{task.job_id}/{task.index}"
            if task.active and task.stop_grace_s is None:
                statuses.append((name, task.attempt, TaskState.RUNNING, None))
            elif task.active:
                statuses.append((name, task.attempt, TaskState.EXITED, "halted"))
        self.worker_heartbeat(statuses)

    def stopped(self):
        """The tasks with a stop command."""
        tasks = self.scheduler.machines["m-1"].tasks.values()
        return sorted(
            f"{t.job_id}/{t.index}" for t in tasks if t.active and t.stop_grace_s is not None
        )

    def round(self):
        self.scheduler.dispatch_round(self.now)
        self.take_calls("worker")
        return self.stopped()


def test_an_urgent_job_has_tasks_of_lower_priority_stopped():
    bench = Crowded()
    bench.submit(2, tasks=1, **URGENT)
    assert len(bench.round()) == 1


def test_a_task_is_stopped_once_and_not_by_each_burst():
    # Guards long tasks that can't save: bursts stop those that have run least, so those that began
    # anew were stopped again, 124 times in a job of 61 tasks.
    bench = Crowded()
    bench.submit(2, tasks=1, run_s=2.0, **URGENT)
    (first,) = bench.round()
    bench.run_all()
    job_id, index = first.split("/")
    patient = bench.jobs.jobs[job_id]
    assert patient.preempted == {int(index)}
    # All four have been stopped once: whoever comes next waits, but production doesn't.
    patient.preempted.update(range(4))
    for _ in range(3):
        # The machine is no longer held for the second job, whose task runs there.
        bench.run_all()
    bench.submit(3, tasks=4, **URGENT)
    assert bench.round() == []
    bench.submit(4, tasks=1, urgency="production")
    assert len(bench.round()) == 1


def test_nothing_is_stopped_where_the_image_comes_too_late():
    bench = Crowded()
    bench.submit(2, tasks=1, master="img-far", size_gb=500.0, **URGENT)
    assert bench.round() == []


SAVES = {"proof_s": 10.0, "flush_s": 6.0}


@pytest.mark.parametrize(
    ("ran_s", "slack_s", "saves"),
    [
        # 2 s of work since the last checkpoint: saving them takes 6 s.
        (12.0, 30.0, False),
        (18.0, 30.0, True),
        # The room is needed sooner than the task has saved.
        (18.0, 4.0, False),
    ],
)
def test_a_stopped_task_saves_only_what_is_worth_its_time(ran_s, slack_s, saves):
    bench = Crowded(**SAVES)
    placement = next(iter(bench.scheduler.machines["m-1"].tasks.values()))
    spec = bench.jobs.jobs[placement.job_id].spec
    placement.running_at = 100.0
    assert worth_checkpointing(placement, spec, slack_s, 100.0 + ran_s) == saves


def test_room_for_a_wait_of_seconds_does_not_come_after_a_save():
    # Each start of a class with an aim of 5 s waited for a save of 6 s.
    bench = Crowded(**SAVES)
    bench.submit(2, tasks=1, **URGENT)
    bench.round()
    (stopped,) = [
        t for t in bench.scheduler.machines["m-1"].tasks.values() if t.stop_grace_s is not None
    ]
    assert stopped.stop_grace_s == 0.0


def test_what_a_stop_costs_counts_from_the_last_checkpoint():
    # Machines were compared without regard to checkpoints: tasks that save lost to ones that don't.
    bench = Crowded(tasks=1, **SAVES)
    placement = next(iter(bench.scheduler.machines["m-1"].tasks.values()))
    spec = bench.jobs.jobs[placement.job_id].spec
    placement.running_at = 100.0
    costs = [preemption_cost(placement, spec, 100.0 + ran_s) for ran_s in (4.0, 9.0, 41.0)]
    assert costs == [4.0, 6.0, 1.0]
    never = msgspec.structs.replace(spec, checkpoint_s=0.0)
    assert preemption_cost(placement, never, 141.0) == 41.0

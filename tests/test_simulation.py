"""The fake workers and gangs themselves, commanded directly by the tests."""

import pytest

from tests.fakes.worker import Worker
from tests.request_bodies import gang
from tests.simulation import Simulation


class WorkerHarness:
    """Workers without controllers, one more than the gang of job 1 has tasks."""

    def __init__(self, count=3, zones="a", **gang_fields):
        self.simulation = Simulation()
        for name in self.simulation.node_names:
            self.simulation.crash(name, 1e9)
        self.spec = gang(1, tasks=count, run_s=40.0, **gang_fields)
        self.simulation.specs["req-000001"] = self.spec
        self.simulation.gang_runtime_s["req-000001"] = 40.0
        self.workers = [self.create_worker(i, zones[i % len(zones)]) for i in range(count + 1)]

    def create_worker(self, index, zone):
        name = f"m-{index:06d}"
        worker = Worker(self.simulation, name, zone, True)
        worker.lease_renewed_at, worker.speed = 1e9, 1.0
        self.simulation.cloud.machines[name] = {
            "place": (zone, True),
            "at": self.simulation.now,
            "worker": worker,
        }
        return worker

    def send_command(self, verb, index, attempt=1, worker=None, **fields):
        """Send a command for a task, by default to the worker with the same index."""
        target = self.workers[index if worker is None else worker]
        target.execute([{"verb": verb, "page": f"req-000001/{index}", "take": attempt, **fields}])

    def start(self, indexes, attempt=1):
        for index in indexes:
            self.send_command("run", index, attempt)

    def state(self, index, attempt=1, worker=None):
        """Return the state of a task, or (exit cause, whether its progress was saved)."""
        record = self.workers[index if worker is None else worker].tasks[
            f"req-000001/{index}", attempt
        ]
        if record["state"] != "exited":
            return record["state"]
        return record["exit_cause"], record["saved"]

    def states(self, *indexes, attempt=1):
        return [self.state(i, attempt) for i in indexes]

    @property
    def progress(self):
        return self.simulation.saved_progress.get("req-000001", 0.0)


def test_fake_gang_starts_and_completes_together():
    harness = WorkerHarness()
    harness.start([0, 1])
    assert harness.states(0, 1) == ["pulling", "pulling"]
    harness.simulation.run(5.0)
    assert harness.states(0, 1) == ["gathering", "gathering"]
    harness.start([2])
    harness.simulation.run(0.4)
    assert harness.states(0, 1, 2) == ["running"] * 3
    assert abs(harness.simulation.gang_wait_s_total - 2 * 5.0) < 0.1
    harness.simulation.run(39.8)
    assert harness.states(0, 1, 2) == ["running"] * 3
    harness.simulation.run(0.2)
    assert harness.states(0, 1, 2) == [("done", False)] * 3
    harness.start([1], attempt=2)
    assert harness.state(1, 2) == ("in_use", False)
    harness.send_command("clear", 1)
    harness.send_command("clear", 1, attempt=2)
    harness.start([1], attempt=2)
    harness.simulation.run(0.4)
    assert harness.state(1, 2) == ("done", False) and not harness.simulation.violations


def test_fake_gang_tasks_give_up_waiting_when_one_is_missing():
    harness = WorkerHarness()
    harness.start([0, 1])
    harness.simulation.run(42.2)
    assert harness.states(0, 1) == ["gathering"] * 2
    harness.simulation.run(0.2)
    assert harness.states(0, 1) == [("alone", False)] * 2
    assert (
        harness.simulation.gave_up_waiting == {("req-000001", 1)}
        and abs(harness.simulation.gang_wait_s_total - 84.0) < 0.1
    )


def test_fake_gang_waits_for_a_replacement_task_of_the_same_attempt():
    harness = WorkerHarness()
    harness.start([0, 1])
    harness.simulation.run(2.0)
    harness.simulation.cloud.reclaim(harness.workers[0].name)
    harness.start([2])
    harness.simulation.run(5.0)
    assert harness.states(1, 2) == ["gathering"] * 2
    harness.send_command("run", 0, worker=3)
    harness.simulation.run(0.4)
    assert [harness.state(0, worker=3), *harness.states(1, 2)] == ["running"] * 3
    assert not harness.simulation.violations


def test_fake_gang_tasks_stop_at_once_while_waiting_or_pulling_the_image():
    harness = WorkerHarness()
    harness.start([0])
    harness.simulation.run(1.0)
    harness.start([1])
    harness.send_command("kill", 0, windup_s=10.0)
    harness.send_command("kill", 1, windup_s=10.0)
    assert harness.states(0, 1) == [("halted", False)] * 2 and not harness.simulation.lost_progress


def test_fake_gang_falls_back_to_its_checkpoint_when_a_task_is_lost():
    harness = WorkerHarness()
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 12.0)
    harness.simulation.cloud.reclaim(harness.workers[0].name)
    assert harness.states(1, 2) == ["running"] * 2
    harness.simulation.run(4.0)
    assert harness.states(1, 2) == [("mates_gone", False)] * 2 and harness.progress == 10.0
    harness.send_command("run", 0, 2, worker=3)
    for index in (1, 2):
        harness.send_command("clear", index)
    harness.start([1, 2], attempt=2)
    harness.simulation.run(0.4 + 29.5)
    assert harness.states(1, 2, attempt=2) == ["running"] * 2
    harness.simulation.run(0.5)
    assert harness.states(1, 2, attempt=2) == [("done", False)] * 2
    assert not harness.simulation.violations and not harness.simulation.lost_progress


def test_fake_gang_exits_when_a_machine_hangs_too_long():
    harness = WorkerHarness()
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 12.0)
    harness.workers[0].hang(1.0)
    harness.simulation.run(8.0)
    assert harness.states(0, 1, 2) == ["running"] * 3
    harness.workers[0].hang(6.0)
    sent = len(harness.workers[0].sent_heartbeats)
    harness.simulation.run(4.0)
    assert harness.states(0, 1, 2) == ["running", ("mates_gone", False), ("mates_gone", False)]
    assert len(harness.workers[0].sent_heartbeats) == sent and harness.workers[0].present_tasks()
    harness.simulation.run(2.1)
    assert harness.state(0) == ("mates_gone", False) and harness.progress == 15.0


def test_fake_gang_saves_progress_when_all_tasks_are_stopped_in_time():
    harness = WorkerHarness(flush_s=2.0)
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 13.0)
    harness.send_command("kill", 0, windup_s=2.0)
    harness.simulation.run(3.0)
    assert harness.states(0, 1, 2) == ["flushing", "running", "running"]
    harness.send_command("kill", 0, windup_s=2.0)
    harness.send_command("kill", 1, windup_s=9.0)
    harness.simulation.run(0.9)
    assert harness.states(0, 1, 2) == ["flushing", "flushing", "running"]
    harness.send_command("kill", 2, windup_s=5.0)
    assert harness.progress == 0.0
    harness.simulation.run(0.2)
    # All tasks got their stop by the deadline. The first that has written its checkpoint exits
    # then, the others once they have written theirs.
    assert harness.states(0, 1, 2) == [("halted", True), "flushing", "flushing"]
    assert abs(harness.progress - 13.0) < 1e-6
    harness.simulation.run(2.0)
    assert harness.states(0, 1, 2) == [("halted", True)] * 3
    assert not harness.simulation.lost_progress and not harness.simulation.violations


def test_fake_gang_loses_progress_when_a_task_is_not_stopped_in_time():
    harness = WorkerHarness()
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 13.0)
    harness.send_command("kill", 0, windup_s=2.0)
    harness.send_command("kill", 1, windup_s=2.0)
    harness.simulation.run(3.9)
    assert harness.states(0, 1, 2) == ["flushing", "flushing", "running"]
    harness.simulation.run(0.2)
    assert harness.states(0, 1, 2) == [("halted", False), ("halted", False), ("mates_gone", False)]
    assert harness.progress == 10.0
    assert harness.simulation.lost_progress == [("req-000001", 1, "not all told in time", 3.0)]


@pytest.mark.parametrize("orders", [[(0, 0.5)], [(0, 2.0), (0, 0.0)], [(0, 2.0), (1, 0.0)]])
def test_fake_gang_loses_progress_when_the_grace_is_too_short(orders):
    harness = WorkerHarness()
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 13.0)
    for index, grace in orders:
        harness.send_command("kill", index, windup_s=grace)
    assert harness.state(orders[-1][0]) == ("halted", False)
    harness.simulation.run(4.1)
    assert all(isinstance(state, tuple) and state[1] is False for state in harness.states(0, 1, 2))
    assert harness.progress == 10.0 and len(harness.simulation.lost_progress) == 1


def test_fake_gang_loses_its_save_when_a_machine_is_lost_before_the_first_exit():
    harness = WorkerHarness(flush_s=3.0)
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 13.0)
    for index in range(3):
        harness.send_command("kill", index, windup_s=3.0)
    harness.simulation.run(2.0)
    harness.simulation.cloud.reclaim(harness.workers[0].name)
    harness.simulation.run(4.0)
    assert harness.progress == 10.0 and not harness.simulation.lost_progress
    assert all(s[1] is False for s in harness.states(1, 2))


def test_simulation_records_violations_of_the_gang_invariants():
    harness = WorkerHarness(cpus=16.0, zones="ab")
    harness.start([0])
    harness.simulation.run(0.4)
    harness.send_command("run", 1)
    harness.simulation.run(0.4)
    assert any(
        violation.startswith("wrong_place") for violation in harness.simulation.violations
    ), "another zone"
    harness = WorkerHarness(zones="a")
    harness.start([0])
    harness.simulation.run(0.4)
    harness.send_command("run", 1, 2)
    harness.simulation.run(0.4)
    assert [violation.split(":")[0] for violation in harness.simulation.violations] == [
        "two_attempts"
    ]
    harness.send_command("run", 0, 1, worker=3)
    harness.simulation.run(0.4)
    assert any(violation.startswith("ran_twice") for violation in harness.simulation.violations)
    harness = WorkerHarness(count=5, cpus=16.0)
    harness.start([0, 1, 2, 3, 4])
    harness.simulation.run(0.4)
    assert [violation.split(":")[0] for violation in harness.simulation.violations] == ["quota"], (
        "tasks that wait for their gang count as well"
    )

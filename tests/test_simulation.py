"""The fakes of tests/simulation.py themselves: workers with gangs, driven by hand."""

import pytest

from tests.fakes.worker import Worker
from tests.request_bodies import gang
from tests.simulation import Simulation


class WorkerHarness:
    """Workers without controllers; the test gives the orders."""

    def __init__(self, count=3, zones="a", **more):
        self.simulation = Simulation()
        for name in self.simulation.node_names:
            self.simulation.crash(name, 1e9)
        self.spec = gang(1, tasks=count, run_s=40.0, **more)
        self.simulation.specs["req-000001"] = self.spec
        self.simulation.gang_runtime_s["req-000001"] = 40.0
        self.workers = [self.worker(i, zones[i % len(zones)]) for i in range(count + 1)]

    def worker(self, index, zone):
        name = f"m-{index:06d}"
        worker = Worker(self.simulation, name, zone, True)
        worker.lease_renewed_at, worker.speed = 1e9, 1.0
        self.simulation.cloud.machines[name] = {
            "place": (zone, True),
            "at": self.simulation.now,
            "worker": worker,
        }
        return worker

    def order(self, verb, index, take=1, on=None, **more):
        worker = self.workers[index if on is None else on]
        worker.execute([{"verb": verb, "page": f"req-000001/{index}", "take": take, **more}])

    def start(self, indexes, take=1):
        for index in indexes:
            self.order("run", index, take)

    def state(self, index, take=1, on=None):
        mark = self.workers[index if on is None else on].tasks[f"req-000001/{index}", take]
        if mark["state"] != "exited":
            return mark["state"]
        return mark["exit_cause"], mark["saved"]

    def states(self, *indexes, take=1):
        return [self.state(i, take) for i in indexes]

    @property
    def progress(self):
        return self.simulation.saved_progress.get("req-000001", 0.0)


def test_fakes_start_together_and_complete_together():
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
    harness.start([1], take=2)
    assert harness.state(1, 2) == ("in_use", False)
    harness.order("clear", 1)
    harness.order("clear", 1, take=2)
    harness.start([1], take=2)
    harness.simulation.run(0.4)
    assert harness.state(1, 2) == ("done", False) and not harness.simulation.violations


def test_fakes_give_up_alone():
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


def test_fakes_wait_on_for_a_replacement_of_the_same_attempt():
    harness = WorkerHarness()
    harness.start([0, 1])
    harness.simulation.run(2.0)
    harness.simulation.cloud.reclaim(harness.workers[0].name)
    harness.start([2])
    harness.simulation.run(5.0)
    assert harness.states(1, 2) == ["gathering"] * 2
    harness.order("run", 0, on=3)
    harness.simulation.run(0.4)
    assert [harness.state(0, on=3), *harness.states(1, 2)] == ["running"] * 3
    assert not harness.simulation.violations


def test_fakes_that_wait_or_fetch_stop_at_once():
    harness = WorkerHarness()
    harness.start([0])
    harness.simulation.run(1.0)
    harness.start([1])
    harness.order("kill", 0, windup_s=10.0)
    harness.order("kill", 1, windup_s=10.0)
    assert harness.states(0, 1) == [("halted", False)] * 2 and not harness.simulation.lost_progress


def test_fakes_notice_a_lost_task_and_fall_back():
    harness = WorkerHarness()
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 12.0)
    harness.simulation.cloud.reclaim(harness.workers[0].name)
    assert harness.states(1, 2) == ["running"] * 2
    harness.simulation.run(4.0)
    assert harness.states(1, 2) == [("mates_gone", False)] * 2 and harness.progress == 10.0
    harness.order("run", 0, 2, on=3)
    for index in (1, 2):
        harness.order("clear", index)
    harness.start([1, 2], take=2)
    harness.simulation.run(0.4 + 29.5)
    assert harness.states(1, 2, take=2) == ["running"] * 2
    harness.simulation.run(0.5)
    assert harness.states(1, 2, take=2) == [("done", False)] * 2
    assert not harness.simulation.violations and not harness.simulation.lost_progress


def test_fakes_notice_a_machine_that_hangs():
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


def test_fakes_save_in_an_orderly_stop():
    harness = WorkerHarness(flush_s=2.0)
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 13.0)
    harness.order("kill", 0, windup_s=2.0)
    harness.simulation.run(3.0)
    assert harness.states(0, 1, 2) == ["flushing", "running", "running"]
    harness.order("kill", 0, windup_s=2.0)
    harness.order("kill", 1, windup_s=9.0)
    harness.simulation.run(0.9)
    assert harness.states(0, 1, 2) == ["flushing", "flushing", "running"]
    harness.order("kill", 2, windup_s=5.0)
    assert harness.progress == 0.0
    harness.simulation.run(0.2)
    # All are told at the deadline: the first that has saved exits, and the rest when they have.
    assert harness.states(0, 1, 2) == [("halted", True), "flushing", "flushing"]
    assert abs(harness.progress - 13.0) < 1e-6
    harness.simulation.run(2.0)
    assert harness.states(0, 1, 2) == [("halted", True)] * 3
    assert not harness.simulation.lost_progress and not harness.simulation.violations


def test_fakes_lose_what_a_partial_stop_does_not_save():
    harness = WorkerHarness()
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 13.0)
    harness.order("kill", 0, windup_s=2.0)
    harness.order("kill", 1, windup_s=2.0)
    harness.simulation.run(3.9)
    assert harness.states(0, 1, 2) == ["flushing", "flushing", "running"]
    harness.simulation.run(0.2)
    assert harness.states(0, 1, 2) == [("halted", False), ("halted", False), ("mates_gone", False)]
    assert harness.progress == 10.0
    assert harness.simulation.lost_progress == [("req-000001", 1, "not all told in time", 3.0)]


@pytest.mark.parametrize("orders", [[(0, 0.5)], [(0, 2.0), (0, 0.0)], [(0, 2.0), (1, 0.0)]])
def test_fakes_lose_what_too_little_grace_does_not_save(orders):
    harness = WorkerHarness()
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 13.0)
    for index, grace in orders:
        harness.order("kill", index, windup_s=grace)
    assert harness.state(orders[-1][0]) == ("halted", False)
    harness.simulation.run(4.1)
    assert all(isinstance(s, tuple) and s[1] is False for s in harness.states(0, 1, 2))
    assert harness.progress == 10.0 and len(harness.simulation.lost_progress) == 1


def test_fakes_lose_a_save_when_a_machine_goes_before_the_first_exit():
    harness = WorkerHarness(flush_s=3.0)
    harness.start([0, 1, 2])
    harness.simulation.run(0.3 + 13.0)
    for index in range(3):
        harness.order("kill", index, windup_s=3.0)
    harness.simulation.run(2.0)
    harness.simulation.cloud.reclaim(harness.workers[0].name)
    harness.simulation.run(4.0)
    assert harness.progress == 10.0 and not harness.simulation.lost_progress
    assert all(s[1] is False for s in harness.states(1, 2))


def test_the_world_sees_what_gangs_must_not_do():
    harness = WorkerHarness(cpus=16.0, zones="ab")
    harness.start([0])
    harness.simulation.run(0.4)
    harness.order("run", 1)
    harness.simulation.run(0.4)
    assert any(b.startswith("wrong_place") for b in harness.simulation.violations), "another zone"
    harness = WorkerHarness(zones="a")
    harness.start([0])
    harness.simulation.run(0.4)
    harness.order("run", 1, 2)
    harness.simulation.run(0.4)
    assert [b.split(":")[0] for b in harness.simulation.violations] == ["two_attempts"]
    harness.order("run", 0, 1, on=3)
    harness.simulation.run(0.4)
    assert any(b.startswith("ran_twice") for b in harness.simulation.violations)
    harness = WorkerHarness(count=5, cpus=16.0)
    harness.start([0, 1, 2, 3, 4])
    harness.simulation.run(0.4)
    assert [b.split(":")[0] for b in harness.simulation.violations] == ["quota"], (
        "those that wait count too"
    )

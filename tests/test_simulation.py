"""The fakes of tests/simulation.py themselves: workers with gangs, driven by hand."""

import pytest

from tests.fakes.worker import Worker
from tests.request_bodies import gang
from tests.simulation import Simulation


class Hand:
    """Workers without controllers; the test gives the orders."""

    def __init__(self, count=3, zones="a", **more):
        self.simulation = Simulation()
        for name in self.simulation.names:
            self.simulation.crash(name, 1e9)
        self.spec = gang(1, tasks=count, run_s=40.0, **more)
        self.simulation.specs["req-000001"] = self.spec
        self.simulation.lengths["req-000001"] = 40.0
        self.workers = [self.worker(i, zones[i % len(zones)]) for i in range(count + 1)]

    def worker(self, index, zone):
        name = f"m-{index:06d}"
        worker = Worker(self.simulation, name, zone, True)
        worker.renewed, worker.speed = 1e9, 1.0
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
        return self.simulation.progress.get("req-000001", 0.0)


def test_fakes_start_together_and_complete_together():
    hand = Hand()
    hand.start([0, 1])
    assert hand.states(0, 1) == ["pulling", "pulling"]
    hand.simulation.run(5.0)
    assert hand.states(0, 1) == ["gathering", "gathering"]
    hand.start([2])
    hand.simulation.run(0.4)
    assert hand.states(0, 1, 2) == ["running"] * 3
    assert abs(hand.simulation.waited - 2 * 5.0) < 0.1
    hand.simulation.run(39.8)
    assert hand.states(0, 1, 2) == ["running"] * 3
    hand.simulation.run(0.2)
    assert hand.states(0, 1, 2) == [("done", False)] * 3
    hand.start([1], take=2)
    assert hand.state(1, 2) == ("in_use", False)
    hand.order("clear", 1)
    hand.order("clear", 1, take=2)
    hand.start([1], take=2)
    hand.simulation.run(0.4)
    assert hand.state(1, 2) == ("done", False) and not hand.simulation.broken


def test_fakes_give_up_alone():
    hand = Hand()
    hand.start([0, 1])
    hand.simulation.run(42.2)
    assert hand.states(0, 1) == ["gathering"] * 2
    hand.simulation.run(0.2)
    assert hand.states(0, 1) == [("alone", False)] * 2
    assert hand.simulation.alone == {("req-000001", 1)} and abs(hand.simulation.waited - 84.0) < 0.1


def test_fakes_wait_on_for_a_replacement_of_the_same_attempt():
    hand = Hand()
    hand.start([0, 1])
    hand.simulation.run(2.0)
    hand.simulation.cloud.take(hand.workers[0].name)
    hand.start([2])
    hand.simulation.run(5.0)
    assert hand.states(1, 2) == ["gathering"] * 2
    hand.order("run", 0, on=3)
    hand.simulation.run(0.4)
    assert [hand.state(0, on=3), *hand.states(1, 2)] == ["running"] * 3
    assert not hand.simulation.broken


def test_fakes_that_wait_or_fetch_stop_at_once():
    hand = Hand()
    hand.start([0])
    hand.simulation.run(1.0)
    hand.start([1])
    hand.order("kill", 0, windup_s=10.0)
    hand.order("kill", 1, windup_s=10.0)
    assert hand.states(0, 1) == [("halted", False)] * 2 and not hand.simulation.lost_saves


def test_fakes_notice_a_lost_task_and_fall_back():
    hand = Hand()
    hand.start([0, 1, 2])
    hand.simulation.run(0.3 + 12.0)
    hand.simulation.cloud.take(hand.workers[0].name)
    assert hand.states(1, 2) == ["running"] * 2
    hand.simulation.run(4.0)
    assert hand.states(1, 2) == [("mates_gone", False)] * 2 and hand.progress == 10.0
    hand.order("run", 0, 2, on=3)
    for index in (1, 2):
        hand.order("clear", index)
    hand.start([1, 2], take=2)
    hand.simulation.run(0.4 + 29.5)
    assert hand.states(1, 2, take=2) == ["running"] * 2
    hand.simulation.run(0.5)
    assert hand.states(1, 2, take=2) == [("done", False)] * 2
    assert not hand.simulation.broken and not hand.simulation.lost_saves


def test_fakes_notice_a_machine_that_hangs():
    hand = Hand()
    hand.start([0, 1, 2])
    hand.simulation.run(0.3 + 12.0)
    hand.workers[0].hang(1.0)
    hand.simulation.run(8.0)
    assert hand.states(0, 1, 2) == ["running"] * 3
    hand.workers[0].hang(6.0)
    sent = len(hand.workers[0].sent)
    hand.simulation.run(4.0)
    assert hand.states(0, 1, 2) == ["running", ("mates_gone", False), ("mates_gone", False)]
    assert len(hand.workers[0].sent) == sent and hand.workers[0].on_it()
    hand.simulation.run(2.1)
    assert hand.state(0) == ("mates_gone", False) and hand.progress == 15.0


def test_fakes_save_in_an_orderly_stop():
    hand = Hand(flush_s=2.0)
    hand.start([0, 1, 2])
    hand.simulation.run(0.3 + 13.0)
    hand.order("kill", 0, windup_s=2.0)
    hand.simulation.run(3.0)
    assert hand.states(0, 1, 2) == ["flushing", "running", "running"]
    hand.order("kill", 0, windup_s=2.0)
    hand.order("kill", 1, windup_s=9.0)
    hand.simulation.run(0.9)
    assert hand.states(0, 1, 2) == ["flushing", "flushing", "running"]
    hand.order("kill", 2, windup_s=5.0)
    assert hand.progress == 0.0
    hand.simulation.run(0.2)
    # All are told at the deadline: the first that has saved exits, and the rest when they have.
    assert hand.states(0, 1, 2) == [("halted", True), "flushing", "flushing"]
    assert abs(hand.progress - 13.0) < 1e-6
    hand.simulation.run(2.0)
    assert hand.states(0, 1, 2) == [("halted", True)] * 3
    assert not hand.simulation.lost_saves and not hand.simulation.broken


def test_fakes_lose_what_a_partial_stop_does_not_save():
    hand = Hand()
    hand.start([0, 1, 2])
    hand.simulation.run(0.3 + 13.0)
    hand.order("kill", 0, windup_s=2.0)
    hand.order("kill", 1, windup_s=2.0)
    hand.simulation.run(3.9)
    assert hand.states(0, 1, 2) == ["flushing", "flushing", "running"]
    hand.simulation.run(0.2)
    assert hand.states(0, 1, 2) == [("halted", False), ("halted", False), ("mates_gone", False)]
    assert hand.progress == 10.0
    assert hand.simulation.lost_saves == [("req-000001", 1, "not all told in time", 3.0)]


@pytest.mark.parametrize("orders", [[(0, 0.5)], [(0, 2.0), (0, 0.0)], [(0, 2.0), (1, 0.0)]])
def test_fakes_lose_what_too_little_grace_does_not_save(orders):
    hand = Hand()
    hand.start([0, 1, 2])
    hand.simulation.run(0.3 + 13.0)
    for index, grace in orders:
        hand.order("kill", index, windup_s=grace)
    assert hand.state(orders[-1][0]) == ("halted", False)
    hand.simulation.run(4.1)
    assert all(isinstance(s, tuple) and s[1] is False for s in hand.states(0, 1, 2))
    assert hand.progress == 10.0 and len(hand.simulation.lost_saves) == 1


def test_fakes_lose_a_save_when_a_machine_goes_before_the_first_exit():
    hand = Hand(flush_s=3.0)
    hand.start([0, 1, 2])
    hand.simulation.run(0.3 + 13.0)
    for index in range(3):
        hand.order("kill", index, windup_s=3.0)
    hand.simulation.run(2.0)
    hand.simulation.cloud.take(hand.workers[0].name)
    hand.simulation.run(4.0)
    assert hand.progress == 10.0 and not hand.simulation.lost_saves
    assert all(s[1] is False for s in hand.states(1, 2))


def test_the_world_sees_what_gangs_must_not_do():
    hand = Hand(cpus=16.0, zones="ab")
    hand.start([0])
    hand.simulation.run(0.4)
    hand.order("run", 1)
    hand.simulation.run(0.4)
    assert any(b.startswith("wrong_place") for b in hand.simulation.broken), "another zone"
    hand = Hand(zones="a")
    hand.start([0])
    hand.simulation.run(0.4)
    hand.order("run", 1, 2)
    hand.simulation.run(0.4)
    assert [b.split(":")[0] for b in hand.simulation.broken] == ["two_attempts"]
    hand.order("run", 0, 1, on=3)
    hand.simulation.run(0.4)
    assert any(b.startswith("ran_twice") for b in hand.simulation.broken)
    hand = Hand(count=5, cpus=16.0)
    hand.start([0, 1, 2, 3, 4])
    hand.simulation.run(0.4)
    assert [b.split(":")[0] for b in hand.simulation.broken] == ["quota"], (
        "those that wait count too"
    )

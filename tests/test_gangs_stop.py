"""Gangs that fail, stop and begin again: orders, late and unknown reports, what is kept."""

import json

import pytest

from copperpass.core.ports import CallOutcome
from copperpass.protocol.json_codec import encode
from copperpass.protocol.workers import CommandKind
from tests.gang_scenarios import (
    all_done,
    all_running,
    attempts,
    check_invariants,
    count_present_tasks,
    count_tasks,
    saved_progress,
    simulation_with_jobs,
    task_records,
)
from tests.request_bodies import gang, job
from tests.scheduler_bench import SchedulerBench


class GangBench(SchedulerBench):
    """An owner with one machine on which a gang of three has been started."""

    def __init__(self):
        super().__init__()
        record = json.dumps({"spec": gang(1, tasks=3, cpus=4.0)}).encode()
        self.jobs.on_watch_event(self.now, "c/live/req-000001", record, 70)
        self.shown = []
        self.attempt = self.starts()[0]

    def worker_heartbeat(self, tasks, token=None, agent_epoch=1, sequence=None):
        self.shown = tasks
        return super().worker_heartbeat(tasks, token, agent_epoch, sequence)

    def starts(self):
        """The attempts of the starts that a round sends, each answered."""
        self.scheduler.dispatch_round(self.now)
        found = []
        while calls := self.take_calls("worker"):
            for call in calls:
                orders = json.loads(call.body)["orders"]
                runs = [
                    (o["page"], o["take"], "pulling", None) for o in orders if o["verb"] == "run"
                ]
                found += [attempt for _, attempt, _, _ in runs]
                self.sequence += 1
                self.shown = self.shown + runs
                body = encode(self.heartbeat(self.shown, sequence=self.sequence))
                call.on_done(self.now, CallOutcome(200, body))
        return found

    def tell(self, *states, attempt=None, sequence=None):
        """Report each task's state, or with `!` before it the reason of its exit."""
        tasks = []
        for index, state in enumerate(states):
            if state is None:
                continue
            exit_cause = state[1:] if state.startswith("!") else None
            shown = "exited" if exit_cause is not None else state
            tasks.append((f"req-000001/{index}", attempt or self.attempt, shown, exit_cause))
        return self.worker_heartbeat(tasks, sequence=sequence)

    def verbs(self, answer):
        return [(c.kind, c.task[-1]) for c in answer.commands]


def test_the_bench_starts_a_gang_under_one_attempt():
    bench = GangBench()
    assert len(bench.job.assigned) == 3 and bench.job.attempt == bench.attempt
    assert not bench.job.gang_started and bench.job.displayed_running() == 0


# Guards against words of a later protocol: a state is of a task that is there, a reason of one that
# isn't, whatever they say.
def test_an_unknown_state_is_that_of_a_task_which_is_there():
    bench = GangBench()
    bench.tell("dreaming", "gathering", "gathering")
    assert len(bench.job.assigned) == 3 and not bench.job.gang_started and not bench.job.gang_ending
    assert bench.starts() == []


@pytest.mark.parametrize("exit_cause", ["mates_gone", "alone", "halted", "error", "moonlight", ""])
def test_whatever_the_reason_a_gang_that_has_run_begins_again_when_all_are_gone(exit_cause):
    bench = GangBench()
    bench.tell("running", "running", "running")
    bench.tell("running", f"!{exit_cause}", "running")
    assert bench.job.gang_ending and bench.starts() == []
    bench.tell("running", f"!{exit_cause}", "running")
    answer = bench.tell("running", f"!{exit_cause}", "!mates_gone")
    assert (CommandKind.STOP, "0") in bench.verbs(answer)
    assert bench.starts() == [], "task 0 is still there"
    bench.tell("!mates_gone", f"!{exit_cause}", "!mates_gone")
    bench.now += 30.0
    # Cleared, for under the new attempt the machine would refuse what it still knows.
    bench.worker_heartbeat([])
    again = bench.starts()
    assert len(again) == 3 and len(set(again)) == 1 and again[0] > bench.attempt


@pytest.mark.parametrize("words", [("gathering",) * 3, ("!mates_gone",) * 3, ("!alone",) * 3])
def test_late_words_change_nothing(words):
    bench = GangBench()
    bench.tell("gathering", "gathering", "gathering")
    old = bench.sequence
    bench.tell("running", "running", "running")
    answer = bench.tell(*words, sequence=old)
    assert answer.commands == [] and bench.job.gang_started and not bench.job.gang_ending
    assert len(bench.job.assigned) == 3 and bench.starts() == []


@pytest.mark.parametrize("exit_cause", ["mates_gone", "alone"])
def test_words_of_an_older_attempt_do_not_end_the_newer_one(exit_cause):
    bench = GangBench()
    bench.tell("running", "running", "running")
    bench.tell(f"!{exit_cause}", f"!{exit_cause}", f"!{exit_cause}")
    bench.worker_heartbeat([])
    first, bench.attempt = bench.attempt, bench.starts()[0]
    exits = [(f"req-000001/{i}", first, "exited", exit_cause) for i in range(3)]
    there = [(f"req-000001/{i}", bench.attempt, "gathering", None) for i in range(3)]
    for tasks in (exits + there, there, exits + there):
        bench.worker_heartbeat(tasks)
        assert bench.job.attempt == bench.attempt and not bench.job.gang_ending
        assert len(bench.job.assigned) == 3 and bench.starts() == []


@pytest.mark.parametrize("after", [None, "!no_room", "!in_use", "!unknown", "!error"])
def test_a_gathering_task_that_is_lost_is_replaced_under_its_attempt(after):
    bench = GangBench()
    bench.tell("gathering", "pulling", "gathering")
    bench.tell("gathering", after, "gathering")
    bench.now += 3.0
    # Cleared, for the machine would ignore the start of what it still knows.
    bench.tell("gathering", None, "gathering")
    assert not bench.job.gang_ending and bench.starts() == [bench.attempt]


# Guards against members of an attempt that is over which are seen only later: untold they would
# hold their place until they give up.
def test_a_task_that_is_seen_after_its_attempt_has_ended_is_stopped():
    bench = GangBench()
    bench.tell("running", "running", "running")
    bench.tell("running", "!mates_gone", "running")
    late = bench.adopt_machine("m-2")
    heartbeat = bench.heartbeat(
        [("req-000001/1", bench.attempt, "gathering", None)], late.base_token, 1, 1
    )
    heartbeat.machine, heartbeat.address = "m-2", "10.0.0.8:1"
    answer = bench.scheduler.worker_heartbeat(bench.now, heartbeat)
    assert bench.verbs(answer) == [(CommandKind.STOP, "1")]


# Guards the attempt that has started against a fourth member: it could never join the others.
@pytest.mark.parametrize("after", [None, "!error", "!no_room", "!unknown", "!in_use"])
def test_a_task_that_goes_unseen_after_the_start_ends_the_attempt(after):
    bench = GangBench()
    bench.tell("running", "gathering", "running")
    answer = bench.tell("running", after, "running")
    assert bench.job.gang_ending and bench.starts() == []
    assert {(CommandKind.STOP, "0"), (CommandKind.STOP, "2")} <= set(bench.verbs(answer))


def test_no_attempt_begins_beside_a_second_copy_of_an_older_one():
    bench = GangBench()
    bench.tell("gathering", "gathering", "gathering")
    late = bench.adopt_machine("m-2")

    def copy(sequence, *tasks):
        bench.now += 1.0
        heartbeat = bench.heartbeat(tasks, late.base_token, 1, sequence)
        heartbeat.machine, heartbeat.address = "m-2", "10.0.0.8:1"
        return bench.scheduler.worker_heartbeat(bench.now, heartbeat)

    older = ("req-000001/0", bench.attempt - 1, "gathering", None)
    answer = copy(1, older)
    assert bench.verbs(answer) == [(CommandKind.STOP, "0")] and bench.job.gang_ending
    bench.tell("!halted", "!halted", "!halted")
    copy(2, older)
    bench.worker_heartbeat([])
    assert not bench.job.assigned and bench.starts() == []
    copy(3)
    assert len(bench.starts()) == 3


def started_under(simulation):
    """The attempts of all starts that reach machines from now on."""
    seen, original = [], simulation.gang

    def noted(job_id, attempt):
        seen.append(attempt)
        return original(job_id, attempt)

    simulation.gang = noted
    return seen


def test_nobody_is_replaced_after_the_start():
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=30.0))
    seen = started_under(simulation)
    simulation.run_until(all_running(simulation, 1), 60)
    (first,) = attempts(simulation, 1)
    simulation.run(2.0)
    simulation.cloud.reclaim(task_records(simulation, 1)[0][0].name)
    simulation.run_until(all_done(simulation, 1), 150)
    (first, again) = attempts(simulation, 1)
    assert (seen.count(first), seen.count(again)) == (4, 4)
    check_invariants(simulation)


def test_a_gang_whose_rest_finds_no_room_begins_elsewhere_before_it_gives_up():
    simulation = simulation_with_jobs(gang(1, cpus=12.0), gang_wait_s=60.0)
    simulation.image_pull_s["req-000001/3"] = 1e3
    simulation.run_until(lambda: count_tasks(simulation, 1, "gathering") == 3, 60)
    (zone,) = {w.zone for w, _, _ in task_records(simulation, 1)}
    simulation.cloud.capacity.update({(zone, True): 0, (zone, False): 0})
    slow = next(w for w, key, _ in task_records(simulation, 1) if key[0] == "req-000001/3")
    idle = [w for w in simulation.cloud.workers() if w.zone == zone and not w.tasks]
    for worker in [slow, *idle]:
        simulation.cloud.reclaim(worker.name)
    simulation.image_pull_s.clear()
    simulation.run_until(lambda: len(attempts(simulation, 1)) == 2, 90)
    assert not simulation.gave_up_waiting
    simulation.run_until(all_done(simulation, 1), 90)
    check_invariants(simulation)


# Guards against throwing progress away: a stop that can't save is worse than to run on.
@pytest.mark.parametrize("fault", ["too short", "not reached"])
def test_a_stop_that_cannot_save_is_not_tried(fault):
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=30.0, proof_s=100.0, flush_s=2.0))
    simulation.gang_runtime_s["req-000001"] = 60.0
    simulation.run_until(all_running(simulation, 1), 60)
    simulation.run(5.0)
    (victim, *others) = [w for w, _, _ in task_records(simulation, 1)]
    if fault == "not reached":
        for name in simulation.node_names:
            simulation.cut(name, others[0].name)
        simulation.run(5.0)
    victim.reclaim_notice_s = 1.5 if fault == "too short" else 5.0
    for _ in range(14):
        simulation.run(0.1)
        assert not count_tasks(simulation, 1, "flushing", "exited")
    assert not simulation.lost_progress
    simulation.heal()
    victim.reclaim_notice_s = None
    simulation.run_until(all_done(simulation, 1), 250)
    check_invariants(simulation)


def test_a_machine_that_goes_before_the_first_has_saved_costs_the_save_only():
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=40.0, flush_s=4.0))
    simulation.gang_runtime_s["req-000001"] = 40.0
    simulation.run_until(all_running(simulation, 1), 60)
    simulation.run(8.0)
    victim = task_records(simulation, 1)[0][0]
    victim.reclaim_notice_s = 8.0
    simulation.run_until(lambda: count_tasks(simulation, 1, "flushing") == 4, 5)
    simulation.cloud.reclaim(victim.name)
    simulation.run_until(
        lambda: len(attempts(simulation, 1)) == 2 and all_running(simulation, 1)(), 90
    )
    assert saved_progress(simulation, 1) == 5.0
    simulation.run_until(all_done(simulation, 1), 90)
    check_invariants(simulation)


# Guards the overlap of attempts: a task that hangs keeps its machine, its team's part and, with one
# zone for all, its zone. The simulation notes what breaks a rule.
@pytest.mark.parametrize("one_zone", [False, True])
def test_the_next_attempt_waits_for_a_task_that_hangs(one_zone):
    simulation = simulation_with_jobs(
        gang(1, team="blue", tasks=3, cpus=16.0, run_s=40.0, same_place=one_zone),
        job(2, team="blue", tasks=30, cpus=4.0, run_s=4.0, urgency="low"),
    )
    simulation.run_until(all_running(simulation, 1), 150)
    simulation.run(6.0)
    (lost, hung, _) = [w for w, _, _ in task_records(simulation, 1)]
    hung.hang(11.0)
    simulation.cloud.reclaim(lost.name)
    until = simulation.now + 10.0
    while simulation.now < until and hung.name in simulation.cloud.machines:
        simulation.run(0.5)
        assert len(attempts(simulation, 1)) == 1
    simulation.run_until(all_done(simulation, 1, 2), 250)
    check_invariants(simulation)


@pytest.mark.parametrize("state", ["flushing", "ending"])
def test_a_cancelled_gang_that_is_being_stopped_is_gone(state):
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=300.0, flush_s=3.0))
    simulation.run_until(all_running(simulation, 1), 60)
    simulation.run(6.0)
    victim = task_records(simulation, 1)[0][0]
    if state == "flushing":
        victim.reclaim_notice_s = 9.0
        simulation.run_until(lambda: count_tasks(simulation, 1, "flushing") == 4, 10)
    else:
        victim.hang(6.0)
        simulation.run_until(lambda: count_tasks(simulation, 1, "exited") > 0, 10)
    starts = simulation.starts
    user = simulation.cancel("req-000001")
    simulation.run_until(lambda: user.status is not None, 5)
    assert user.status == 200
    simulation.run_until(lambda: not count_present_tasks(simulation, 1), simulation.cancel_s)
    simulation.run(60)
    assert simulation.starts == starts and not count_present_tasks(simulation, 1)
    check_invariants(simulation)


# Guards the end of a gang whose other machines are lost with their reports: one result is all.
def test_one_done_task_ends_the_whole_gang():
    bench = GangBench()
    bench.tell("running", "running", "running")
    bench.tell("!done", "running", "running")
    (write,) = bench.take_calls("state")
    assert b'"final":"done"' in write.body
    bench.tell("!done", None, None)
    assert bench.starts() == []

"""A task is where it may be: what a leader concludes from reports, answers and silence."""

import dataclasses
import json

import pytest

from copperpass.core.ports import CallOutcome
from copperpass.core.scheduling.machines import Machine
from copperpass.core.shards.fencing_tokens import base_token
from copperpass.protocol.frames.messages import MachineContact
from copperpass.protocol.json_codec import encode
from copperpass.protocol.workers import CommandKind, TaskStatus, WorkerHeartbeat
from tests.request_bodies import job
from tests.scheduler_bench import SchedulerBench


def test_an_unanswered_start_stays_possible_until_a_higher_token_is_seen():
    bench = SchedulerBench()
    call, _ = bench.start_tasks()
    call.on_done(bench.now, CallOutcome(0))
    answer = bench.worker_heartbeat([])
    assert bench.job.assigned == {0: "m-1"}, "an old token's report proves nothing"
    assert answer.token > bench.token
    bench.token = answer.token
    bench.worker_heartbeat([])
    assert bench.job.assigned == {} and bench.job.next_task() == 0


def test_a_refused_start_is_free_at_once():
    bench = SchedulerBench()
    call, _ = bench.start_tasks()
    call.on_done(
        bench.now, CallOutcome(409, encode(bench.heartbeat([], sequence=bench.sequence + 1)))
    )
    assert bench.job.assigned == {}


def test_a_start_sent_with_an_answer_is_judged_by_the_next_report_only():
    bench = SchedulerBench()
    bench.add_job()
    machine = bench.scheduler.machines["m-1"]
    machine.command_backoff_until = bench.now + 100
    bench.scheduler.dispatch_round(bench.now)
    assert bench.take_calls("worker") == []
    answer = bench.worker_heartbeat([])
    assert [c.kind for c in answer.commands] == [CommandKind.START]
    direct = bench.heartbeat([], sequence=bench.sequence + 1)
    bench.scheduler.heartbeats.apply(bench.now, machine, direct, False)
    assert bench.job.assigned == {0: "m-1"}, "an answer of /do may be older than the start"
    bench.sequence += 1
    bench.worker_heartbeat([])
    assert bench.job.assigned == {}


def test_an_old_report_changes_nothing():
    bench = SchedulerBench()
    _, attempt = bench.start_tasks()
    bench.worker_heartbeat([("req-000001/0", attempt, "running", None)])
    late = bench.worker_heartbeat([], sequence=1)
    assert late.commands == [] and bench.job.assigned == {0: "m-1"}


def test_a_cancelled_job_is_killed_at_once_and_again_until_gone():
    bench = SchedulerBench()
    call, attempt = bench.start_tasks()
    running = [("req-000001/0", attempt, "running", None)]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.heartbeat(running, sequence=bench.sequence + 1)))
    )
    bench.sequence += 1
    change = bench.jobs.on_watch_event(bench.now, "c/live/req-000001", None, 80)
    assert change.removed
    bench.scheduler.on_job_completed(bench.now, change.job)
    (kill,) = bench.take_calls("worker")
    assert json.loads(kill.body)["orders"][0]["verb"] == CommandKind.STOP
    kill.on_done(bench.now, CallOutcome(0))
    for _ in range(2):
        assert [c.kind for c in bench.worker_heartbeat(running).commands] == [CommandKind.STOP]


def test_the_machine_is_deleted_before_its_tasks_are_free():
    bench = SchedulerBench()
    _, attempt = bench.start_tasks()
    bench.worker_heartbeat([("req-000001/0", attempt, "running", None)])
    bench.scheduler.machines["m-1"].deletion_requested = True
    bench.scheduler.scan(bench.now)
    assert bench.job.assigned == {0: "m-1"}
    assert [s.deletion_requested for s in bench.scheduler.statuses(bench.now)] == [True]
    bench.scheduler.on_route(bench.now, dataclasses.replace(bench.route, deleted=True))
    assert bench.job.assigned == {} and "m-1" not in bench.scheduler.machines


def test_work_of_the_lease_ends_with_the_lease_not_before():
    bench = SchedulerBench()
    _, attempt = bench.start_tasks()
    bench.worker_heartbeat([("req-000001/0", attempt, "running", None)])
    at = bench.now
    bench.scheduler.scan(at + 11.9)
    assert bench.job.assigned == {0: "m-1"}
    bench.scheduler.scan(at + 12.2)
    assert bench.job.assigned == {}


def test_work_without_an_aim_asks_for_machines_before_its_wait_is_over():
    # Never due, it counted on room that others keep taking: less than half of a class was served.
    bench = SchedulerBench()
    running = job(1, tasks=4, slot="none", run_s=100.0)
    bench.jobs.on_watch_event(
        bench.now, "c/live/req-000001", json.dumps({"spec": running}).encode(), 70
    )
    bench.scheduler.dispatch_round(bench.now)
    (call,) = bench.take_calls("worker")
    takes = [(o["page"], o["take"], "running", None) for o in json.loads(call.body)["orders"]]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.heartbeat(takes, sequence=bench.sequence + 1)))
    )
    bench.sequence += 1
    waiting = job(2, tasks=4, slot="none", run_s=100.0)
    bench.jobs.on_watch_event(
        bench.now, "c/live/req-000002", json.dumps({"spec": waiting}).encode(), 71
    )
    assert bench.scheduler.capacity_requests(bench.now) == [], (
        "the room that ends before its wait does is enough"
    )
    later = bench.now + 100.0
    bench.scheduler.machines["m-1"].last_heartbeat_at = later
    ((name, count, left),) = bench.scheduler.capacity_requests(later)
    assert (name, count) == ("req-000002", 4) and 0 < left < 30


def fleet_of(bench, zones):
    for number, zone in enumerate(zones):
        machine = Machine(f"m-{number:03d}", bench.scheduler.context.types["box"], zone, True)
        machine.registered = machine.reconciled = True
        machine.registered_at = bench.now
        machine.last_heartbeat_at = machine.last_answer_at = bench.now
        bench.scheduler.machines[machine.name] = machine
    return list(bench.scheduler.machines.values())[1:]


def test_a_zone_that_falls_silent_is_not_deleted_while_a_few_lost_machines_are():
    # A zone's machines were deleted early in a cut and rented anew where nobody hears them.
    bench = SchedulerBench()
    machines = fleet_of(bench, "aaaabbbbcccc")
    scheduler, at = bench.scheduler, bench.now
    bench.now = at + scheduler.timing.unreachable_timeout_s + 0.1
    lost = machines[5]
    for machine in machines:
        if machine.zone != "a" and machine is not lost:
            machine.last_heartbeat_at = machine.last_answer_at = bench.now
    scheduler.scan(bench.now)
    assert not any(m.deletion_requested for m in machines)
    # Once the zone speaks again, what stays silent alone goes.
    for machine in machines[:4]:
        machine.last_heartbeat_at = machine.last_answer_at = bench.now
    scheduler.scan(bench.now)
    assert [m.name for m in machines if m.deletion_requested] == [lost.name]
    # A zone that stays silent for several leases is given up all the same.
    for machine in machines[4:]:
        machine.last_heartbeat_at = machine.last_answer_at = (
            bench.now + 5 * scheduler.timing.lease_s
        )
    scheduler.scan(bench.now + 5 * scheduler.timing.lease_s)
    assert all(m.deletion_requested for m in machines[:4])


def test_a_late_write_does_not_make_an_old_job_look_new():
    bench = SchedulerBench()
    bench.adopt_machine("m-9")
    young = json.dumps({"spec": job(1, tasks=2)}).encode()
    old = json.dumps({"spec": job(2, tasks=2), "done": "AQ=="}).encode()
    for number, record in ((1, young), (2, old)):
        bench.jobs.on_watch_event(bench.now, f"c/live/req-{number:06d}", record, 90)
    jobs = bench.jobs.jobs
    assert bench.scheduler.demand.is_startable(jobs["req-000001"], bench.now)
    assert not bench.scheduler.demand.is_startable(jobs["req-000002"], bench.now)


def test_what_is_unseen_holds_up_only_jobs_that_may_be_there():
    bench = SchedulerBench()
    bench.adopt_machine("m-9")
    for number, zone in ((1, None), (2, "b"), (3, "a")):
        record = json.dumps({"spec": job(number, hall=zone)}).encode()
        bench.jobs.on_watch_event(bench.now, f"c/live/req-{number:06d}", record, 40)
    is_startable = {
        i: bench.scheduler.demand.is_startable(j, bench.now) for i, j in bench.jobs.jobs.items()
    }
    assert is_startable == {"req-000001": False, "req-000002": True, "req-000003": False}


def test_a_machine_taken_over_is_asked_at_once_and_its_answer_settles_it():
    bench = SchedulerBench()
    bench.add_job(version=40)
    machine = bench.adopt_machine("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    bench.scheduler.tick(bench.now)
    (probe,) = bench.take_calls("worker")
    sent = json.loads(probe.body)
    assert (probe.address, sent["shift"], sent["orders"]) == ("10.0.0.8:1", 3, [])

    def answer(agent_epoch, token, sequence):
        tasks = [TaskStatus("req-000001/0", 5, "running", None)]
        return encode(
            WorkerHeartbeat(
                "m-9", "10.0.0.8:1", "box", "a", True, agent_epoch, sequence, token, None, tasks
            )
        )

    # Its session has changed since: that answer shows no new token, so it proves nothing.
    probe.on_done(bench.now, CallOutcome(409, answer(4, 1, 7)))
    assert not machine.reconciled and bench.scheduler.unreconciled == {"m-9"}
    bench.scheduler.tick(bench.now)
    (probe,) = bench.take_calls("worker")
    assert json.loads(probe.body)["shift"] == 4
    probe.on_done(bench.now, CallOutcome(200, answer(4, machine.base_token, 8)))
    assert (
        machine.reconciled and not bench.scheduler.unreconciled and bench.job.assigned == {0: "m-9"}
    )


def test_an_unanswered_probe_proves_nothing_and_is_sent_again_later():
    bench = SchedulerBench()
    bench.add_job(version=40)
    machine = bench.adopt_machine("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    for _ in range(3):
        bench.scheduler.tick(bench.now)
        (probe,) = bench.take_calls("worker")
        probe.on_done(bench.now, CallOutcome(0))
        bench.scheduler.tick(bench.now)
        assert not bench.take_calls("worker")
        assert not bench.scheduler.demand.is_startable(bench.job, bench.now)
        bench.now += bench.scheduler.timing.heartbeat_interval_s
    assert machine.name in bench.scheduler.unreconciled and not machine.reconciled


def test_a_higher_authority_is_not_talked_over():
    bench = SchedulerBench()
    assert bench.worker_heartbeat([], token=base_token(1, 2)) is None


@pytest.mark.parametrize("exit_cause", ["no_room", "in_use", "unknown", "error"])
def test_a_refused_or_failed_attempt_is_tried_again_under_another_number(exit_cause):
    bench = SchedulerBench()
    call, attempt = bench.start_tasks()
    ended = [("req-000001/0", attempt, "exited", exit_cause)]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.heartbeat(ended, sequence=bench.sequence + 1)))
    )
    bench.sequence += 1
    bench.now += 60.0
    bench.worker_heartbeat(ended)
    bench.scheduler.dispatch_round(bench.now)
    (again,) = bench.take_calls("worker")
    assert json.loads(again.body)["orders"][0]["take"] > attempt


def test_an_owner_that_has_not_begun_does_not_keep_alive_what_may_be_cancelled():
    bench = SchedulerBench()
    bench.scheduler.state.ready = False
    task = [("req-000009/0", 7, "running", None)]
    bench.consistent_at = bench.now
    assert bench.worker_heartbeat(task) is not None, "a moment's lag is no reason to lose a task"
    bench.now += 10.0
    assert bench.worker_heartbeat(task) is None, "its job may have been cancelled long ago"
    # The view catches up to after the report that showed the task: the job is over for certain.
    bench.consistent_at = bench.now
    answer = bench.worker_heartbeat(task)
    assert [(c.kind, c.task) for c in answer.commands] == [("kill", "req-000009/0")]


def test_a_job_left_out_for_long_gets_room_that_is_kept_for_others():
    bench = SchedulerBench()
    machine = bench.scheduler.machines["m-1"]
    bench.add_job(tasks=3)
    machine.reserved_for_job, machine.reserved_until = "req-000099", bench.now + 1000.0
    bench.scheduler.dispatch_round(bench.now)
    assert not bench.take_calls("worker"), "held for another"
    for _ in range(80):
        bench.worker_heartbeat([])
    bench.scheduler.dispatch_round(bench.now)
    (call,) = bench.take_calls("worker")
    assert len(json.loads(call.body)["orders"]) == 1, "it doesn't wait beside room"
    bench.scheduler.dispatch_round(bench.now)
    assert not bench.take_calls("worker"), "the rest of the room is still held"


def test_a_job_that_has_begun_and_is_left_out_for_long_gets_room_that_is_kept_too():
    # Its first task had ended, so it didn't count as left out, and waited beside idle machines
    # that were kept for others until they were given back.
    bench = SchedulerBench()
    machine = bench.scheduler.machines["m-1"]
    bench.add_job(tasks=3)
    bench.job.mark_completed(0)
    bench.job.arrived_at = bench.now - 500.0
    machine.reserved_for_job, machine.reserved_until = "req-000099", bench.now + 1000.0
    bench.job.assigned[1] = "m-1"
    bench.scheduler.dispatch_round(bench.now)
    bench.job.assigned.clear()
    for _ in range(70):
        bench.worker_heartbeat([])
        bench.scheduler.dispatch_round(bench.now)
    assert not bench.take_calls("worker"), "held for another, and it had a place not long ago"
    for _ in range(10):
        bench.worker_heartbeat([])
    bench.scheduler.dispatch_round(bench.now)
    (call,) = bench.take_calls("worker")
    assert len(json.loads(call.body)["orders"]) == 1, "it doesn't wait beside room"

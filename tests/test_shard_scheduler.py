"""A task is where it may be: what a leader concludes from reports, answers and silence."""

import dataclasses
import json

import pytest

from copperpass import settings as settings_module
from copperpass.core.jobs.job_table import JobTable
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome, Outbox
from copperpass.core.scheduling.context import SchedulerContext
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.core.shards.routing import base_token
from copperpass.protocol.frames.messages import MachineContact, MachineRoute, Occupancy
from copperpass.protocol.json_codec import encode
from copperpass.protocol.workers import CommandKind, ExitCause, TaskStatus, WorkerHeartbeat
from tests.deployments import TYPE, machine_types
from tests.request_bodies import job, raw_settings


class SchedulerBench:
    """A leader with one machine, driven by hand."""

    def __init__(self):
        cluster = settings_module.parse(raw_settings()).cluster
        self.out, self.jobs, self.now = Outbox(), JobTable(), 10.0
        self.consistent_at = float("-inf")
        transactions = TransactionQueue(self.out, 60.0, 16, 1.0)
        types = machine_types(TYPE)
        self.token = base_token(1, 1)
        context = SchedulerContext(
            cluster,
            self.out,
            transactions,
            self.jobs,
            types,
            {},
            shard=0,
            shards={t.name: 0 for t in cluster.teams},
            epoch=1,
            generation=1,
            token_version=lambda: 50,
            has_authority=lambda now: True,
            consistent_at=lambda: self.consistent_at,
        )
        self.owner = ShardScheduler(context, revision=50, now=self.now)
        self.entry = MachineRoute("m-1", "box", "a", True, 0, self.token, recorded=True)
        self.owner.on_route(self.now, self.entry)
        self.owner.begin(self.now)
        self.sequence = 0
        self.worker_heartbeat([], token=0)
        self.worker_heartbeat([])

    def take_over(self, name, **more):
        """Learn of a machine that an earlier commander may have used."""
        self.owner.on_route(
            self.now,
            MachineRoute(
                name,
                "box",
                "a",
                True,
                0,
                base_token(1, 9),
                Occupancy.ANY_SHARD,
                recorded=True,
                **more,
            ),
        )
        return self.owner.machines[name]

    def worker_heartbeat(self, tasks, token=None, agent_epoch=1, sequence=None):
        self.now += 1.0
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        return self.owner.worker_heartbeat(
            self.now, self.message(tasks, token, agent_epoch, sequence)
        )

    def message(self, tasks, token=None, agent_epoch=1, sequence=0):
        return WorkerHeartbeat(
            "m-1",
            "10.0.0.9:1",
            "box",
            "a",
            True,
            agent_epoch,
            sequence,
            self.token if token is None else token,
            None,
            [TaskStatus(t, a, s, w) for t, a, s, w in tasks],
        )

    def answer_state(self, status=200):
        for call in self.take("state"):
            call.on_done(self.now, CallOutcome(status, b'{"issue":60}'))

    def take(self, service):
        found = [c for c in self.out.calls if c.service == service]
        self.out.calls[:] = [c for c in self.out.calls if c.service != service]
        return found

    def add(self, number=1, tasks=1, version=70):
        record = json.dumps({"spec": job(number, tasks=tasks)}).encode()
        self.jobs.saw(self.now, f"c/live/req-{number:06d}", record, version)

    def start(self, tasks=1):
        self.add(tasks=tasks)
        self.owner.dispatch_round(self.now)
        (call,) = self.take("worker")
        orders = json.loads(call.body)["orders"]
        assert [o["verb"] for o in orders] == ["run"] * tasks
        return call, orders[0]["take"]

    @property
    def job(self):
        return self.jobs.jobs["req-000001"]


def test_an_unanswered_start_stays_possible_until_a_higher_token_is_seen():
    bench = SchedulerBench()
    call, _ = bench.start()
    call.on_done(bench.now, CallOutcome(0))
    answer = bench.worker_heartbeat([])
    assert bench.job.placed == {0: "m-1"}, "an old token's report proves nothing"
    assert answer.token > bench.token
    bench.token = answer.token
    bench.worker_heartbeat([])
    assert bench.job.placed == {} and bench.job.peek() == 0


def test_a_refused_start_is_free_at_once():
    bench = SchedulerBench()
    call, _ = bench.start()
    call.on_done(
        bench.now, CallOutcome(409, encode(bench.message([], sequence=bench.sequence + 1)))
    )
    assert bench.job.placed == {}


def test_a_start_sent_with_an_answer_is_judged_by_the_next_report_only():
    bench = SchedulerBench()
    bench.add()
    machine = bench.owner.machines["m-1"]
    machine.command_backoff_until = bench.now + 100
    bench.owner.dispatch_round(bench.now)
    assert bench.take("worker") == []
    answer = bench.worker_heartbeat([])
    assert [c.op for c in answer.commands] == [CommandKind.START]
    direct = bench.message([], sequence=bench.sequence + 1)
    bench.owner.heartbeats.take(bench.now, machine, direct, False)
    assert bench.job.placed == {0: "m-1"}, "an answer of /do may be older than the start"
    bench.sequence += 1
    bench.worker_heartbeat([])
    assert bench.job.placed == {}


def test_an_old_report_changes_nothing():
    bench = SchedulerBench()
    _, attempt = bench.start()
    bench.worker_heartbeat([("req-000001/0", attempt, "running", None)])
    late = bench.worker_heartbeat([], sequence=1)
    assert late.commands == [] and bench.job.placed == {0: "m-1"}


def test_done_is_cleared_only_when_stored_and_past_repeats_of_its_start():
    bench = SchedulerBench()
    call, attempt = bench.start()
    ended = [("req-000001/0", attempt, "exited", "done")]
    call.on_done(
        bench.now,
        CallOutcome(
            200,
            encode(
                bench.message(
                    [("req-000001/0", attempt, "running", None)], sequence=bench.sequence + 1
                )
            ),
        ),
    )
    bench.sequence += 1
    answer = bench.worker_heartbeat(ended)
    assert answer.commands == []
    bench.answer_state(0)
    assert bench.worker_heartbeat(ended).commands == [], "no answer: it may not be stored"
    bench.owner.results.store(bench.now, bench.job)
    bench.answer_state(200)
    answer = bench.worker_heartbeat(ended)
    assert answer.commands == [] and answer.token > bench.token
    bench.token = answer.token
    assert [c.op for c in bench.worker_heartbeat(ended).commands] == [CommandKind.FORGET]


def test_a_cancelled_job_is_killed_at_once_and_again_until_gone():
    bench = SchedulerBench()
    call, attempt = bench.start()
    running = [("req-000001/0", attempt, "running", None)]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.message(running, sequence=bench.sequence + 1)))
    )
    bench.sequence += 1
    gone, over = bench.jobs.saw(bench.now, "c/live/req-000001", None, 80)
    assert over
    bench.owner.job_ended(bench.now, gone)
    (kill,) = bench.take("worker")
    assert json.loads(kill.body)["orders"][0]["verb"] == CommandKind.STOP
    kill.on_done(bench.now, CallOutcome(0))
    for _ in range(2):
        assert [c.op for c in bench.worker_heartbeat(running).commands] == [CommandKind.STOP]


def test_the_machine_is_deleted_before_its_tasks_are_free():
    bench = SchedulerBench()
    _, attempt = bench.start()
    bench.worker_heartbeat([("req-000001/0", attempt, "running", None)])
    bench.owner.machines["m-1"].deletion_requested = True
    bench.owner.scan(bench.now)
    assert bench.job.placed == {0: "m-1"}
    assert [s.deletion_requested for s in bench.owner.statuses(bench.now)] == [True]
    bench.owner.on_route(bench.now, dataclasses.replace(bench.entry, deleted=True))
    assert bench.job.placed == {} and "m-1" not in bench.owner.machines


def test_work_of_the_lease_ends_with_the_lease_not_before():
    bench = SchedulerBench()
    _, attempt = bench.start()
    bench.worker_heartbeat([("req-000001/0", attempt, "running", None)])
    at = bench.now
    bench.owner.scan(at + 11.9)
    assert bench.job.placed == {0: "m-1"}
    bench.owner.scan(at + 12.2)
    assert bench.job.placed == {}


def test_work_without_an_aim_asks_for_machines_before_its_wait_is_over():
    # Never due, it counted on room that others keep taking: less than half of a class was served.
    bench = SchedulerBench()
    running = job(1, tasks=4, slot="none", run_s=100.0)
    bench.jobs.saw(bench.now, "c/live/req-000001", json.dumps({"spec": running}).encode(), 70)
    bench.owner.dispatch_round(bench.now)
    (call,) = bench.take("worker")
    takes = [(o["page"], o["take"], "running", None) for o in json.loads(call.body)["orders"]]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.message(takes, sequence=bench.sequence + 1)))
    )
    bench.sequence += 1
    waiting = job(2, tasks=4, slot="none", run_s=100.0)
    bench.jobs.saw(bench.now, "c/live/req-000002", json.dumps({"spec": waiting}).encode(), 71)
    assert bench.owner.capacity_requests(bench.now) == [], (
        "the room that ends before its wait does is enough"
    )
    later = bench.now + 100.0
    bench.owner.machines["m-1"].last_heartbeat_at = later
    ((name, count, left),) = bench.owner.capacity_requests(later)
    assert (name, count) == ("req-000002", 4) and 0 < left < 30


def fleet_of(bench, zones):
    for number, zone in enumerate(zones):
        machine = Machine(f"m-{number:03d}", bench.owner.context.types["box"], zone, True)
        machine.up = machine.settled = True
        machine.up_at = bench.now
        machine.last_heartbeat_at = machine.last_answer_at = bench.now
        bench.owner.machines[machine.name] = machine
    return list(bench.owner.machines.values())[1:]


def test_a_zone_that_falls_silent_is_not_deleted_while_a_few_lost_machines_are():
    # A zone's machines were deleted early in a cut and rented anew where nobody hears them.
    bench = SchedulerBench()
    machines = fleet_of(bench, "aaaabbbbcccc")
    owner, at = bench.owner, bench.now
    bench.now = at + owner.timing.lost_s + 0.1
    lost = machines[5]
    for machine in machines:
        if machine.zone != "a" and machine is not lost:
            machine.last_heartbeat_at = machine.last_answer_at = bench.now
    owner.scan(bench.now)
    assert not any(m.deletion_requested for m in machines)
    # Once the zone speaks again, what stays silent alone goes.
    for machine in machines[:4]:
        machine.last_heartbeat_at = machine.last_answer_at = bench.now
    owner.scan(bench.now)
    assert [m.name for m in machines if m.deletion_requested] == [lost.name]
    # A zone that stays silent for several leases is given up all the same.
    for machine in machines[4:]:
        machine.last_heartbeat_at = machine.last_answer_at = bench.now + 5 * owner.timing.lease_s
    owner.scan(bench.now + 5 * owner.timing.lease_s)
    assert all(m.deletion_requested for m in machines[:4])


def test_a_late_write_does_not_make_an_old_job_look_new():
    bench = SchedulerBench()
    bench.take_over("m-9")
    young = json.dumps({"spec": job(1, tasks=2)}).encode()
    old = json.dumps({"spec": job(2, tasks=2), "done": "AQ=="}).encode()
    for number, record in ((1, young), (2, old)):
        bench.jobs.saw(bench.now, f"c/live/req-{number:06d}", record, 90)
    jobs = bench.jobs.jobs
    assert bench.owner.demand.is_startable(jobs["req-000001"], bench.now)
    assert not bench.owner.demand.is_startable(jobs["req-000002"], bench.now)


def test_what_is_unseen_holds_up_only_jobs_that_may_be_there():
    bench = SchedulerBench()
    bench.take_over("m-9")
    for number, zone in ((1, None), (2, "b"), (3, "a")):
        record = json.dumps({"spec": job(number, hall=zone)}).encode()
        bench.jobs.saw(bench.now, f"c/live/req-{number:06d}", record, 40)
    is_startable = {
        i: bench.owner.demand.is_startable(j, bench.now) for i, j in bench.jobs.jobs.items()
    }
    assert is_startable == {"req-000001": False, "req-000002": True, "req-000003": False}


def test_a_machine_taken_over_is_asked_at_once_and_its_answer_settles_it():
    bench = SchedulerBench()
    bench.add(version=40)
    machine = bench.take_over("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    bench.owner.tick(bench.now)
    (probe,) = bench.take("worker")
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
    assert not machine.settled and bench.owner.unsettled == {"m-9"}
    bench.owner.tick(bench.now)
    (probe,) = bench.take("worker")
    assert json.loads(probe.body)["shift"] == 4
    probe.on_done(bench.now, CallOutcome(200, answer(4, machine.base, 8)))
    assert machine.settled and not bench.owner.unsettled and bench.job.placed == {0: "m-9"}


def test_an_unanswered_probe_proves_nothing_and_is_sent_again_later():
    bench = SchedulerBench()
    bench.add(version=40)
    machine = bench.take_over("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    for _ in range(3):
        bench.owner.tick(bench.now)
        (probe,) = bench.take("worker")
        probe.on_done(bench.now, CallOutcome(0))
        bench.owner.tick(bench.now)
        assert not bench.take("worker")
        assert not bench.owner.demand.is_startable(bench.job, bench.now)
        bench.now += bench.owner.timing.report_s
    assert machine.name in bench.owner.unsettled and not machine.settled


def test_a_higher_authority_is_not_talked_over():
    bench = SchedulerBench()
    assert bench.worker_heartbeat([], token=base_token(1, 2)) is None


@pytest.mark.parametrize("exit_cause", ["no_room", "in_use", "unknown", "error"])
def test_a_refused_or_failed_attempt_is_tried_again_under_another_number(exit_cause):
    bench = SchedulerBench()
    call, attempt = bench.start()
    ended = [("req-000001/0", attempt, "exited", exit_cause)]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.message(ended, sequence=bench.sequence + 1)))
    )
    bench.sequence += 1
    bench.now += 60.0
    bench.worker_heartbeat(ended)
    bench.owner.dispatch_round(bench.now)
    (again,) = bench.take("worker")
    assert json.loads(again.body)["orders"][0]["take"] > attempt


def test_ends_of_many_jobs_are_stored_in_one_record_and_then_cleared():
    bench = SchedulerBench()
    for number in (1, 2):
        bench.add(number, tasks=2)
    bench.owner.dispatch_round(bench.now)
    (call,) = bench.take("worker")
    takes = {o["page"]: o["take"] for o in json.loads(call.body)["orders"]}
    ended = [(t, takes[t], "exited", "done") for t in ("req-000001/0", "req-000002/0")]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.message(ended, sequence=bench.sequence + 1)))
    )
    bench.sequence += 1
    bench.now += bench.owner.completions.context.interval_s
    bench.owner.completions.tick(bench.now)
    (write,) = bench.take("state")
    (put,) = json.loads(write.body)["writes"]
    assert put["put"].startswith("c/ends/") and set(put["value"]) == {"req-000001", "req-000002"}
    job = bench.jobs.jobs["req-000001"]
    assert not any(p.stored for p in bench.owner.machines["m-1"].tasks.values())
    write.on_done(bench.now, CallOutcome(200, b'{"issue":90}'))
    assert job.is_done(0) and job.waiting() == 0
    assert sum(p.stored for p in bench.owner.machines["m-1"].tasks.values()) == 2


def test_an_applied_write_without_an_answer_is_learned_from_the_watch():
    bench = SchedulerBench()
    call, attempt = bench.start(tasks=2)
    ended = [("req-000001/0", attempt, "exited", "done")]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.message(ended, sequence=bench.sequence + 1)))
    )
    bench.owner.completions.tick(bench.now + 5)
    (write,) = bench.take("state")
    put = json.loads(write.body)["writes"][0]
    write.on_done(bench.now, CallOutcome(0))
    bench.jobs.saw_completions(put["put"], json.dumps(put["value"]).encode())
    assert bench.job.is_done(0) and not bench.job.finished and not bench.job.results


def test_a_job_whose_ends_were_all_stored_by_an_earlier_authority_still_ends():
    # The record of ends was written with the last end in it, and then that leader was gone.
    bench = SchedulerBench()
    bench.add(tasks=2)
    bench.jobs.saw_completions("c/ends/0", b'{"req-000001":"Aw=="}')
    assert bench.job.done_count == 2
    bench.owner.scan(bench.now)
    (write,) = bench.take("state")
    assert [w.get("put") for w in json.loads(write.body)["writes"]] == [None, "d/job/req-000001"]


def test_an_owner_that_has_not_begun_does_not_keep_alive_what_may_be_cancelled():
    bench = SchedulerBench()
    bench.owner.state.ready = False
    task = [("req-000009/0", 7, "running", None)]
    bench.consistent_at = bench.now
    assert bench.worker_heartbeat(task) is not None, "a moment's lag is no reason to lose a task"
    bench.now += 10.0
    assert bench.worker_heartbeat(task) is None, "its job may have been cancelled long ago"
    # The view catches up to after the report that showed the task: the job is over for certain.
    bench.consistent_at = bench.now
    answer = bench.worker_heartbeat(task)
    assert [(c.op, c.task) for c in answer.commands] == [("kill", "req-000009/0")]


def test_a_job_left_out_for_long_gets_room_that_is_kept_for_others():
    bench = SchedulerBench()
    machine = bench.owner.machines["m-1"]
    bench.add(tasks=3)
    machine.reserved_for_job, machine.reserved_until = "req-000099", bench.now + 1000.0
    bench.owner.dispatch_round(bench.now)
    assert not bench.take("worker"), "held for another"
    for _ in range(80):
        bench.worker_heartbeat([])
    bench.owner.dispatch_round(bench.now)
    (call,) = bench.take("worker")
    assert len(json.loads(call.body)["orders"]) == 1, "it doesn't wait beside room"
    bench.owner.dispatch_round(bench.now)
    assert not bench.take("worker"), "the rest of the room is still held"


def test_a_task_that_is_done_while_another_attempt_of_it_is_placed_counts_once():
    # Guards the tasks beside it: counted twice, it hides one that waits, for as long as the other
    # attempt runs, although there is room.
    bench = SchedulerBench()
    bench.add(tasks=2)
    # An attempt of task 0 runs here whose end another attempt has brought, as a late write shows.
    bench.worker_heartbeat([("req-000001/0", 5, "running", None)])
    assert bench.job.placed == {0: "m-1"}
    bench.jobs.saw_completions("c/ends/0.0", json.dumps({"req-000001": "AQ=="}).encode())
    assert bench.job.is_done(0) and 0 in bench.job.placed
    assert bench.job.waiting() == 1
    bench.owner.dispatch_round(bench.now)
    (call,) = bench.take("worker")
    assert [(o["verb"], o["page"]) for o in json.loads(call.body)["orders"]] == [
        ("run", "req-000001/1")
    ]
    # The same with an end that is reported and not stored, and with one that is stored by us.
    bench.job.finished.add(1)
    assert bench.job.waiting() == 0 and bench.job.ended()
    bench.job.stored([1])
    assert bench.job.waiting() == 0 and bench.job.placed == {0: "m-1", 1: "m-1"}
    bench.worker_heartbeat([("req-000001/0", 5, "exited", ExitCause.DONE)])
    assert bench.job.waiting() == 0 and 0 not in bench.job.placed


def test_a_job_that_has_begun_and_is_left_out_for_long_gets_room_that_is_kept_too():
    # Its first task had ended, so it didn't count as left out, and waited beside idle machines
    # that were kept for others until they were given back.
    bench = SchedulerBench()
    machine = bench.owner.machines["m-1"]
    bench.add(tasks=3)
    bench.job.mark_done(0)
    bench.job.arrived = bench.now - 500.0
    machine.reserved_for_job, machine.reserved_until = "req-000099", bench.now + 1000.0
    bench.job.placed[1] = "m-1"
    bench.owner.dispatch_round(bench.now)
    bench.job.placed.clear()
    for _ in range(70):
        bench.worker_heartbeat([])
        bench.owner.dispatch_round(bench.now)
    assert not bench.take("worker"), "held for another, and it had a place not long ago"
    for _ in range(10):
        bench.worker_heartbeat([])
    bench.owner.dispatch_round(bench.now)
    (call,) = bench.take("worker")
    assert len(json.loads(call.body)["orders"]) == 1, "it doesn't wait beside room"

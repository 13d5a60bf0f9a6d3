"""Guards of the schedulers and the election, each alone.

Each of these tests was seen to fail with the guard that it names taken out.
"""

import json
import random

import pytest

from copperpass.core.election.context import ElectionContext
from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.election.timings import election_timings
from copperpass.core.kvstore.keys import FENCING_TOKEN_KEY
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome, Outbox
from copperpass.protocol.frames.messages import LeaseExtensionRequest, MachineContact
from copperpass.protocol.json_codec import encode
from copperpass.protocol.workers import TaskStatus, WorkerHeartbeat
from copperpass.settings import parse
from tests.request_bodies import raw_settings
from tests.scheduler_bench import SchedulerBench


def heartbeat_body(name, tasks, token, agent_epoch, sequence):
    return encode(
        WorkerHeartbeat(
            name,
            "10.0.0.8:1",
            "box",
            "a",
            True,
            agent_epoch,
            sequence,
            token,
            None,
            [TaskStatus(t, a, s, w) for t, a, s, w in tasks],
        )
    )


def test_the_end_of_an_old_lease_does_not_free_the_tasks_of_a_new_session():
    # Holds `machine.last_answer_at` at a change of agent epoch in `HeartbeatHandler.apply`.
    bench = SchedulerBench()
    machine = bench.adopt_machine("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    taken = bench.now
    bench.now += 11.9
    bench.scheduler.tick(bench.now)
    for status, token, sequence in ((409, 1, 7), (200, machine.base_token, 8)):
        (probe,) = bench.take_calls("worker")
        probe.on_done(bench.now, CallOutcome(status, heartbeat_body("m-9", [], token, 4, sequence)))
        bench.scheduler.commands.probe(bench.now)
    bench.scheduler.machines["m-1"].backoff_until = bench.now + 99.0
    call, attempt = bench.start_tasks()
    assert call.address == "10.0.0.8:1"
    tasks = [("req-000001/0", attempt, "running", None)]
    call.on_done(
        bench.now, CallOutcome(200, heartbeat_body("m-9", tasks, machine.base_token, 4, 9))
    )
    bench.scheduler.scan(taken + bench.scheduler.timing.lease_s + 0.1)
    assert bench.job.assigned == {0: "m-9"}
    bench.scheduler.scan(bench.now + bench.scheduler.timing.lease_s + 0.1)
    assert bench.job.assigned == {}


def test_answers_to_commands_do_not_pass_for_reports():
    # Holds `full` in `_take`: a machine that only answers commands loses all it is given.
    bench = SchedulerBench()
    machine = bench.scheduler.machines["m-1"]
    for second in range(1, 4):
        bench.now += 1.0
        bench.add_job(second)
        bench.scheduler.heartbeats.apply(
            bench.now, machine, bench.heartbeat([], sequence=bench.sequence + second), False
        )
    assert not machine.is_usable(bench.now, bench.scheduler.timing.heartbeat_timeout_s)
    # Yet a copy of what it said before is bounded by the newest message, not the newest report.
    bench.scheduler.worker_heartbeat(bench.now, bench.heartbeat([], sequence=1))
    assert machine.last_answer_at == bench.now


@pytest.mark.parametrize("turn", [1, -1])
def test_an_ended_attempt_that_was_not_cleared_does_not_free_the_one_that_runs(turn):
    # Holds `_alone`. A task was stopped, started again where it was, and the leader changed.
    bench = SchedulerBench()
    bench.add_job(version=40)
    bench.worker_heartbeat(
        [("req-000001/0", 5, "exited", "halted"), ("req-000001/0", 6, "running", None)][::turn]
    )
    assert bench.job.assigned == {0: "m-1"}
    bench.worker_heartbeat([("req-000001/0", 6, "running", None)])
    assert bench.job.assigned == {0: "m-1"}
    bench.worker_heartbeat([])
    assert bench.job.assigned == {}


def test_ends_that_an_earlier_owner_stored_are_not_written_over():
    # Holds the loop over `jobs.completion_records` in `CompletionStore._include_late`.
    bench = SchedulerBench()
    bench.add_job(1, tasks=2)
    bench.add_job(2, tasks=2)
    key = "c/ends/0.0"
    bench.jobs.on_completions_event(key, b'{"req-000001":"AQ=="}')
    bench.scheduler.completions.context.versions[key] = 66
    bench.jobs.jobs["req-000002"].unstored.add(1)
    bench.scheduler.scan(bench.now)
    bench.now += bench.scheduler.completions.context.interval_s
    bench.scheduler.completions.tick(bench.now)
    (write,) = bench.take_calls("state")
    body = json.loads(write.body)
    assert {"path": key, "stamp": 66} in body["guards"]
    assert set(body["writes"][0]["value"]) == {"req-000001", "req-000002"}


@pytest.mark.parametrize("settles", ["lease ended", "token moved"])
def test_a_member_whose_campaign_may_yet_be_carried_out_does_not_vote(settles):
    # Holds `Campaign.unresolved_leases` in `LeaderElection._may_vote`: the late win would make this
    # member, restarted, take its votes for its own, while the leader that it gave them to relies on
    # them.
    out = Outbox()
    transactions = TransactionQueue(out, 60.0, 16, 1.0)
    context = ElectionContext(
        member="n0",
        peers=["n1", "n2"],
        timings=election_timings(parse(raw_settings()).cluster),
        outbox=out,
        transactions=transactions,
        rng=random.Random(1),
        on_change=lambda now, is_leader, continued: None,
    )
    core = LeaderElection(context, 0.0)
    core.records_synced = True
    core.tick(50.0)
    (make,) = out.calls
    out.calls.clear()
    make.on_done(50.0, CallOutcome(200, b'{"permit":7}'))
    (win,) = out.calls
    out.calls.clear()
    win.on_done(51.0, CallOutcome(0))

    def votes():
        out.frames.clear()
        core.on_extension_request(51.1, "n1", LeaseExtensionRequest(0, 3))
        return out.frames[0][1].granted

    assert not votes()
    if settles == "lease ended":
        (drop,) = out.calls
        drop.on_done(51.1, CallOutcome(200))
    else:
        core.on_watch_event(51.1, FENCING_TOKEN_KEY, b'{"token":0,"member":"n1"}', 9)
    assert votes()


def test_a_lease_is_not_over_while_an_owner_of_the_term_before_may_have_renewed_it():
    # Holds `ownership_overlap_s`: the leader restarted at once, and that owner had not seen it.
    bench = SchedulerBench()
    bench.add_job(version=40)
    bench.scheduler.timing.ownership_overlap_s = 1.5
    machine = bench.adopt_machine("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    bench.scheduler.scan(bench.now + 1.4 + bench.scheduler.timing.lease_s)
    assert machine.name in bench.scheduler.unreconciled
    bench.scheduler.scan(bench.now + 1.6 + bench.scheduler.timing.lease_s)
    assert machine.name not in bench.scheduler.unreconciled

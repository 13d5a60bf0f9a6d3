"""Safeguards of the schedulers and the election, each tested in isolation.

Each of these tests was seen to fail when the safeguard that its comment names was removed on trial.
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
            [
                TaskStatus(task_id, attempt, status, cause)
                for task_id, attempt, status, cause in tasks
            ],
        )
    )


def test_lease_expiry_of_old_agent_epoch_does_not_free_tasks_of_new_epoch():
    # Guards the renewal of `machine.last_answer_at` when the agent epoch changes, in
    # `HeartbeatHandler._apply_agent_epoch`. Otherwise the expiry of the former epoch's lease would
    # free tasks that run in the new epoch.
    bench = SchedulerBench()
    machine = bench.adopt_machine("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    taken_over_at = bench.now
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
    bench.scheduler.scan(taken_over_at + bench.scheduler.timing.lease_s + 0.1)
    assert bench.job.assigned == {0: "m-9"}
    bench.scheduler.scan(bench.now + bench.scheduler.timing.lease_s + 0.1)
    assert bench.job.assigned == {}


def test_answers_to_commands_do_not_count_as_heartbeats():
    # Guards `unsolicited` in `HeartbeatHandler._apply_agent_epoch`: a machine that answers commands
    # but sends no heartbeats must count as unresponsive, since it loses all tasks started on it.
    bench = SchedulerBench()
    machine = bench.scheduler.machines["m-1"]
    for second in range(1, 4):
        bench.now += 1.0
        bench.add_job(second)
        bench.scheduler.heartbeats.apply(
            bench.now, machine, bench.heartbeat([], sequence=bench.sequence + second), False
        )
    assert not machine.is_usable(bench.now, bench.scheduler.timing.heartbeat_timeout_s)
    # The answer to a late copy of an earlier heartbeat can renew the lease up to the newest message
    # of any kind, not only up to the newest heartbeat.
    bench.scheduler.worker_heartbeat(bench.now, bench.heartbeat([], sequence=1))
    assert machine.last_answer_at == bench.now


@pytest.mark.parametrize("list_step", [1, -1])
def test_an_exited_attempt_not_cleared_yet_does_not_free_the_running_attempt(list_step):
    # Guards `is_current`. A task was stopped and started again on the same machine, and then the
    # leader changed. The new leader learns of both attempts from one heartbeat, in either order.
    bench = SchedulerBench()
    bench.add_job(version=40)
    bench.worker_heartbeat(
        [("req-000001/0", 5, "exited", "halted"), ("req-000001/0", 6, "running", None)][::list_step]
    )
    assert bench.job.assigned == {0: "m-1"}
    bench.worker_heartbeat([("req-000001/0", 6, "running", None)])
    assert bench.job.assigned == {0: "m-1"}
    bench.worker_heartbeat([])
    assert bench.job.assigned == {}


def test_completions_stored_by_an_earlier_owner_are_not_overwritten():
    # Guards the loop over `job_table.completion_records` in
    # `CompletionStore._keep_late_completions`. Without it, the page would be written without
    # completions that an earlier owner stored in it.
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


@pytest.mark.parametrize("resolved_by", ["lease ended", "token moved"])
def test_a_member_whose_campaign_may_still_be_applied_does_not_vote(resolved_by):
    # Guards the check of `Campaign.unresolved_leases` in `LeaderElection._may_vote`. If the
    # transaction were applied late, this member would be the winner of the last token. After a
    # restart it would treat its votes as given to itself and not wait for them to expire, while the
    # leader to which it gave them relies on them.
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
    election = LeaderElection(context, 0.0)
    election.records_synced = True
    election.tick(50.0)
    (lease_call,) = out.calls
    out.calls.clear()
    lease_call.on_done(50.0, CallOutcome(200, b'{"permit":7}'))
    (campaign_call,) = out.calls
    out.calls.clear()
    campaign_call.on_done(51.0, CallOutcome(0))

    def grants_vote():
        out.frames.clear()
        election.on_extension_request(51.1, "n1", LeaseExtensionRequest(0, 3))
        return out.frames[0][1].granted

    assert not grants_vote()
    if resolved_by == "lease ended":
        (revocation,) = out.calls
        revocation.on_done(51.1, CallOutcome(200))
    else:
        election.on_watch_event(51.1, FENCING_TOKEN_KEY, b'{"token":0,"member":"n1"}', 9)
    assert grants_vote()


def test_worker_lease_is_not_expired_while_owner_of_former_term_may_have_renewed_it():
    # Guards `ownership_overlap_s`. The leader restarted at once. An owner of the former term that
    # has not noticed the new term may still renew worker leases for that many seconds.
    bench = SchedulerBench()
    bench.add_job(version=40)
    bench.scheduler.timing.ownership_overlap_s = 1.5
    machine = bench.adopt_machine("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    bench.scheduler.scan(bench.now + 1.4 + bench.scheduler.timing.lease_s)
    assert machine.name in bench.scheduler.unreconciled
    bench.scheduler.scan(bench.now + 1.6 + bench.scheduler.timing.lease_s)
    assert machine.name not in bench.scheduler.unreconciled

"""How a shard's scheduler stores completed tasks, and what it concludes from stored ones."""

import json

from copperpass.core.ports import CallOutcome
from copperpass.protocol.json_codec import encode
from copperpass.protocol.workers import CommandKind, ExitCause
from tests.scheduler_bench import SchedulerBench


def test_done_is_cleared_only_when_stored_and_past_repeats_of_its_start():
    bench = SchedulerBench()
    call, attempt = bench.start_tasks()
    ended = [("req-000001/0", attempt, "exited", "done")]
    call.on_done(
        bench.now,
        CallOutcome(
            200,
            encode(
                bench.heartbeat(
                    [("req-000001/0", attempt, "running", None)], sequence=bench.sequence + 1
                )
            ),
        ),
    )
    bench.sequence += 1
    answer = bench.worker_heartbeat(ended)
    assert answer.commands == []
    bench.answer_kvstore(0)
    assert bench.worker_heartbeat(ended).commands == [], "no answer: it may not be stored"
    bench.scheduler.results.store(bench.now, bench.job)
    bench.answer_kvstore(200)
    answer = bench.worker_heartbeat(ended)
    assert answer.commands == [] and answer.token > bench.token
    bench.token = answer.token
    assert [c.kind for c in bench.worker_heartbeat(ended).commands] == [CommandKind.FORGET]


def test_ends_of_many_jobs_are_stored_in_one_record_and_then_cleared():
    bench = SchedulerBench()
    for number in (1, 2):
        bench.add_job(number, tasks=2)
    bench.scheduler.dispatch_round(bench.now)
    (call,) = bench.take_calls("worker")
    takes = {o["page"]: o["take"] for o in json.loads(call.body)["orders"]}
    ended = [(t, takes[t], "exited", "done") for t in ("req-000001/0", "req-000002/0")]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.heartbeat(ended, sequence=bench.sequence + 1)))
    )
    bench.sequence += 1
    bench.now += bench.scheduler.completions.context.interval_s
    bench.scheduler.completions.tick(bench.now)
    (write,) = bench.take_calls("state")
    (put,) = json.loads(write.body)["writes"]
    assert put["put"].startswith("c/ends/") and set(put["value"]) == {"req-000001", "req-000002"}
    job = bench.jobs.jobs["req-000001"]
    assert not any(p.stored for p in bench.scheduler.machines["m-1"].tasks.values())
    write.on_done(bench.now, CallOutcome(200, b'{"issue":90}'))
    assert job.is_completed(0) and job.pending_count() == 0
    assert sum(p.stored for p in bench.scheduler.machines["m-1"].tasks.values()) == 2


def test_an_applied_write_without_an_answer_is_learned_from_the_watch():
    bench = SchedulerBench()
    call, attempt = bench.start_tasks(tasks=2)
    ended = [("req-000001/0", attempt, "exited", "done")]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.heartbeat(ended, sequence=bench.sequence + 1)))
    )
    bench.scheduler.completions.tick(bench.now + 5)
    (write,) = bench.take_calls("state")
    put = json.loads(write.body)["writes"][0]
    write.on_done(bench.now, CallOutcome(0))
    bench.jobs.on_completions_event(put["put"], json.dumps(put["value"]).encode())
    assert bench.job.is_completed(0) and not bench.job.unstored and not bench.job.unstored_results


def test_a_job_whose_ends_were_all_stored_by_an_earlier_authority_still_ends():
    # The record of ends was written with the last end in it, and then that leader was gone.
    bench = SchedulerBench()
    bench.add_job(tasks=2)
    bench.jobs.on_completions_event("c/ends/0", b'{"req-000001":"Aw=="}')
    assert bench.job.completed_count == 2
    bench.scheduler.scan(bench.now)
    (write,) = bench.take_calls("state")
    assert [w.get("put") for w in json.loads(write.body)["writes"]] == [None, "d/job/req-000001"]


def test_a_task_that_is_done_while_another_attempt_of_it_is_placed_counts_once():
    # Guards the tasks beside it: counted twice, it hides one that waits, for as long as the other
    # attempt runs, although there is room.
    bench = SchedulerBench()
    bench.add_job(tasks=2)
    # An attempt of task 0 runs here whose end another attempt has brought, as a late write shows.
    bench.worker_heartbeat([("req-000001/0", 5, "running", None)])
    assert bench.job.assigned == {0: "m-1"}
    bench.jobs.on_completions_event("c/ends/0.0", json.dumps({"req-000001": "AQ=="}).encode())
    assert bench.job.is_completed(0) and 0 in bench.job.assigned
    assert bench.job.pending_count() == 1
    bench.scheduler.dispatch_round(bench.now)
    (call,) = bench.take_calls("worker")
    assert [(o["verb"], o["page"]) for o in json.loads(call.body)["orders"]] == [
        ("run", "req-000001/1")
    ]
    # The same with an end that is reported and not stored, and with one that is stored by us.
    bench.job.unstored.add(1)
    assert bench.job.pending_count() == 0 and bench.job.all_completed()
    bench.job.on_completions_stored([1])
    assert bench.job.pending_count() == 0 and bench.job.assigned == {0: "m-1", 1: "m-1"}
    bench.worker_heartbeat([("req-000001/0", 5, "exited", ExitCause.DONE)])
    assert bench.job.pending_count() == 0 and 0 not in bench.job.assigned

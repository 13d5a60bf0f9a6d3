"""Completed tasks in a shard's scheduler: storing them, clearing them, and counting them once."""

import json

from copperpass.core.ports import CallOutcome
from copperpass.protocol.json_codec import encode
from copperpass.protocol.workers import CommandKind, ExitCause
from tests.scheduler_bench import SchedulerBench


def test_completed_task_is_cleared_only_once_stored_and_under_a_newer_token():
    bench = SchedulerBench()
    call, attempt = bench.start_tasks()
    completed = [("req-000001/0", attempt, "exited", "done")]
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
    answer = bench.worker_heartbeat(completed)
    assert answer.commands == []
    bench.answer_kvstore(0)
    assert bench.worker_heartbeat(completed).commands == [], "no answer: it may not be stored"
    bench.scheduler.results.store(bench.now, bench.job)
    bench.answer_kvstore(200)
    answer = bench.worker_heartbeat(completed)
    assert answer.commands == [] and answer.token > bench.token
    bench.token = answer.token
    assert [c.kind for c in bench.worker_heartbeat(completed).commands] == [CommandKind.FORGET]


def test_completions_of_several_jobs_are_stored_in_one_record():
    bench = SchedulerBench()
    for number in (1, 2):
        bench.add_job(number, tasks=2)
    bench.scheduler.dispatch_round(bench.now)
    (call,) = bench.take_calls("worker")
    attempts = {o["page"]: o["take"] for o in json.loads(call.body)["orders"]}
    completed = [(t, attempts[t], "exited", "done") for t in ("req-000001/0", "req-000002/0")]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.heartbeat(completed, sequence=bench.sequence + 1)))
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


def test_watch_confirms_applied_completions_whose_answer_was_lost():
    bench = SchedulerBench()
    call, attempt = bench.start_tasks(tasks=2)
    completed = [("req-000001/0", attempt, "exited", "done")]
    call.on_done(
        bench.now, CallOutcome(200, encode(bench.heartbeat(completed, sequence=bench.sequence + 1)))
    )
    bench.scheduler.completions.tick(bench.now + 5)
    (write,) = bench.take_calls("state")
    put = json.loads(write.body)["writes"][0]
    write.on_done(bench.now, CallOutcome(0))
    bench.jobs.on_completions_event(put["put"], json.dumps(put["value"]).encode())
    assert bench.job.is_completed(0) and not bench.job.unstored and not bench.job.unstored_results


def test_job_completes_when_earlier_owner_stored_all_its_completions():
    # The earlier owner stored the last completion, and failed before it stored the completed job.
    bench = SchedulerBench()
    bench.add_job(tasks=2)
    bench.jobs.on_completions_event("c/ends/0", b'{"req-000001":"Aw=="}')
    assert bench.job.completed_count == 2
    bench.scheduler.scan(bench.now)
    (write,) = bench.take_calls("state")
    assert [w.get("put") for w in json.loads(write.body)["writes"]] == [None, "d/job/req-000001"]


def test_completed_task_with_another_placed_attempt_counts_once():
    # Guards against counting a completed task twice, once as completed and once as placed. That
    # would hide a pending task of the job, which would not start while the other attempt runs,
    # although there is capacity.
    bench = SchedulerBench()
    bench.add_job(tasks=2)
    # An attempt of task 0 is running, and a late write shows that another attempt has completed it.
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
    # The same for a completion that is reported but not stored, and for one that this owner stored.
    bench.job.unstored.add(1)
    assert bench.job.pending_count() == 0 and bench.job.all_completed()
    bench.job.on_completions_stored([1])
    assert bench.job.pending_count() == 0 and bench.job.assigned == {0: "m-1", 1: "m-1"}
    bench.worker_heartbeat([("req-000001/0", 5, "exited", ExitCause.DONE)])
    assert bench.job.pending_count() == 0 and 0 not in bench.job.assigned

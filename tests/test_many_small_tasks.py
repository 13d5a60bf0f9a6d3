"""Jobs with very many very small tasks: work and messages stay bounded for any accepted job."""

import json
import time
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from copperpass import settings as settings_module
from copperpass.core.scheduling.bin_packing.feasibility import SMALL_TASK_SLOTS
from copperpass.log_events import LogEvent
from copperpass.net.service import Service
from copperpass.protocol.users import MAX_BODY_BYTES, MAX_TASKS
from copperpass.tuning import Tuning
from tests.request_bodies import job, raw_settings
from tests.scenarios import run_checked
from tests.scheduler_bench import SchedulerBench
from tests.simulation import Simulation

NO_AMOUNTS = {"cpus": 0.0, "memory_gb": 0.0}
SMALL_AMOUNTS = {"cpus": 0.01, "memory_gb": 0.01}
AMOUNTS = pytest.mark.parametrize("amounts", [NO_AMOUNTS, SMALL_AMOUNTS], ids=["none", "small"])


def bench_with_job(tasks, amounts, **fields):
    """A scheduler with one machine and a job of many tasks that could all run there."""
    bench = SchedulerBench()
    record = json.dumps({"spec": job(1, tasks=tasks, **amounts, **fields)}).encode()
    bench.jobs.on_watch_event(bench.now, "c/live/req-000001", record, 70)
    return bench


def listed_tasks(bench, state="running", cause=None):
    """The tasks of m-1 as its worker lists them."""
    return [
        (f"{job_id}/{index}", attempt, state, cause)
        for job_id, index, attempt in bench.scheduler.machines["m-1"].tasks
    ]


def heartbeat_bytes(tasks):
    """The size of the tasks' list in a heartbeat, with the longest encoding that workers use."""
    names = ("page", "take", "status", "cause")
    return len(json.dumps([dict(zip(names, task, strict=True)) for task in tasks]))


@AMOUNTS
def test_commands_and_heartbeats_of_a_machine_stay_within_the_limit_of_a_body(amounts):
    # Guards against a message of commands or a heartbeat that is refused for its size: before, one
    # machine took any number of tasks without amounts, all of them in one message.
    bench = bench_with_job(2000, amounts)
    for _ in range(8):
        bench.scheduler.dispatch_round(bench.now)
        for call in bench.take_calls("worker"):
            assert len(call.body) <= MAX_BODY_BYTES
        answer = bench.worker_heartbeat(listed_tasks(bench))
        assert len(json.dumps([command.task for command in answer.commands])) <= MAX_BODY_BYTES
        assert heartbeat_bytes(listed_tasks(bench, "exited", "done")) <= MAX_BODY_BYTES
    assert bench.scheduler.machines["m-1"].tasks


@AMOUNTS
@pytest.mark.parametrize("form", ["batch", "ensemble"])
def test_no_step_of_the_scheduler_takes_longer_than_a_leader_lease_for_100000_tasks(amounts, form):
    # Guards against a dispatch round in quadratic time, which stopped all controllers for good: the
    # leader answered nothing, its lease ran out, and the next leader met the same job.
    bench = bench_with_job(MAX_TASKS, amounts, form=form)
    longest_s = 0.0

    def timed(step):
        nonlocal longest_s
        began = time.process_time()
        step()
        longest_s = max(longest_s, time.process_time() - began)

    for _ in range(4):
        timed(lambda: bench.scheduler.dispatch_round(bench.now))
        timed(lambda: bench.scheduler.capacity_requests(bench.now))
        bench.take_calls("worker")
        timed(lambda: bench.worker_heartbeat(listed_tasks(bench)))
        timed(lambda: bench.worker_heartbeat(listed_tasks(bench, "exited", "done")))
        timed(lambda: bench.worker_heartbeat([]))
        timed(lambda: bench.scheduler.scan(bench.now))
    timed(lambda: bench.scheduler.on_job_cancelled(bench.now, bench.job))
    leader_ttl_s = 0.22 * bench.scheduler.context.cluster.workers.lease_s
    assert longest_s < leader_ttl_s


@pytest.mark.parametrize("bound", [{"same_place": True}, {"spread": True}])
def test_time_per_started_task_does_not_grow_with_the_placed_tasks_of_a_zone_bound_job(bound):
    # Guards against counting the zones of all placed tasks again for each task that is started.
    bench = bench_with_job(MAX_TASKS, NO_AMOUNTS, **bound)
    job_state = bench.job
    for index in range(20_000, 80_000):
        job_state.assigned[index] = "m-1" if "same_place" in bound else f"m-{index}"
    began = time.process_time()
    bench.scheduler.dispatch_round(bench.now)
    elapsed_s = time.process_time() - began
    assert len(bench.scheduler.machines["m-1"].tasks) > 100
    leader_ttl_s = 0.22 * bench.scheduler.context.cluster.workers.lease_s
    assert elapsed_s < leader_ttl_s / 10


@AMOUNTS
def test_small_tasks_leave_slots_for_tasks_whose_resources_are_free(amounts):
    # Guards against small tasks that run for long and take all slots: a usual job would wait beside
    # a machine with free resources.
    bench = bench_with_job(MAX_TASKS, amounts)
    for _ in range(4):
        bench.scheduler.dispatch_round(bench.now)
        bench.worker_heartbeat(listed_tasks(bench))
    machine = bench.scheduler.machines["m-1"]
    assert len(machine.tasks) == SMALL_TASK_SLOTS
    cpus = machine.type.cpus / SMALL_TASK_SLOTS
    usual = {"spec": job(2, tasks=SMALL_TASK_SLOTS, cpus=cpus, memory_gb=0.0)}
    bench.jobs.on_watch_event(bench.now, "c/live/req-000002", json.dumps(usual).encode(), 71)
    fitting = int(machine.free_capacity()[0] / cpus)
    bench.scheduler.dispatch_round(bench.now)
    assert len(bench.jobs.jobs["req-000002"].assigned) >= fitting > 100
    bench.scheduler.capacity_requests(bench.now)


@pytest.mark.parametrize("partitioned", [False, True])
def test_usual_jobs_are_served_beside_100000_tasks_without_amounts(partitioned):
    # Guards against one accepted job that keeps all others from being answered and served.
    simulation = Simulation(seed=5, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.run(3.0)
    simulation.submit(job(1, run_s=20.0))
    simulation.submit(job(2, tasks=MAX_TASKS, team="blue", run_s=30.0, **NO_AMOUNTS))
    simulation.run(10.0)
    later = simulation.submit(job(3, run_s=5.0))
    run_checked(simulation, 30.0)
    assert later.status == 201
    polls = [simulation.poll(f"req-{n:06d}", name) for n in (1, 3) for name in simulation.nodes]
    cancelled = simulation.cancel("req-000002")
    simulation.run(2.0)
    assert {poll.body["status"] for poll in polls} == {"done"}
    assert cancelled.status == 200
    run_checked(simulation, simulation.cancel_s)
    simulation.finish()


@pytest.mark.parametrize(("handling_s", "logged"), [(0.2, False), (1.0, True)])
def test_input_that_keeps_the_thread_busy_for_long_is_logged(handling_s, logged, monkeypatch):
    # Guards against a controller that stops answering without a word in its log of what it does.
    reactor: Any = MemoryReactorClock()
    service = Service(settings_module.parse(raw_settings()), Tuning(), reactor)
    records = []
    monkeypatch.setattr("copperpass.net.service.write", records.append)
    times = iter([100.0, 100.0 + handling_s])
    service.now = lambda: next(times)
    service.node.tick = lambda now: None
    service._run()
    assert [record.event for record in records] == [LogEvent.INPUT_SLOW] * logged

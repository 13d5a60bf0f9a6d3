"""What arrives for a machine that its shard no longer owns changes nothing."""

import dataclasses

import pytest

from copperpass.core.ports import CallOutcome
from copperpass.protocol.json_codec import encode
from tests.fakes.worker import Worker
from tests.request_bodies import job
from tests.scenarios import is_completed, present_task_count, run_checked
from tests.scheduler_bench import SchedulerBench
from tests.simulation import Simulation


def answer_of(bench, tasks):
    """An answer of m-1 to a direct request, newer than all of its heartbeats."""
    return CallOutcome(200, encode(bench.heartbeat(tasks, sequence=bench.sequence + 1)))


def delete_machine(bench):
    """The cloud has confirmed the deletion of m-1."""
    bench.scheduler.on_route(bench.now, dataclasses.replace(bench.route, deleted=True))


@pytest.mark.parametrize("status", [200, 409, 0, -1])
def test_late_result_of_a_deleted_machine_assigns_no_task_and_blocks_no_round(status):
    # Guards against the answer to a direct request that is applied to a removed machine. A task of
    # a job that is not in the watch cache made each later round fail with a `KeyError`; other tasks
    # that it listed counted as running on a machine that was gone.
    bench = SchedulerBench()
    call, attempt = bench.start_tasks()
    delete_machine(bench)
    assert bench.job.next_task() == 0
    listed = [("req-000001/0", attempt, "running", None), ("req-000009/0", 7, "running", None)]
    call.on_done(bench.now, CallOutcome(status, answer_of(bench, listed).body))
    bench.scheduler.dispatch_round(bench.now)
    assert bench.job.assigned == {}
    assert bench.scheduler.commands.requests_in_flight == 0
    assert bench.scheduler.quota_usage.unidentified == set()
    assert bench.scheduler.quota_usage.of("red") == (0.0, 0.0)
    assert "m-1" not in bench.scheduler.machines


def test_late_result_of_an_earlier_assignment_does_not_change_the_machines_new_state():
    # Guards against a result that reaches a machine assigned again under a higher token.
    bench = SchedulerBench()
    call, attempt = bench.start_tasks()
    delete_machine(bench)
    bench.scheduler.on_route(bench.now, bench.route)
    bench.scheduler.dispatch_round(bench.now)
    call.on_done(bench.now, answer_of(bench, [("req-000001/0", attempt, "running", None)]))
    assert bench.scheduler.machines["m-1"].tasks == {}
    assert bench.job.assigned == {}


@pytest.mark.parametrize("event", ["failed", "failed and reclaimed", "agent epoch", "lease"])
def test_drained_machine_is_released_once_when_its_tasks_end_with_it(event):
    # Guards against a machine that is released twice, by the end of its agent epoch and again by
    # the same heartbeat or route: a `KeyError`, and a heartbeat that is not answered with 200.
    bench = SchedulerBench()
    call, attempt = bench.start_tasks()
    running = [("req-000001/0", attempt, "running", None)]
    call.on_done(bench.now, answer_of(bench, running))
    bench.sequence += 1
    drain = dataclasses.replace(bench.route, reclaim_requested=True, drain=True)
    bench.scheduler.on_route(bench.now, drain)
    for stop in bench.take_calls("worker"):
        stop.on_done(bench.now, CallOutcome(0))
    bench.scheduler.machines["m-1"].unreachable_since = None
    assert bench.scheduler.machines["m-1"].draining
    if event == "agent epoch":
        assert bench.worker_heartbeat([], agent_epoch=2, sequence=1) is not None
    elif event == "lease":
        bench.now += 2 * bench.scheduler.timing.lease_s
        bench.scheduler.scan(bench.now)
    else:
        reclaimed = event == "failed and reclaimed"
        route = dataclasses.replace(drain, failed=True, reclaim_requested=reclaimed)
        bench.scheduler.on_route(bench.now, route)
    assert "m-1" not in bench.scheduler.machines
    assert [status.name for status in bench.scheduler.statuses(bench.now)] == ["m-1"]
    assert bench.job.assigned == {}


@pytest.mark.parametrize("cancelled_jobs", [1, 2])
@pytest.mark.parametrize("partitioned", [False, True])
def test_scheduling_goes_on_when_a_deleted_machines_answer_arrives_late(
    cancelled_jobs, partitioned
):
    # Guards against a leader that stays in office and starts nothing any more: a machine's network
    # to the controllers fails, jobs on it are cancelled, it is deleted, then its answer arrives.
    simulation = Simulation(seed=3, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.run(3.0)
    for n in range(1, 5):
        simulation.submit(job(n, tasks=1, cpus=1.0, run_s=100.0, hall="a"))
    for n in range(5, 8):
        simulation.submit(job(n, tasks=3, cpus=4.0, run_s=100.0, hall="b"))
    simulation.run_until(lambda: present_task_count(simulation) == 13, 60)
    simulation.run(3.0)
    machine = next(worker for worker in simulation.cloud.workers() if worker.zone == "a")
    (scheduler,) = (
        scheduler
        for node in simulation.nodes.values()
        for scheduler in node.schedulers
        if machine.name in scheduler.machines
    )
    known = scheduler.machines[machine.name]
    held_answers = []

    def hold(body, reply):
        Worker.on_command(machine, body, lambda *answer: held_answers.append((reply, answer)))

    machine.on_command = hold
    simulation.outbound_blocked.add(machine.name)
    unresponsive_at = known.last_contact_at + scheduler.timing.unreachable_timeout_s
    run_checked(simulation, unresponsive_at - 0.1 - simulation.now)
    for n in range(1, 1 + cancelled_jobs):
        simulation.cancel(f"req-{n:06d}")
    simulation.run_until(lambda: machine.name not in scheduler.machines, 2.0)
    assert held_answers and known.command_in_flight
    for reply, answer in held_answers:
        reply(*answer)
    simulation.run(0.3)
    assert not known.command_in_flight
    later = simulation.submit(job(9, run_s=5.0))
    run_checked(simulation, 30.0)
    assert later.status == 201 and is_completed(simulation, 9)
    simulation.finish()

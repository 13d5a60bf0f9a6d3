"""Gangs, whose tasks all run together or not at all: scenarios with the cores of controllers."""

import functools
import random

import pytest

from tests.gang_scenarios import (
    all_done,
    all_running,
    attempts,
    check_invariants,
    count_present_tasks,
    count_tasks,
    poll_body,
    saved_progress,
    simulation_with_jobs,
    task_records,
)
from tests.request_bodies import gang, job
from tests.simulation import Simulation


def test_gang_starts_all_tasks_together_and_is_reported_done():
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=15.0))
    simulation.image_pull_s["req-000001/3"] = 6.0
    polls = 0
    while not count_tasks(simulation, 1, "running"):
        assert simulation.now < 200.0
        body = poll_body(simulation, 1)
        if not count_tasks(simulation, 1, "running"):
            polls += 1
            assert (body["status"], body.get("running", 0)) == ("queued", 0)
    assert polls > 5
    assert count_tasks(simulation, 1, "running") == 4 and simulation.starts == 4
    assert len({w for w, _, _ in task_records(simulation, 1)}) == 4
    simulation.run(3)
    body = poll_body(simulation, 1)
    assert (body["status"], body["running"]) == ("running", 4)
    simulation.run_until(all_done(simulation, 1), 60)
    simulation.run(3)
    assert poll_body(simulation, 1)["status"] == "done"
    assert (
        len(attempts(simulation, 1)) == 1
        and simulation.starts == 4
        and not simulation.gave_up_waiting
    )
    assert simulation.gang_wait_s_total < 3 * 6.5
    check_invariants(simulation)


def submit_body(simulation, body, user_api, request):
    user_api.submit(simulation.now, request, body)


@pytest.mark.parametrize("state", ["room", "pulling", "gathering", "running"])
def test_cancellation_stops_a_gang_in_every_state(state):
    simulation = simulation_with_jobs(
        gang(1, run_s=300.0, cpus=12.0),
        capacity={} if state == "room" else {("a", True): 3, ("a", False): 3},
    )
    simulation.image_pull_s.update(
        {f"req-000001/{index}": 8.0 for index in range(4)}
        if state == "pulling"
        else {"req-000001/2": 8.0}
        if state == "gathering"
        else {}
    )
    if state != "room":
        simulation.run_until(
            lambda: count_tasks(simulation, 1, state) >= (4 if state == "running" else 2), 60
        )
    cancellation = simulation.cancel("req-000001")
    simulation.run_until(lambda: cancellation.status is not None, 5)
    assert (cancellation.status, cancellation.body["status"]) == (200, "withdrawn")
    simulation.run_until(lambda: not count_present_tasks(simulation, 1), 5)
    starts = simulation.starts
    simulation.cloud.capacity = dict.fromkeys(simulation.cloud.capacity, 3)
    for _ in range(60):
        simulation.run(1)
        assert not count_present_tasks(simulation, 1)
    assert (
        simulation.starts == starts
        and not simulation.lost_progress
        and not simulation.gave_up_waiting
    )
    assert poll_body(simulation, 1)["status"] == "withdrawn"
    check_invariants(simulation)


def test_task_lost_before_the_gang_starts_is_replaced_under_the_same_attempt():
    simulation = simulation_with_jobs(gang(1, cpus=12.0))
    simulation.image_pull_s["req-000001/3"] = 20.0
    simulation.run_until(lambda: count_tasks(simulation, 1, "gathering") == 3, 60)
    victim = next(w for w, key, m in task_records(simulation, 1) if m["state"] == "gathering")
    simulation.cloud.reclaim(victim.name)
    simulation.run_until(all_running(simulation, 1), simulation.gang_wait_s)
    assert len(attempts(simulation, 1)) == 1 and not simulation.gave_up_waiting
    simulation.run_until(all_done(simulation, 1), 60)
    check_invariants(simulation)


@pytest.mark.parametrize("partitioned", [False, True])
def test_gang_that_loses_a_running_task_resumes_from_its_checkpoint(partitioned):
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=40.0), partitioned=partitioned)
    simulation.run_until(all_running(simulation, 1), 60)
    simulation.run(13.0)
    attempts_before = attempts(simulation, 1)
    victim = task_records(simulation, 1)[0][0]
    simulation.cloud.reclaim(victim.name)
    simulation.run_until(
        lambda: len(attempts(simulation, 1)) == 2 and all_running(simulation, 1)(), 90
    )
    (first_attempt, second_attempt) = attempts(simulation, 1)
    assert [first_attempt] == attempts_before and second_attempt > first_attempt
    # The simulation records a violation if the attempts overlap on machines.
    assert (
        simulation.gangs["req-000001", second_attempt].progress
        >= saved_progress(simulation, 1)
        == 10.0
    )
    simulation.run_until(all_done(simulation, 1), 90)
    assert len(attempts(simulation, 1)) == 2 and not simulation.gave_up_waiting
    check_invariants(simulation)


def test_gang_restarts_from_its_checkpoint_when_one_machine_hangs():
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=30.0))
    simulation.run_until(all_running(simulation, 1), 60)
    simulation.run(7.0)
    task_records(simulation, 1)[0][0].hang(8.0)
    simulation.run_until(lambda: len(attempts(simulation, 1)) == 2, 90)
    assert saved_progress(simulation, 1) == 5.0
    simulation.run_until(all_done(simulation, 1), 120)
    check_invariants(simulation)


def test_gang_whose_tasks_gave_up_waiting_for_the_rest_begins_a_new_attempt():
    simulation = simulation_with_jobs(gang(1, cpus=12.0), gang_wait_s=15.0)
    simulation.image_pull_s["req-000001/3"] = 40.0
    simulation.run_until(lambda: simulation.gave_up_waiting, 90)
    simulation.image_pull_s.clear()
    simulation.run_until(all_done(simulation, 1), 120)
    (first_attempt, *later_attempts) = attempts(simulation, 1)
    assert simulation.gave_up_waiting == {("req-000001", first_attempt)} and later_attempts
    check_invariants(simulation)


def test_reclaim_notice_on_one_machine_checkpoints_the_whole_gang():
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=60.0, proof_s=100.0, flush_s=2.0))
    simulation.run_until(all_running(simulation, 1), 60)
    simulation.run(12.0)
    victim = task_records(simulation, 1)[0][0]
    victim.reclaim_notice_s = 10.0
    simulation.after(10.0, lambda: simulation.cloud.reclaim(victim.name))
    simulation.run_until(lambda: saved_progress(simulation, 1) > 0, 10)
    assert saved_progress(simulation, 1) > 10.0
    simulation.run_until(all_done(simulation, 1), 150)
    assert len(attempts(simulation, 1)) == 2 and not simulation.lost_progress
    check_invariants(simulation)


def test_preempted_gang_is_checkpointed():
    simulation = simulation_with_jobs(
        gang(1, team="blue", run_s=200.0, proof_s=500.0, urgency="low"), capacity={("a", True): 3}
    )
    simulation.run_until(all_running(simulation, 1), 60)
    simulation.run(5.0)
    simulation.submit(job(2, team="blue", tasks=3, cpus=16.0, urgency="production", run_s=10.0))
    simulation.run_until(all_done(simulation, 2), 60)
    assert saved_progress(simulation, 1) > 4.0 and not simulation.lost_progress
    simulation.run_until(all_done(simulation, 1), 400)
    check_invariants(simulation)


@pytest.mark.parametrize("crash", ["leader", "all"])
@pytest.mark.parametrize("state", ["gathering", "running", "flushing"])
def test_gang_completes_when_controllers_crash_in_each_of_its_states(state, crash):
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=30.0, flush_s=3.0))
    if state == "gathering":
        simulation.image_pull_s["req-000001/1"] = 10.0
    simulation.run_until(
        lambda: count_tasks(simulation, 1, state) >= 3 or all_running(simulation, 1)(), 60
    )
    if state == "flushing":
        simulation.run(7.0)
        victim = task_records(simulation, 1)[0][0]
        victim.reclaim_notice_s = 10.0
        simulation.after(10.0, lambda: simulation.cloud.reclaim(victim.name))
        simulation.run_until(lambda: count_tasks(simulation, 1, "flushing"), 10)
    starts = simulation.starts
    for name in [simulation.leader()] if crash == "leader" else simulation.node_names:
        simulation.crash(name, 4.0)
    simulation.run_until(all_done(simulation, 1), 200)
    if state == "running":
        assert simulation.starts == starts and len(attempts(simulation, 1)) == 1
    simulation.run(4)
    assert poll_body(simulation, 1)["status"] == "done"
    check_invariants(simulation)


def test_late_heartbeats_of_an_older_attempt_are_ignored():
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=40.0))
    simulation.run_until(all_running(simulation, 1), 60)
    simulation.run(6.0)
    workers = [w for w, _, _ in task_records(simulation, 1)]
    copies = [body for w in workers for _, body in w.sent_heartbeats]
    simulation.cloud.reclaim(workers[0].name)
    simulation.run_until(
        lambda: len(attempts(simulation, 1)) == 2 and all_running(simulation, 1)(), 120
    )
    copies += [body for w in workers[1:] for _, body in w.sent_heartbeats[-30:]]
    starts = simulation.starts
    for body in copies:
        for name in simulation.node_names:
            simulation.after(
                simulation.rng.uniform(0.0, 10.0),
                functools.partial(simulation.deliver_late_heartbeat, name, body),
            )
    simulation.run_until(all_done(simulation, 1), 120)
    assert (
        simulation.starts == starts
        and len(attempts(simulation, 1)) == 2
        and not simulation.lost_progress
    )
    check_invariants(simulation)


@pytest.mark.parametrize("exit_cause", ["no_room", "in_use", "unknown", "error"])
def test_task_that_is_refused_or_fails_before_the_gang_starts_is_replaced(exit_cause):
    simulation = simulation_with_jobs(gang(1, cpus=12.0))
    simulation.image_pull_s["req-000001/0"] = 5.0
    if exit_cause == "error":
        simulation.run_until(lambda: count_tasks(simulation, 1, "pulling", "gathering") == 4, 60)
        failing_worker = next(
            w for w, key, _ in task_records(simulation, 1) if key[0] == "req-000001/0"
        )
        failing_worker.fails_tasks = True
    else:
        simulation.start_refusals["req-000001/2"] = exit_cause
    simulation.run_until(all_running(simulation, 1), 90)
    assert not simulation.gave_up_waiting and len(attempts(simulation, 1)) <= 2
    simulation.run_until(all_done(simulation, 1), 60)
    assert not simulation.start_refusals
    check_invariants(simulation)


@pytest.mark.parametrize("state", ["gathering", "running"])
def test_running_gang_survives_a_crash_of_its_shard_owner(state):
    simulation = Simulation(partitioned=True)

    def shard_owners():
        owners = [
            (scheduler.shard, name)
            for name, node in simulation.nodes.items()
            for scheduler in node.schedulers
            if scheduler.has_authority(simulation.now)
        ]
        return dict(owners)

    simulation.run_until(lambda: simulation.leader() and len(shard_owners()) == 2, 20)
    for number, team in ((1, "red"), (2, "blue")):
        simulation.submit(gang(number, team=team, run_s=40.0))
        if state == "gathering":
            simulation.image_pull_s[f"req-{number:06d}/0"] = 25.0
    simulation.run_until(lambda: all(count_tasks(simulation, n, state) >= 3 for n in (1, 2)), 60)
    starts = simulation.starts
    simulation.crash(shard_owners()[0], 6.0)
    simulation.run_until(all_done(simulation, 1, 2), 200)
    if state == "running":
        assert simulation.starts == starts
    assert not simulation.lost_progress
    check_invariants(simulation)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("seed", range(1, 5))
def test_invariants_hold_with_gangs_under_random_faults(seed, partitioned):
    simulation, rng, number = (
        Simulation(seed=seed, partitioned=partitioned),
        random.Random(2000 + seed),
        0,
    )
    simulation.run_until(simulation.leader, 20)
    end = simulation.now + 240.0
    while simulation.now < end:
        simulation.run(rng.uniform(0.5, 4.0))
        check_invariants(simulation)
        draw, names, workers = rng.random(), sorted(simulation.nodes), simulation.cloud.workers()
        if draw < 0.45 and names:
            number += 1
            make_spec = gang if rng.random() < 0.6 else functools.partial(job, same_place=False)
            simulation.submit(
                make_spec(
                    number,
                    team=rng.choice(["red", "blue"]),
                    tasks=rng.randint(1, 6),
                    cpus=rng.choice([1.0, 4.0, 7.5]),
                    run_s=rng.uniform(2, 40),
                    proof_s=rng.choice([0.0, 5.0]),
                    urgency=rng.choice(["high", "normal", "low"]),
                )
            )
        elif draw < 0.55 and number and names:
            simulation.cancel(f"req-{rng.randint(1, number):06d}")
        elif draw < 0.65 and names:
            simulation.crash(rng.choice(names), rng.choice([0.1, 0.4, 2.0, 6.0]))
        elif draw < 0.75 and len(names + workers) > 1:
            for _ in range(rng.randint(1, 4)):
                simulation.cut(*rng.sample(names + [w.name for w in workers] + ["state"], 2))
        elif draw < 0.85:
            simulation.heal()
        elif workers:
            worker = rng.choice(workers)
            if draw < 0.91:
                simulation.cloud.reclaim(worker.name)
            elif draw < 0.96:
                worker.hang(rng.uniform(0.5, 10.0))
            else:
                worker.reclaim_notice_s = 10.0
                simulation.after(10.0, functools.partial(simulation.cloud.reclaim, worker.name))
    simulation.heal()
    simulation.run_until(
        lambda: all(
            f"d/job/{job_id}" in simulation.kvstore.data
            for job_id in simulation.acknowledged
            if job_id not in simulation.cancelled
        ),
        500,
    )
    assert simulation.starts > 20 and any(g.started for g in simulation.gangs.values())
    check_invariants(simulation)

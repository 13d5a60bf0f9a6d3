"""Guarantees to users that no other scenario checks: see failure-tests.md."""

import functools

import pytest

from copperpass.core.ports import CallOutcome
from tests.request_bodies import gang, job
from tests.scenarios import is_completed, run_checked, started_simulation, wait_for_new_leader
from tests.scheduler_bench import SchedulerBench
from tests.simulation import Simulation

PARTITIONED_AND_NOT = pytest.mark.parametrize("partitioned", [False, True])


def busy_workers(simulation):
    return [w for w in simulation.cloud.workers() if w.present_tasks()]


def check_answers(simulation, requests, allowed):
    """Run until all requests are answered; check that only allowed statuses were returned."""
    simulation.run(2.0)
    assert {request.status for request in requests} <= allowed


# -- jobs are served in time


@PARTITIONED_AND_NOT
@pytest.mark.parametrize("size", ["few machines", "any machine", "gang", "overload"])
def test_largest_tasks_start_in_time_beside_bursts_of_small_urgent_jobs(size, partitioned):
    # Jobs of a class without objectives come last until they are overdue, and no whole machine
    # becomes free while small tasks fill each gap. Guards the capacity reserved for a large task in
    # `DispatchRound._reserve_capacity`: without it no large task starts under overload.
    overload = size == "overload"
    cpus, run_s = (4.0, 14.0) if overload else (2.0, 12.0)
    simulation = Simulation(seed=11, partitioned=partitioned)
    simulation.cloud.capacity = {(zone, spot): 1 for zone in "abc" for spot in (True, False)}
    simulation.run_until(simulation.leader)
    number = 0
    for second in range(300):
        # More jobs than the capacity allows on average; half of them arrive in bursts.
        for _ in range(8 if second % 20 == 0 else second % 2):
            number += 1
            team = "red" if number % 2 else "blue"
            simulation.submit(job(number, team=team, tasks=2, cpus=cpus, run_s=run_s))
        if second % 40 == 10:
            number += 1
            team = "red" if second % 80 == 10 else "blue"
            if size in ("few machines", "overload"):
                constraints = {"borrowed": False, "hall": "b"}
            else:
                constraints = {}
            if size == "gang":
                large = gang(number, tasks=2, cpus=8.0, team=team, run_s=20.0, slot="none")
            else:
                large = job(
                    number, tasks=1, cpus=16.0, team=team, run_s=20.0, slot="none", **constraints
                )
            simulation.submit(large)
        run_checked(simulation, 1.0)
    simulation.check_service_levels()
    assert not simulation.violations
    late_jobs = [
        job_id
        for job_id, spec in simulation.specs.items()
        if spec["slot"] == "none"
        and simulation.now - simulation.submitted[job_id] > 240.0
        and simulation.first_start.get(job_id, 1e9) - simulation.submitted[job_id] > 240.0
    ]
    assert overload or not late_jobs
    simulation.finish(600.0)


@PARTITIONED_AND_NOT
def test_large_task_is_not_starved_by_small_tasks_at_its_teams_limit(partitioned):
    # The machines have free capacity, but small tasks of the team used up its limit each time.
    simulation = Simulation(seed=21, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    for second in range(290):
        if second % 2 == 0:
            simulation.submit(job(second + 1, team="blue", tasks=2, cpus=4.0, run_s=12.0))
        if second == 40:
            simulation.submit(job(9000, team="blue", tasks=1, cpus=16.0, run_s=10.0, slot="none"))
        run_checked(simulation, 1.0)
    simulation.check_service_levels()
    assert not simulation.violations and is_completed(simulation, 9000)


def test_service_check_reports_each_class_and_team_that_is_not_served():
    simulation = started_simulation([job(1, tasks=1, run_s=1.0)], 1)
    simulation.run_until(lambda: is_completed(simulation, 1), 30)
    simulation.cloud.capacity = dict.fromkeys(simulation.cloud.capacity, 0)
    simulation.submit(job(2, team="blue", tasks=1, cpus=16.0, slot="none"))
    for name in list(simulation.cloud.machines):
        simulation.cloud.reclaim(name)
    simulation.run(250.0)
    shares = simulation.check_service_levels()
    assert shares["class", "quick"] == shares["team", "red"] == 1.0
    assert shares["class", "none"] == shares["team", "blue"] == shares["largest of", "none"] == 0
    assert len(simulation.violations) == 1 and simulation.violations[0].startswith("unserved")


def test_four_one_task_jobs_per_second_are_served_while_a_quarter_is_cancelled():
    simulation = Simulation(seed=12)
    simulation.run_until(simulation.leader)
    requests, number = [], 0
    for second in range(150):
        for _ in range(4):
            number += 1
            team = "red" if number % 2 else "blue"
            requests.append(simulation.submit(job(number, team=team, tasks=1, cpus=1.0, run_s=6.0)))
            simulation.run(0.25)
            if number % 4 == 0 and number > 8:
                requests.append(simulation.cancel(f"req-{number - 8:06d}"))
        if second in (50, 100):
            simulation.crash(simulation.leader(), 0.3)
        run_checked(simulation, 0.0)
    # A controller that has just started may answer 503 for a moment.
    refused = [request for request in requests if request.status == 503]
    assert len(refused) < 0.1 * len(requests)
    simulation.check_service_levels(within=60.0)
    simulation.finish()


# -- processes and machines that restart at once


@PARTITIONED_AND_NOT
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_task_is_lost_when_members_restart_repeatedly_during_elections(seed, partitioned):
    # A restarted process has forgotten its votes and its campaign.
    specs = [job(n, tasks=4, cpus=2.0, run_s=90.0) for n in range(1, 6)]
    simulation = started_simulation(specs, 20, partitioned=partitioned, seed=seed)
    starts, rng = simulation.starts, simulation.rng
    for round_number in range(6):
        old_leader = simulation.leader()
        if old_leader is not None:
            simulation.crash(old_leader, rng.choice([0.1, 0.3, 0.5]))
        # While nobody leads, one or two members restart again, several times in a row.
        for _ in range(4):
            simulation.run(rng.uniform(0.05, 0.4))
            simulation.leader()
            simulation.check_owners()
            for name in rng.sample(simulation.node_names, 1 + round_number % 2):
                if simulation.leader() != name:
                    simulation.crash(name, rng.choice([0.1, 0.2, 0.5]))
        simulation.run_until(lambda: simulation.leader() is not None, simulation.lease_s)
        run_checked(simulation, rng.uniform(0.5, 4.0))
    assert simulation.starts == starts, "a task was lost in a restart"
    simulation.finish()


@PARTITIONED_AND_NOT
@pytest.mark.parametrize("back", [0.0, 0.2, 0.9])
def test_jobs_complete_when_machines_restart_empty_within_a_second(back, partitioned):
    # Same address, a later agent session: the tasks are gone and start again on any machine.
    specs = [job(n, tasks=4, run_s=25.0, team="red" if n % 2 else "blue") for n in (1, 2, 3)]
    simulation = started_simulation(
        [*specs, gang(4, tasks=3, run_s=25.0)], 15, partitioned=partitioned
    )
    for round_number in range(3):
        for worker in busy_workers(simulation)[round_number % 2 :: 2]:
            worker.restart(back)
        if round_number == 1:
            simulation.crash(simulation.leader(), 0.2)
        simulation.submit(job(10 + round_number, tasks=3, run_s=5.0))
        run_checked(simulation, 3.0)
    simulation.finish()


# -- unreachable machines


@PARTITIONED_AND_NOT
def test_jobs_complete_with_unreachable_machines_late_heartbeats_and_leader_crashes(partitioned):
    specs = [job(n, tasks=3, run_s=60.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=partitioned)
    simulation.late_heartbeats = 0.5
    for round_number in range(3):
        simulation.inbound_blocked = {w.name for w in busy_workers(simulation)[round_number::3]}
        simulation.run(simulation.rng.uniform(0.0, 3.0))
        old_leader = simulation.leader()
        if old_leader is not None:
            simulation.crash(old_leader, [0.2, 3.0, 8.0][round_number])
        simulation.cancel(f"req-{round_number + 1:06d}")
        for n in range(4):
            simulation.submit(job(10 + 4 * round_number + n, tasks=2, cpus=2.0, run_s=8.0))
            run_checked(simulation, 0.3 * simulation.lease_s)
    simulation.finish()


@PARTITIONED_AND_NOT
def test_late_heartbeats_reach_every_controller_as_a_new_leader_begins(partitioned):
    specs = [job(n, tasks=2, run_s=5.0 + 8.0 * n) for n in range(1, 7)]
    simulation = started_simulation(specs, 10, partitioned=partitioned)
    for round_number in range(4):
        old_leader = simulation.leader()
        copies = [body for w in simulation.cloud.workers() for _, body in w.sent_heartbeats[-6::2]]
        simulation.run(1.5)
        simulation.cancel(f"req-{6 - round_number:06d}")
        # It returns only after its key has expired and another member has won.
        simulation.crash(old_leader, 5.0)
        wait_for_new_leader(simulation, old_leader)
        for _ in range(10):
            for body in copies:
                for name in simulation.node_names:
                    simulation.deliver_late_heartbeat(name, body)
            simulation.run(0.1)
            simulation.check_derived_state()
        simulation.submit(job(20 + round_number, tasks=4, cpus=2.0, run_s=10.0))
        run_checked(simulation, 6.0)
    simulation.finish()


# -- late commands and writes


@PARTITIONED_AND_NOT
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_late_commands_of_old_leaders_start_no_task_past_the_cancellation_deadline(
    seed, partitioned
):
    specs = [job(n, tasks=3, run_s=40.0, team="red" if n % 2 else "blue") for n in range(1, 4)]
    simulation = started_simulation(specs, 9, partitioned=partitioned, seed=seed)
    simulation.late_commands = 0.5
    for round_number in range(6):
        for n in range(3):
            number = 10 + 3 * round_number + n
            make = gang if n == 2 else job
            simulation.submit(make(number, tasks=2, cpus=4.0, run_s=8.0))
        simulation.run(simulation.rng.uniform(0.0, 0.8))
        old_leader = simulation.leader()
        if old_leader is not None and round_number % 3 == 0:
            simulation.crash(old_leader, 0.3)
        elif old_leader is not None and round_number % 3 == 1:
            simulation.isolate(old_leader)
        simulation.cancel(f"req-{10 + 3 * round_number:06d}")
        run_checked(simulation, 6.0)
        simulation.heal()
        simulation.kvstore_refuses.clear()
        run_checked(simulation, 2.0)
    simulation.finish()
    assert not any(delay_s > simulation.cancel_s for delay_s in simulation.starts_after_cancel_s)


@PARTITIONED_AND_NOT
@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_complete_on_new_machines_when_writes_are_late_and_leaders_crash(seed, partitioned):
    # A machine that the inventory hasn't recorded as up must run nothing yet: the next leader would
    # not know that it has to wait for the machine's heartbeat.
    simulation = Simulation(seed=seed, partitioned=partitioned)
    simulation.cloud.boot_s = (0.5, 2.0)
    simulation.run_until(simulation.leader)
    for round_number in range(5):
        simulation.late_writes = 0.3
        for n in range(3):
            number = 10 * round_number + n + 1
            team = "red" if n % 2 else "blue"
            simulation.submit(job(number, team=team, tasks=3, cpus=7.5, run_s=12.0))
        starts = simulation.starts
        deadline = simulation.now + 12.0
        while simulation.starts < starts + 2 and simulation.now < deadline:
            simulation.run(0.1)
        old_leader = simulation.leader()
        if old_leader is not None:
            simulation.crash(old_leader, [0.2, 4.0][round_number % 2])
        run_checked(simulation, 5.0)
        # Reclaim machines, so that each round provisions new ones.
        for worker in simulation.cloud.workers()[::2]:
            simulation.cloud.reclaim(worker.name)
        run_checked(simulation, 3.0)
    simulation.finish()


@PARTITIONED_AND_NOT
def test_jobs_complete_when_transactions_are_applied_but_their_answers_are_lost(partitioned):
    simulation = Simulation(seed=15, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.lost_answers = 0.3
    for number in range(1, 26):
        spec = job(number, tasks=1 + number % 3, cpus=2.0, run_s=4.0 + number % 7)
        simulation.submit(spec, "n0")
        simulation.run(0.02)
        # Polls at other nodes read what this node wrote and must return the same.
        for name in ("n1", "n2"):
            if name in simulation.nodes:
                simulation.poll(f"req-{number:06d}", name)
        run_checked(simulation, 1.0)
        if number % 4 == 0:
            simulation.cancel(f"req-{number:06d}")
            simulation.run(0.05)
            simulation.poll(f"req-{number:06d}")
        if number % 9 == 0:
            simulation.crash(simulation.rng.choice(["n1", "n2"]), 0.3)
        run_checked(simulation, 1.5)
        if simulation.acknowledged.get(f"req-{number:06d}") is None:
            simulation.submit(spec)
    simulation.finish()


# -- all faults except network partitions, at the same time


@PARTITIONED_AND_NOT
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_most_jobs_are_served_in_time_under_random_coinciding_faults(seed, partitioned):
    simulation = Simulation(seed=seed, partitioned=partitioned)
    uniform, number = functools.partial(simulation.rng.random), 0
    simulation.run_until(simulation.leader)
    for second in range(180):
        if second % 3 == 0:
            number += 1
            make = gang if number % 7 == 0 else job
            team = "red" if number % 2 else "blue"
            spec_fields = {"cpus": 8.0 if number % 5 == 0 else 2.0, "run_s": 6.0 + number % 11}
            simulation.submit(make(number, team=team, tasks=2, **spec_fields))
        if second % 20 == 0:
            simulation.end_faults()
            simulation.late_commands, simulation.late_heartbeats = 0.3 * uniform(), 0.3 * uniform()
            simulation.lost_answers, simulation.late_writes = 0.2 * uniform(), 0.2 * uniform()
            simulation.kvstore_delay_s = 0.3 * uniform()
            affected = [w for w in simulation.cloud.workers() if uniform() < 0.15]
            for worker in affected:
                fault = simulation.rng.randrange(4)
                if fault == 0:
                    worker.restart(uniform())
                elif fault == 1:
                    worker.hang(uniform() * 1.3 * simulation.lease_s)
                elif fault == 2:
                    simulation.inbound_blocked.add(worker.name)
                else:
                    simulation.outbound_blocked.add(worker.name)
        if second % 25 == 10 and simulation.leader():
            if uniform() < 0.4:
                simulation.isolate(simulation.leader())
            else:
                simulation.crash(simulation.leader(), 0.1 + 0.4 * uniform())
        if second % 10 == 5:
            simulation.cancel(f"req-{simulation.rng.randint(1, number):06d}")
        run_checked(simulation, 1.0)
    simulation.finish()
    simulation.check_service_levels(age_s=0.0)
    assert not simulation.violations


# -- guards, tested on one scheduler


def test_no_task_starts_on_a_machine_that_the_inventory_has_not_recorded_as_up():
    # The next leader would not know that it has to wait for its heartbeat. Guards `recorded` in
    # `Machine.is_usable`.
    bench = SchedulerBench()
    machine = bench.scheduler.machines["m-1"]
    machine.recorded = False
    bench.add_job()
    bench.scheduler.dispatch_round(bench.now)
    assert not bench.take_calls("worker")
    machine.recorded = True
    bench.scheduler.dispatch_round(bench.now)
    assert bench.take_calls("worker")


def test_unanswered_start_is_resolved_by_a_new_agent_session_of_its_machine():
    # Guards `on_agent_epoch_ended` in `HeartbeatHandler._apply_agent_epoch`: a later session can't
    # execute the start, although the new process has seen no higher token.
    bench = SchedulerBench()
    start_call, _ = bench.start_tasks()
    start_call.on_done(bench.now, CallOutcome(0))
    bench.worker_heartbeat([])
    assert bench.job.assigned == {0: "m-1"}, "the start may still be executed"
    bench.worker_heartbeat([], token=0, agent_epoch=2, sequence=1)
    assert bench.job.assigned == {}
    bench.worker_heartbeat(
        [("req-000001/0", 99, "running", None)], agent_epoch=1, sequence=bench.sequence + 1
    )
    assert bench.job.assigned == {}, (
        "a heartbeat of an older session must not change the state of the new one"
    )

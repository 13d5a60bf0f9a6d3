"""What the service owes its users, where other scenarios don't show it: see failure-tests.md."""

import functools

import pytest

from copperpass.core.ports import CallOutcome
from tests.request_bodies import gang, job
from tests.scenarios import is_completed, run_checked, started_simulation, wait_for_new_leader
from tests.scheduler_bench import SchedulerBench
from tests.simulation import Simulation

PARTED = pytest.mark.parametrize("partitioned", [False, True])


def busy(simulation):
    return [w for w in simulation.cloud.workers() if w.present_tasks()]


def settle(simulation, answers, allowed):
    """Let questions be answered, and see how."""
    simulation.run(2.0)
    assert {user.status for user in answers} <= allowed


# -- served in time


@PARTED
@pytest.mark.parametrize("size", ["few machines", "any machine", "gang", "overload"])
def test_the_largest_begin_in_time_beside_bursts_of_small_urgent_jobs(size, partitioned):
    # Work without an aim comes last until it is overdue, and a whole machine is never free by
    # itself while small tasks take each gap. Holds the room held for a large task in
    # `ShardScheduler.round`: without it none of them begins in the overload.
    overload = size == "overload"
    cpus, run_s = (4.0, 14.0) if overload else (2.0, 12.0)
    simulation = Simulation(seed=11, partitioned=partitioned)
    simulation.cloud.capacity = {(z, s): 1 for z in "abc" for s in (True, False)}
    simulation.run_until(simulation.leader)
    number = 0
    for second in range(300):
        # More than there is room for on average: half of the jobs come in bursts.
        for _ in range(8 if second % 20 == 0 else second % 2):
            number += 1
            team = "red" if number % 2 else "blue"
            simulation.submit(job(number, team=team, tasks=2, cpus=cpus, run_s=run_s))
        if second % 40 == 10:
            number += 1
            team = "red" if second % 80 == 10 else "blue"
            if size in ("few machines", "overload"):
                more = {"borrowed": False, "hall": "b"}
            else:
                more = {}
            if size == "gang":
                large = gang(number, tasks=2, cpus=8.0, team=team, run_s=20.0, slot="none")
            else:
                large = job(number, tasks=1, cpus=16.0, team=team, run_s=20.0, slot="none", **more)
            simulation.submit(large)
        run_checked(simulation, 1.0)
    simulation.check_service_levels()
    assert not simulation.violations
    late = [
        j
        for j, spec in simulation.specs.items()
        if spec["slot"] == "none"
        and simulation.now - simulation.submitted[j] > 240.0
        and simulation.first_start.get(j, 1e9) - simulation.submitted[j] > 240.0
    ]
    assert overload or not late
    simulation.finish(600.0)


@PARTED
def test_a_large_task_is_not_starved_by_small_ones_at_its_teams_limit(partitioned):
    # There is room on the machines, but small tasks of the team took each gap under its limit.
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


def test_the_check_of_what_is_served_sees_each_group_that_is_not():
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


def test_one_task_jobs_come_four_a_second_for_minutes_and_a_quarter_is_cancelled():
    simulation = Simulation(seed=12)
    simulation.run_until(simulation.leader)
    answers, number = [], 0
    for second in range(150):
        for _ in range(4):
            number += 1
            team = "red" if number % 2 else "blue"
            answers.append(simulation.submit(job(number, team=team, tasks=1, cpus=1.0, run_s=6.0)))
            simulation.run(0.25)
            if number % 4 == 0 and number > 8:
                answers.append(simulation.cancel(f"req-{number - 8:06d}"))
        if second in (50, 100):
            simulation.crash(simulation.leader(), 0.3)
        run_checked(simulation, 0.0)
    # A controller that has just begun may refuse for a moment.
    refused = [user for user in answers if user.status == 503]
    assert len(refused) < 0.1 * len(answers)
    simulation.check_service_levels(within=60.0)
    simulation.finish()


# -- processes and machines that are back at once


@PARTED
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_members_are_back_within_moments_in_mid_election_again_and_again(seed, partitioned):
    # A process that is back has forgotten its promises and its campaign.
    specs = [job(n, tasks=4, cpus=2.0, run_s=90.0) for n in range(1, 6)]
    simulation = started_simulation(specs, 20, partitioned=partitioned, seed=seed)
    starts, rng = simulation.starts, simulation.rng
    for turn in range(6):
        old = simulation.leader()
        if old is not None:
            simulation.crash(old, rng.choice([0.1, 0.3, 0.5]))
        # While nobody leads, one or two members restart again, several times in a row.
        for _ in range(4):
            simulation.run(rng.uniform(0.05, 0.4))
            simulation.leader()
            simulation.check_owners()
            for name in rng.sample(simulation.node_names, 1 + turn % 2):
                if simulation.leader() != name:
                    simulation.crash(name, rng.choice([0.1, 0.2, 0.5]))
        simulation.run_until(lambda: simulation.leader() is not None, simulation.lease_s)
        run_checked(simulation, rng.uniform(0.5, 4.0))
    assert simulation.starts == starts, "a task was lost to a restart"
    simulation.finish()


@PARTED
@pytest.mark.parametrize("back", [0.0, 0.2, 0.9])
def test_machines_are_back_within_a_moment_with_nothing_on_them(back, partitioned):
    # Same address, a later session: the tasks are gone and start again, here or elsewhere.
    specs = [job(n, tasks=4, run_s=25.0, team="red" if n % 2 else "blue") for n in (1, 2, 3)]
    simulation = started_simulation(
        [*specs, gang(4, tasks=3, run_s=25.0)], 15, partitioned=partitioned
    )
    for turn in range(3):
        for worker in busy(simulation)[turn % 2 :: 2]:
            worker.restart(back)
        if turn == 1:
            simulation.crash(simulation.leader(), 0.2)
        simulation.submit(job(10 + turn, tasks=3, run_s=5.0))
        run_checked(simulation, 3.0)
    simulation.finish()


# -- machines that nothing reaches


@PARTED
def test_deaf_machines_late_copies_and_a_new_leader(partitioned):
    specs = [job(n, tasks=3, run_s=60.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=partitioned)
    simulation.late_heartbeats = 0.5
    for turn in range(3):
        simulation.inbound_blocked = {w.name for w in busy(simulation)[turn::3]}
        simulation.run(simulation.rng.uniform(0.0, 3.0))
        old = simulation.leader()
        if old is not None:
            simulation.crash(old, [0.2, 3.0, 8.0][turn])
        simulation.cancel(f"req-{turn + 1:06d}")
        for n in range(4):
            simulation.submit(job(10 + 4 * turn + n, tasks=2, cpus=2.0, run_s=8.0))
            run_checked(simulation, 0.3 * simulation.lease_s)
    simulation.finish()


@PARTED
def test_an_old_report_reaches_every_controller_just_as_a_new_leader_begins(partitioned):
    specs = [job(n, tasks=2, run_s=5.0 + 8.0 * n) for n in range(1, 7)]
    simulation = started_simulation(specs, 10, partitioned=partitioned)
    for turn in range(4):
        old = simulation.leader()
        copies = [body for w in simulation.cloud.workers() for _, body in w.sent_heartbeats[-6::2]]
        simulation.run(1.5)
        simulation.cancel(f"req-{6 - turn:06d}")
        simulation.crash(old, 3.0)
        wait_for_new_leader(simulation, old)
        for _ in range(10):
            for body in copies:
                for name in simulation.node_names:
                    simulation.deliver_late_heartbeat(name, body)
            simulation.run(0.1)
            simulation.check_derived_state()
        simulation.submit(job(20 + turn, tasks=4, cpus=2.0, run_s=10.0))
        run_checked(simulation, 6.0)
    simulation.finish()


# -- late commands and writes


@PARTED
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_commands_of_a_leader_that_has_ended_or_been_deposed_arrive_late(seed, partitioned):
    specs = [job(n, tasks=3, run_s=40.0, team="red" if n % 2 else "blue") for n in range(1, 4)]
    simulation = started_simulation(specs, 9, partitioned=partitioned, seed=seed)
    simulation.late_commands = 0.5
    for turn in range(6):
        for n in range(3):
            number = 10 + 3 * turn + n
            make = gang if n == 2 else job
            simulation.submit(make(number, tasks=2, cpus=4.0, run_s=8.0))
        simulation.run(simulation.rng.uniform(0.0, 0.8))
        old = simulation.leader()
        if old is not None and turn % 3 == 0:
            simulation.crash(old, 0.3)
        elif old is not None and turn % 3 == 1:
            simulation.isolate(old)
        simulation.cancel(f"req-{10 + 3 * turn:06d}")
        run_checked(simulation, 6.0)
        simulation.heal()
        simulation.kvstore_refuses.clear()
        run_checked(simulation, 2.0)
    simulation.finish()
    assert not any(late > simulation.cancel_s for late in simulation.starts_after_cancel_s)


@PARTED
@pytest.mark.parametrize("seed", [1, 2])
def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends(seed, partitioned):
    # A machine that the fleet's record doesn't know as up must run nothing yet: the next leader
    # would not know to ask it.
    simulation = Simulation(seed=seed, partitioned=partitioned)
    simulation.cloud.boot_s = (0.5, 2.0)
    simulation.run_until(simulation.leader)
    for turn in range(5):
        simulation.late_writes = 0.3
        for n in range(3):
            number = 10 * turn + n + 1
            team = "red" if n % 2 else "blue"
            simulation.submit(job(number, team=team, tasks=3, cpus=7.5, run_s=12.0))
        starts = simulation.starts
        limit = simulation.now + 12.0
        while simulation.starts < starts + 2 and simulation.now < limit:
            simulation.run(0.1)
        old = simulation.leader()
        if old is not None:
            simulation.crash(old, [0.2, 4.0][turn % 2])
        run_checked(simulation, 5.0)
        # Machines go, so that each turn rents new ones.
        for worker in simulation.cloud.workers()[::2]:
            simulation.cloud.reclaim(worker.name)
        run_checked(simulation, 3.0)
    simulation.finish()


@PARTED
def test_transactions_are_carried_out_and_only_their_answers_are_lost(partitioned):
    simulation = Simulation(seed=15, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.lost_answers = 0.3
    for n in range(1, 26):
        spec = job(n, tasks=1 + n % 3, cpus=2.0, run_s=4.0 + n % 7)
        simulation.submit(spec, "n0")
        simulation.run(0.02)
        # Other nodes read what it wrote, and are told the same.
        for name in ("n1", "n2"):
            if name in simulation.nodes:
                simulation.poll(f"req-{n:06d}", name)
        run_checked(simulation, 1.0)
        if n % 4 == 0:
            simulation.cancel(f"req-{n:06d}")
            simulation.run(0.05)
            simulation.poll(f"req-{n:06d}")
        if n % 9 == 0:
            simulation.crash(simulation.rng.choice(["n1", "n2"]), 0.3)
        run_checked(simulation, 1.5)
        if simulation.acknowledged.get(f"req-{n:06d}") is None:
            simulation.submit(spec)
    simulation.finish()


# -- a day without cuts, with all the rest at once


@PARTED
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_troubles_meet_and_most_is_served(seed, partitioned):
    simulation = Simulation(seed=seed, partitioned=partitioned)
    rng, number = functools.partial(simulation.rng.random), 0
    simulation.run_until(simulation.leader)
    for second in range(180):
        if second % 3 == 0:
            number += 1
            make = gang if number % 7 == 0 else job
            team = "red" if number % 2 else "blue"
            more = {"cpus": 8.0 if number % 5 == 0 else 2.0, "run_s": 6.0 + number % 11}
            simulation.submit(make(number, team=team, tasks=2, **more))
        if second % 20 == 0:
            simulation.end_faults()
            simulation.late_commands, simulation.late_heartbeats = 0.3 * rng(), 0.3 * rng()
            simulation.lost_answers, simulation.late_writes = 0.2 * rng(), 0.2 * rng()
            simulation.kvstore_delay_s = 0.3 * rng()
            chosen = [w for w in simulation.cloud.workers() if rng() < 0.15]
            for worker in chosen:
                fault = simulation.rng.randrange(4)
                if fault == 0:
                    worker.restart(rng())
                elif fault == 1:
                    worker.hang(rng() * 1.3 * simulation.lease_s)
                elif fault == 2:
                    simulation.inbound_blocked.add(worker.name)
                else:
                    simulation.outbound_blocked.add(worker.name)
        if second % 25 == 10 and simulation.leader():
            if rng() < 0.4:
                simulation.isolate(simulation.leader())
            else:
                simulation.crash(simulation.leader(), 0.1 + 0.4 * rng())
        if second % 10 == 5:
            simulation.cancel(f"req-{simulation.rng.randint(1, number):06d}")
        run_checked(simulation, 1.0)
    simulation.finish()
    simulation.check_service_levels(age_s=0.0)
    assert not simulation.violations


# -- guards, by hand


def test_nothing_starts_on_a_machine_that_the_fleets_record_does_not_know_as_up():
    # The next leader would not know to ask it. Holds `recorded` in `Machine.is_usable`.
    bench = SchedulerBench()
    machine = bench.scheduler.machines["m-1"]
    machine.recorded = False
    bench.add_job()
    bench.scheduler.dispatch_round(bench.now)
    assert not bench.take_calls("worker")
    machine.recorded = True
    bench.scheduler.dispatch_round(bench.now)
    assert bench.take_calls("worker")


def test_a_start_without_an_answer_is_settled_by_a_restart_of_its_machine():
    # Holds `_session_over` in `ShardScheduler._take`: a later session can't carry it out, although
    # the new process has seen no token that passes it.
    bench = SchedulerBench()
    call, _ = bench.start_tasks()
    call.on_done(bench.now, CallOutcome(0))
    bench.worker_heartbeat([])
    assert bench.job.assigned == {0: "m-1"}, "it may yet be carried out"
    bench.worker_heartbeat([], token=0, agent_epoch=2, sequence=1)
    assert bench.job.assigned == {}
    bench.worker_heartbeat(
        [("req-000001/0", 99, "running", None)], agent_epoch=1, sequence=bench.sequence + 1
    )
    assert bench.job.assigned == {}, "an older session says nothing of the new one"

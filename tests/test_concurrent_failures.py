"""Two failures meet: a scenario for each meeting that has been seen to break a rule.

Each test that names a guard was seen to fail with that guard taken out.
"""

import json

import pytest

from copperpass.core.ports import CallOutcome
from tests.request_bodies import job
from tests.scenarios import is_completed, present_task_count, run_checked, started_simulation
from tests.simulation import Simulation, UserRequest


@pytest.mark.parametrize("partitioned", [False, True])
def test_more_work_than_room_urgent_and_not_over_slow_links(partitioned):
    simulation = Simulation(seed=3, partitioned=partitioned)
    simulation.cloud.capacity = {(z, s): 1 for z in "abc" for s in (True, False)}
    simulation.run_until(simulation.leader)
    simulation.latency_s = (0.05, 0.2)
    for n in range(1, 31):
        simulation.submit(
            job(
                n,
                team="red" if n % 2 else "blue",
                tasks=3,
                cpus=4.0,
                run_s=8.0,
                urgency="production" if n % 5 == 0 else "low",
                slot="quick" if n % 3 else "none",
            )
        )
        run_checked(simulation, 1.0)
    # The largest must begin within four minutes, whatever small ones are about.
    simulation.submit(job(99, tasks=1, cpus=16.0, run_s=5.0, slot="none"))
    for n in range(31, 70):
        simulation.submit(job(n, team="red" if n % 2 else "blue", tasks=3, cpus=4.0, run_s=8.0))
        run_checked(simulation, 3.0)
    run_checked(simulation, 120.0)
    assert is_completed(simulation, 99)
    simulation.finish(400.0)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_transactions_without_an_answer_are_carried_out_after_newer_ones(seed, partitioned):
    simulation = Simulation(seed=seed, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.late_writes = 0.25
    asked = {}
    for n in range(1, 26):
        spec = job(n, tasks=1 + n % 3, cpus=2.0, run_s=4.0 + n % 7)
        asked[n] = simulation.submit(spec)
        run_checked(simulation, 1.0)
        if asked[n].status not in (200, 201):
            asked[n] = simulation.submit(spec)
        if n % 4 == 0:
            simulation.cancel(f"req-{n:06d}")
        if n % 9 == 0:
            simulation.crash(simulation.rng.choice(simulation.node_names), 0.3)
        simulation.poll(f"req-{max(1, n - 5):06d}")
        run_checked(simulation, 2.0)
    simulation.finish()


@pytest.mark.parametrize("seed", range(1, 5))
def test_cancellations_questions_and_repeats_meet_the_end_of_the_last_task(seed):
    simulation = Simulation(seed=seed)
    simulation.run_until(simulation.leader)
    # Holds the guards on the version of the live record in `UserApi.cancel`,
    # `JobResults.store` and on both keys in `UserApi.submit`. Slow answers let an end come
    # between a read and a write.
    simulation.kvstore_delay_s = 0.25 if seed > 2 else 0.0
    users = []
    for n in range(1, 21):
        spec = job(n, tasks=1, cpus=1.0, run_s=3.0)
        simulation.submit(spec)
        run_checked(simulation, 2.0)
    for n in range(21, 41):
        simulation.submit(job(n, tasks=1, cpus=1.0, run_s=3.0))
        task = f"req-{n:06d}/0"
        simulation.run_until(lambda t=task: t in simulation.completed, 60)
        for _ in range(8):
            simulation.run(simulation.rng.uniform(0.0, 0.12))
            users += [
                simulation.poll(f"req-{n:06d}"),
                simulation.submit(simulation.specs[f"req-{n:06d}"]),
            ]
            if n % 2:
                users.append(simulation.cancel(f"req-{n:06d}"))
    simulation.run(4.0)
    assert {u.status for u in users} == {200}
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease(partitioned):
    specs = [job(n, tasks=3, run_s=30.0, team="red" if n % 2 else "blue") for n in range(1, 7)]
    simulation = started_simulation(specs, 12, partitioned=partitioned)
    for zone, name in (("a", "n0"), ("b", "n1"), ("c", "n2")):
        inside = {name, *(w.name for w in simulation.cloud.workers() if w.zone == zone)}
        outside = {*simulation.node_names, *(w.name for w in simulation.cloud.workers())} - inside
        for one in inside:
            for other in [*outside, "state", "cloud"]:
                simulation.cut(one, other)
        for n in (1, 2):
            simulation.cancel(f"req-{n:06d}")
        run_checked(simulation, 1.5 * simulation.lease_s)
        simulation.heal()
        run_checked(simulation, 5.0)
    simulation.finish()


@pytest.mark.parametrize("share", ["some", "zone", "all"])
def test_workers_reach_no_controller_while_direct_commands_reach_them(share):
    simulation = started_simulation([job(n, tasks=2, run_s=6.0) for n in range(1, 5)], 8)
    workers = simulation.cloud.workers()
    chosen = {"some": workers[:1], "zone": [w for w in workers if w.zone == "a"], "all": workers}
    simulation.outbound_blocked = {w.name for w in chosen[share]}
    # New work all the time: direct commands go on, and their answers must not pass for reports.
    for n in range(10, 10 + int(3 * simulation.lease_s)):
        simulation.submit(job(n, tasks=1, cpus=1.0, run_s=25.0 if n % 3 else 2.0))
        run_checked(simulation, 1.0)
    if share == "some":
        assert not any(w.name in simulation.outbound_blocked for w in simulation.cloud.workers()), (
            "still kept"
        )
    simulation.finish(500.0)


def test_old_reports_arrive_after_newer_ones_also_of_earlier_sessions_and_attempts():
    # Holds the comparison of agent epoch and sequence in `HeartbeatHandler.on_heartbeat`.
    simulation = Simulation(seed=4)
    simulation.run_until(simulation.leader)
    simulation.late_heartbeats = 0.4
    for n in range(1, 31):
        simulation.submit(job(n, tasks=2, cpus=4.0, run_s=6.0))
        if n in (10, 20):
            # A lease that runs out makes a new session; what was said before it comes after.
            for worker in simulation.cloud.workers()[:2]:
                worker.hang(1.2 * simulation.lease_s)
        if n in (12, 25):
            simulation.crash(simulation.rng.choice(simulation.node_names), 0.2)
        run_checked(simulation, 2.0)
    simulation.finish()


@pytest.mark.parametrize("for_s", [2.0, 5.0, 10.0, 14.0])
def test_a_command_or_its_answer_is_held_up_for_seconds_and_the_machine_goes_on(for_s):
    simulation = started_simulation([job(1, tasks=4, run_s=50.0)], 4)
    for n in range(2, 14):
        simulation.submit(job(n, tasks=2, cpus=2.0, run_s=4.0 if n % 2 else 60.0))
        for worker in simulation.cloud.workers():
            if simulation.rng.random() < 0.3 and not worker.hung:
                worker.hang(for_s)
        simulation.run(simulation.rng.uniform(0.0, 0.6))
        if n % 3 == 0:
            simulation.cancel(f"req-{n:06d}")
        run_checked(simulation, 3.0)
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_jobs_bound_to_one_zone_lose_machines(partitioned):
    # Holds `zone_feasible`.
    simulation = Simulation(seed=2, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=6, cpus=8.0, run_s=15.0, hall="b"))
    simulation.submit(job(2, tasks=6, cpus=8.0, run_s=15.0, same_place=True, team="blue"))
    simulation.submit(job(3, tasks=5, cpus=8.0, run_s=15.0, hall="b", borrowed=False))
    simulation.submit(job(4, tasks=4, cpus=4.0, run_s=15.0, spread=True, hall="c"))
    simulation.submit(job(5, tasks=4, cpus=4.0, run_s=15.0, spread=True, same_place=True))
    simulation.run_until(lambda: present_task_count(simulation) >= 8, 90)
    for _ in range(3):
        for worker in [w for w in simulation.cloud.workers() if w.present_tasks()][::2]:
            simulation.cloud.reclaim(worker.name)
        run_checked(simulation, 12.0)
    simulation.finish(400.0)


def test_the_zone_that_a_job_is_tied_to_gets_the_machines():
    # Guards `with_zone_affinity`. Provisioned elsewhere, machines were of no use: they
    # idled, were returned, and were requested again.
    simulation = Simulation(seed=2)
    simulation.cloud.capacity = {(z, s): 6 for z in "abc" for s in (True, False)}
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=1, cpus=16.0, run_s=200.0, same_place=True, slot="none"))
    simulation.run_until(lambda: present_task_count(simulation) == 1, 60)
    simulation.submit(job(2, tasks=3, cpus=16.0, run_s=120.0, same_place=True))
    simulation.run_until(lambda: present_task_count(simulation) == 4, 60)
    simulation.finish(500.0)


def test_the_state_service_answers_slowly_while_users_cancel_and_ask():
    simulation = started_simulation(
        [job(n, tasks=2, cpus=2.0, run_s=10.0) for n in range(1, 9)], 12
    )
    simulation.kvstore_delay_s = 0.5
    for n in range(10, 25):
        simulation.submit(job(n, tasks=2, cpus=2.0, run_s=6.0))
        simulation.cancel(f"req-{n - 6:06d}" if n % 2 else "req-000003")
        simulation.poll(f"req-{n - 2:06d}")
        run_checked(simulation, 2.0)
    simulation.finish()


def test_a_question_that_read_a_job_before_its_end_is_asked_again():
    # Holds `removed` in `UserApi.lookup`: the view has seen the end, others may have told it.
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    node = simulation.nodes["n0"]
    node.outbox.calls.clear()
    node.user_api.poll(simulation.now, UserRequest(), "req-000001")
    (read,) = node.outbox.calls
    node.outbox.calls.clear()
    node.user_api.on_job_removed("req-000001")
    item = {"path": "c/live/req-000001", "value": {"spec": job(1)}, "stamp": 3}
    read.on_done(simulation.now, CallOutcome(200, json.dumps(item).encode()))
    assert not node.outbox.replies
    assert [c.path for c in node.outbox.calls] == ["/kv/d/job/req-000001"]


def test_a_remote_owner_says_where_a_job_must_find_room():
    simulation = Simulation(seed=3, partitioned=True)
    simulation.run_until(
        lambda: all(n.version_registry.all_upgraded() for n in simulation.nodes.values()), 10
    )
    simulation.run(3.0)
    leader = simulation.nodes[simulation.leader()]
    shard = next(
        p for p in leader.cluster_manager.shards.values() if p.owner != leader.settings.name
    )
    team = next(t for t, n in leader.shard_by_team.items() if n == shard.number)
    simulation.submit(job(1, team=team, tasks=1, cpus=16.0, run_s=200.0, same_place=True))
    simulation.submit(job(2, team=team, tasks=2, cpus=16.0, run_s=300.0, same_place=True))
    simulation.run_until(lambda: present_task_count(simulation) >= 2, 60)
    simulation.run_until(lambda: present_task_count(simulation) == 3, 90)
    assert not simulation.violations

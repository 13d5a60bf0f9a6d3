"""Scenarios in which two failures coincide; each combination has broken an invariant before.

Each test that names a guard was seen to fail with that guard removed.
"""

import json

import pytest

from copperpass.core.ports import CallOutcome
from tests.request_bodies import job
from tests.scenarios import is_completed, present_task_count, run_checked, started_simulation
from tests.simulation import Simulation, UserRequest


@pytest.mark.parametrize("partitioned", [False, True])
def test_largest_task_starts_in_time_under_overload_over_slow_links(partitioned):
    simulation = Simulation(seed=3, partitioned=partitioned)
    simulation.cloud.capacity = {(zone, spot): 1 for zone in "abc" for spot in (True, False)}
    simulation.run_until(simulation.leader)
    simulation.latency_s = (0.05, 0.2)
    for number in range(1, 31):
        simulation.submit(
            job(
                number,
                team="red" if number % 2 else "blue",
                tasks=3,
                cpus=4.0,
                run_s=8.0,
                urgency="production" if number % 5 == 0 else "low",
                slot="quick" if number % 3 else "none",
            )
        )
        run_checked(simulation, 1.0)
    # The largest task must start within four minutes, however many small tasks are queued.
    simulation.submit(job(99, tasks=1, cpus=16.0, run_s=5.0, slot="none"))
    for number in range(31, 70):
        simulation.submit(
            job(number, team="red" if number % 2 else "blue", tasks=3, cpus=4.0, run_s=8.0)
        )
        run_checked(simulation, 3.0)
    run_checked(simulation, 120.0)
    assert is_completed(simulation, 99)
    simulation.finish(400.0)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_complete_when_unanswered_transactions_are_applied_after_newer_ones(seed, partitioned):
    simulation = Simulation(seed=seed, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.late_writes = 0.25
    submissions = {}
    for number in range(1, 26):
        spec = job(number, tasks=1 + number % 3, cpus=2.0, run_s=4.0 + number % 7)
        submissions[number] = simulation.submit(spec)
        run_checked(simulation, 1.0)
        if submissions[number].status not in (200, 201):
            submissions[number] = simulation.submit(spec)
        if number % 4 == 0:
            simulation.cancel(f"req-{number:06d}")
        if number % 9 == 0:
            simulation.crash(simulation.rng.choice(simulation.node_names), 0.3)
        simulation.poll(f"req-{max(1, number - 5):06d}")
        run_checked(simulation, 2.0)
    simulation.finish()


@pytest.mark.parametrize("seed", range(1, 5))
def test_cancellations_polls_and_resubmissions_race_with_completion_of_the_last_task(seed):
    simulation = Simulation(seed=seed)
    simulation.run_until(simulation.leader)
    # Guards the transaction conditions: the live record's version in `Cancellations` and
    # `JobResults.store`, both keys in `Submissions`. With slow answers a job can be completed
    # between a read and a write.
    simulation.kvstore_delay_s = 0.25 if seed > 2 else 0.0
    requests = []
    for number in range(1, 21):
        spec = job(number, tasks=1, cpus=1.0, run_s=3.0)
        simulation.submit(spec)
        run_checked(simulation, 2.0)
    for number in range(21, 41):
        simulation.submit(job(number, tasks=1, cpus=1.0, run_s=3.0))
        task = f"req-{number:06d}/0"
        simulation.run_until(lambda t=task: t in simulation.completed, 60)
        for _ in range(8):
            simulation.run(simulation.rng.uniform(0.0, 0.12))
            requests += [
                simulation.poll(f"req-{number:06d}"),
                simulation.submit(simulation.specs[f"req-{number:06d}"]),
            ]
            if number % 2:
                requests.append(simulation.cancel(f"req-{number:06d}"))
    simulation.run(4.0)
    assert {u.status for u in requests} == {200}
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_jobs_complete_after_each_zone_is_partitioned_for_longer_than_a_lease(partitioned):
    specs = [job(n, tasks=3, run_s=30.0, team="red" if n % 2 else "blue") for n in range(1, 7)]
    simulation = started_simulation(specs, 12, partitioned=partitioned)
    for zone, controller in (("a", "n0"), ("b", "n1"), ("c", "n2")):
        inside = {controller, *(w.name for w in simulation.cloud.workers() if w.zone == zone)}
        outside = {*simulation.node_names, *(w.name for w in simulation.cloud.workers())} - inside
        for inside_name in inside:
            for outside_name in [*outside, "state", "cloud"]:
                simulation.cut(inside_name, outside_name)
        for n in (1, 2):
            simulation.cancel(f"req-{n:06d}")
        run_checked(simulation, 1.5 * simulation.lease_s)
        simulation.heal()
        run_checked(simulation, 5.0)
    simulation.finish()


@pytest.mark.parametrize("share", ["some", "zone", "all"])
def test_jobs_complete_when_workers_receive_commands_but_cannot_send_heartbeats(share):
    simulation = started_simulation([job(n, tasks=2, run_s=6.0) for n in range(1, 5)], 8)
    workers = simulation.cloud.workers()
    workers_by_share = {
        "some": workers[:1],
        "zone": [w for w in workers if w.zone == "a"],
        "all": workers,
    }
    simulation.outbound_blocked = {w.name for w in workers_by_share[share]}
    # New jobs keep direct commands going; their answers must not count as heartbeats.
    for n in range(10, 10 + int(3 * simulation.lease_s)):
        simulation.submit(job(n, tasks=1, cpus=1.0, run_s=25.0 if n % 3 else 2.0))
        run_checked(simulation, 1.0)
    if share == "some":
        assert not any(w.name in simulation.outbound_blocked for w in simulation.cloud.workers()), (
            "a worker that sends no heartbeats was not replaced"
        )
    simulation.finish(500.0)


def test_late_heartbeats_of_earlier_sessions_and_attempts_break_no_invariant():
    # Guards the comparison of agent epoch and sequence in `HeartbeatHandler.on_heartbeat`.
    simulation = Simulation(seed=4)
    simulation.run_until(simulation.leader)
    simulation.late_heartbeats = 0.4
    for number in range(1, 31):
        simulation.submit(job(number, tasks=2, cpus=4.0, run_s=6.0))
        if number in (10, 20):
            # When its lease expires, a worker begins a new agent session; heartbeats of the old
            # session then arrive after those of the new one.
            for worker in simulation.cloud.workers()[:2]:
                worker.hang(1.2 * simulation.lease_s)
        if number in (12, 25):
            simulation.crash(simulation.rng.choice(simulation.node_names), 0.2)
        run_checked(simulation, 2.0)
    simulation.finish()


@pytest.mark.parametrize("for_s", [2.0, 5.0, 10.0, 14.0])
def test_jobs_complete_when_machines_hang_for_seconds_during_commands_and_resume(for_s):
    simulation = started_simulation([job(1, tasks=4, run_s=50.0)], 4)
    for number in range(2, 14):
        simulation.submit(job(number, tasks=2, cpus=2.0, run_s=4.0 if number % 2 else 60.0))
        for worker in simulation.cloud.workers():
            if simulation.rng.random() < 0.3 and not worker.hung:
                worker.hang(for_s)
        simulation.run(simulation.rng.uniform(0.0, 0.6))
        if number % 3 == 0:
            simulation.cancel(f"req-{number:06d}")
        run_checked(simulation, 3.0)
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_zone_bound_jobs_complete_after_their_machines_are_reclaimed(partitioned):
    # Guards `zone_feasible`.
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


def test_machines_are_provisioned_in_the_zone_that_a_one_zone_job_is_bound_to():
    # Guards `with_zone_affinity`. The job can't use machines in other zones: when they were
    # provisioned there, they idled, were released and were requested again.
    simulation = Simulation(seed=2)
    simulation.cloud.capacity = {(z, s): 6 for z in "abc" for s in (True, False)}
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=1, cpus=16.0, run_s=200.0, same_place=True, slot="none"))
    simulation.run_until(lambda: present_task_count(simulation) == 1, 60)
    simulation.submit(job(2, tasks=3, cpus=16.0, run_s=120.0, same_place=True))
    simulation.run_until(lambda: present_task_count(simulation) == 4, 60)
    simulation.finish(500.0)


def test_jobs_complete_when_state_service_is_slow_during_cancellations_and_polls():
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


def test_poll_reads_completed_record_if_live_record_was_removed_during_the_read():
    # Guards `JobLookup.removed_jobs`: the watch cache has seen the completion, so another
    # controller may already have answered with the terminal state.
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    node = simulation.nodes["n0"]
    node.outbox.calls.clear()
    node.user_api.poll(simulation.now, UserRequest(), "req-000001")
    (live_read,) = node.outbox.calls
    node.outbox.calls.clear()
    node.user_api.on_job_removed(simulation.now, "req-000001")
    item = {"path": "c/live/req-000001", "value": {"spec": job(1)}, "stamp": 3}
    live_read.on_done(simulation.now, CallOutcome(200, json.dumps(item).encode()))
    assert not node.outbox.replies
    assert [c.path for c in node.outbox.calls] == ["/kv/d/job/req-000001"]


def test_remote_shard_owner_reports_the_zone_that_a_one_zone_job_is_bound_to():
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

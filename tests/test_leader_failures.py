"""The leader crashes, is cut off or steps down while something else is under way."""

import pytest

from tests.request_bodies import job
from tests.scenarios import (
    is_completed,
    make_unreachable,
    present_task_count,
    run_checked,
    started_simulation,
    wait_for_new_leader,
)
from tests.simulation import Simulation


def test_jobs_of_a_few_tasks_end_far_apart_across_a_change_of_leader():
    # Of many lengths, so that some end after each change.
    simulation = started_simulation(
        [job(n, tasks=3, cpus=1.0, run_s=6.0 + 6.0 * n) for n in range(1, 11)], 24
    )
    simulation.late_writes = 0.2
    for _ in range(4):
        ended = len(simulation.completed)
        simulation.run_until(lambda before=ended: len(simulation.completed) > before, 60)
        simulation.run(0.4)
        old = simulation.leader()
        if old:
            simulation.crash(old, 3.0)
        run_checked(simulation, 4.0)
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_leaders_change_ten_times_in_two_minutes_also_inside_an_outage(partitioned):
    specs = [job(n, tasks=4, cpus=2.0, run_s=60.0) for n in range(1, 6)]
    simulation = started_simulation(specs, 20, partitioned=partitioned)
    for turn in range(10):
        old = simulation.leader()
        if old is not None:
            if turn % 3:
                simulation.crash(old, simulation.rng.choice([0.1, 0.5, 3.0]))
            else:
                simulation.nodes[old].election.step_down(simulation.now, "told to")
        if turn in (3, 7):
            simulation.outage(8.0)
        simulation.submit(job(10 + turn, tasks=2, cpus=1.0, run_s=5.0))
        run_checked(simulation, 10.0)
    simulation.finish()


@pytest.mark.parametrize("back", [0.2, 4.0])
def test_all_controllers_are_away_for_longer_than_a_lease(back):
    simulation = started_simulation([job(n, tasks=3, run_s=40.0) for n in range(1, 5)], 12)
    names = list(simulation.node_names)
    for n, name in enumerate(names):
        simulation.crash(name, 1.5 * simulation.lease_s + n * back)
    simulation.run(1.5 * simulation.lease_s + 10.0)
    assert all(not w.present_tasks() or w.agent_epoch > 1 for w in simulation.cloud.workers())
    simulation.finish()


@pytest.mark.parametrize("fault", ["unreachable", "inbound_blocked", "outbound_blocked", "hung"])
@pytest.mark.parametrize("partitioned", [False, True])
def test_a_leader_ends_while_machines_with_long_tasks_do_not_hear_the_new_one(fault, partitioned):
    # Holds what is unseen in `Demand.is_startable`.
    simulation = started_simulation(
        [job(n, tasks=4, run_s=100.0, slot="slow") for n in (1, 2)], 8, partitioned=partitioned
    )
    victims = [w for w in simulation.cloud.workers() if w.present_tasks()][:2]
    old = simulation.leader()
    for worker in victims:
        make_unreachable(simulation, worker, fault, 0.8 * simulation.lease_s)
    simulation.crash(old, 6.0)
    wait_for_new_leader(simulation, old)
    simulation.cancel("req-000001")
    simulation.submit(job(3, tasks=4, run_s=5.0))
    run_checked(simulation, 2.5 * simulation.lease_s)
    simulation.finish(500.0)


@pytest.mark.parametrize("back", [0.3, 5.0])
def test_jobs_are_cancelled_while_nobody_leads(back):
    # Holds "job over" in `_match_job` and `_update`: the new leader never saw the job.
    simulation = started_simulation([job(n, tasks=3, run_s=400.0) for n in (1, 2)], 6)
    simulation.crash(simulation.leader(), back)
    users = [simulation.cancel(f"req-{n:06d}") for n in (1, 2)]
    run_checked(simulation, 1.2 * simulation.cancel_s)
    assert [u.status for u in users] == [200, 200] and not present_task_count(simulation)
    simulation.finish()


def test_a_report_is_held_back_until_a_new_leader_has_acted():
    simulation = started_simulation([job(n, tasks=2, run_s=20.0) for n in range(1, 5)], 8)
    held = [(w, w.sent_heartbeats[-1][1]) for w in simulation.cloud.workers()]
    old = simulation.leader()
    simulation.crash(old, 4.0)
    new = wait_for_new_leader(simulation, old)
    simulation.run_until(
        lambda: any(o.ready for n in simulation.nodes.values() for o in n.schedulers), 10
    )
    simulation.cancel("req-000001")
    for _ in range(10):
        for _, body in held:
            simulation.deliver_late_heartbeat(new, body)
        run_checked(simulation, 2.0)
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("fault", ["cut", "inbound_blocked", "hung"])
def test_a_team_is_at_its_limit_when_the_leader_changes_and_a_job_is_cancelled(partitioned, fault):
    specs = [job(n, tasks=3, cpus=4.0, run_s=90.0, team="blue") for n in range(1, 5)]
    # Holds `_usage`'s count of what may run unseen: room is free, and later jobs start at once.
    room = job(8, tasks=12, cpus=4.0, run_s=1.0)
    simulation = started_simulation(
        [room, *specs, job(9, tasks=2, run_s=50.0)], 14, partitioned=partitioned
    )
    simulation.run_until(lambda: is_completed(simulation, 8), 60)
    for n in range(20, 24):
        simulation.submit(job(n, tasks=3, cpus=4.0, run_s=5.0, team="blue"))
    simulation.run(3.0)
    old = simulation.leader()
    for worker in [w for w in simulation.cloud.workers() if w.present_tasks()][::2]:
        make_unreachable(simulation, worker, fault, 0.9 * simulation.lease_s)
    simulation.crash(old, 1.0)
    simulation.run(1.5)
    users = [simulation.cancel("req-000001")]
    wait_for_new_leader(simulation, old if old not in simulation.nodes else None)
    for n in range(30, 36):
        simulation.submit(job(n, tasks=4, cpus=4.0, run_s=20.0, team="blue"))
        simulation.run(0.5)
    users.append(simulation.cancel("req-000002"))
    run_checked(simulation, 2.0 * simulation.lease_s)
    assert {u.status for u in users} <= {200, 503}
    simulation.finish(600.0)


@pytest.mark.parametrize("partitioned", [False, True])
def test_a_leader_keeps_workers_and_users_alone_and_jobs_are_cancelled_elsewhere(partitioned):
    # Holds the end of authority in `LeaderElection.has_authority`.
    specs = [job(n, tasks=2, run_s=120.0, slot="slow") for n in range(1, 7)]
    simulation = started_simulation(specs, 12, partitioned=partitioned)
    old = simulation.leader()
    simulation.isolate(old)
    new = wait_for_new_leader(simulation, old)
    users = [simulation.cancel(f"req-{n:06d}", new) for n in range(1, 4)]
    alone = [simulation.poll(f"req-{n:06d}", old) for n in range(1, 7)]
    run_checked(simulation, 1.2 * simulation.cancel_s)
    assert [u.status for u in users] == [200] * 3 and all(p.status == 503 for p in alone)
    simulation.finish(500.0)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("back", [0.1, 0.6, 5.0])
def test_controllers_hand_over_and_back_all_end_and_one_returns(back, partitioned):
    simulation = started_simulation(
        [job(n, tasks=4, cpus=2.0, run_s=60.0) for n in range(1, 5)], 16, partitioned=partitioned
    )
    first = simulation.leader()
    simulation.nodes[first].election.step_down(simulation.now, "hand over", backoff_s=3.0)
    second = wait_for_new_leader(simulation, first)
    simulation.nodes[second].election.step_down(simulation.now, "hand back", backoff_s=3.0)
    wait_for_new_leader(simulation, second)
    for name in simulation.node_names:
        simulation.crash(name, back if name == first else 8.0)
    simulation.run(1.0)
    run_checked(simulation, 12.0)
    simulation.finish()


@pytest.mark.parametrize("length", [1.0, 1.2, 2.0])
def test_a_leader_is_refused_alone_for_about_the_life_of_its_key(length):
    """Its key expires while votes extend it, it wins again: members must get grants again."""
    specs = [job(n, tasks=4, run_s=40.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=True)
    old = simulation.leader()
    simulation.kvstore_refuses.add(old)
    run_checked(simulation, length * 0.22 * simulation.lease_s)
    simulation.kvstore_refuses.clear()
    for _ in range(60):
        simulation.run(0.1)
        simulation.check_owners()
    run_checked(simulation, 3.0 * simulation.lease_s)
    owners = {o.shard: n for n, node in simulation.nodes.items() for o in node.schedulers}
    assert len(set(owners.values())) == 2, "one member has all shards for good"
    simulation.finish()


def test_a_term_that_goes_on_assigns_no_shard_while_grants_of_the_one_before_run():
    # Holds `ClusterManager.defer_until_previous_grants_end`.
    simulation = started_simulation([job(1, tasks=4, run_s=20.0)], 4, partitioned=True)
    node = simulation.nodes[simulation.leader()]
    member_state = next(
        t for n, t in node.cluster_manager.members.items() if n != simulation.leader()
    )
    member_state.grants_expire_at = simulation.now + 3.0
    node.leadership.on_change(simulation.now, True, True)
    simulation.run(2.9)
    assert not any(p.owner for p in node.cluster_manager.shards.values())
    simulation.run(1.0)
    assert all(p.owner for p in node.cluster_manager.shards.values())
    simulation.finish()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_leader_on_extension_wins_again_while_the_others_cannot_see_it(seed):
    specs = [job(n, tasks=4, run_s=40.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=True, seed=seed)
    old, life = simulation.leader(), 0.22 * simulation.lease_s
    token = simulation.nodes[old].election.token
    simulation.kvstore_refuses.add(old)
    run_checked(simulation, 1.1 * life)
    simulation.kvstore_refuses = set(simulation.node_names) - {old}
    for _ in range(100):
        simulation.run(0.05)
        simulation.check_owners()
    again = simulation.nodes[old].election
    assert again.is_leader and again.token > token, "it was to win again"
    simulation.finish()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_leader_is_back_within_a_moment_while_the_owners_cannot_see_it(seed):
    specs = [job(n, tasks=4, run_s=60.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=True, seed=seed)
    simulation.run(1.2 * simulation.lease_s)
    old = simulation.leader()
    simulation.kvstore_refuses = set(simulation.node_names) - {old}
    simulation.run(0.1)
    simulation.crash(old, 0.1)
    simulation.run(1.0)
    for worker in [w for w in simulation.cloud.workers() if w.present_tasks()][::2]:
        for name in simulation.node_names:
            simulation.cut(name, worker.name)
    run_checked(simulation, 1.5 * simulation.lease_s)
    simulation.finish()


def test_a_leader_that_gives_up_ends_its_key_only_after_its_grants():
    # Its successor would give the shards away while owners under those grants start new jobs.
    simulation = Simulation(seed=5, partitioned=True)
    simulation.run_until(simulation.leader)
    simulation.run(3.0)
    leader = simulation.leader()
    granted = [
        t.grants_expire_at
        for n, t in simulation.nodes[leader].cluster_manager.members.items()
        if n != leader
    ]
    simulation.nodes[leader].election.step_down(simulation.now, "told to")
    while simulation.now < max(granted):
        assert "c/lead" in simulation.kvstore.data
        simulation.run(0.1)
        simulation.check_owners()
    simulation.run_until(lambda: simulation.leader() is not None, 10)

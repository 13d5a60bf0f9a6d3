"""Leader crashes, partitions and resignations that coincide with other events."""

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


def test_jobs_of_different_lengths_complete_across_leader_crashes_with_late_writes():
    # The run times differ, so that some jobs complete after each leader change.
    simulation = started_simulation(
        [job(n, tasks=3, cpus=1.0, run_s=6.0 + 6.0 * n) for n in range(1, 11)], 24
    )
    simulation.late_writes = 0.2
    for _ in range(4):
        completed_before = len(simulation.completed)
        simulation.run_until(lambda before=completed_before: len(simulation.completed) > before, 60)
        simulation.run(0.4)
        old_leader = simulation.leader()
        if old_leader:
            simulation.crash(old_leader, 3.0)
        run_checked(simulation, 4.0)
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_jobs_complete_across_ten_leader_changes_in_two_minutes_with_store_outages(partitioned):
    specs = [job(n, tasks=4, cpus=2.0, run_s=60.0) for n in range(1, 6)]
    simulation = started_simulation(specs, 20, partitioned=partitioned)
    for round_number in range(10):
        old_leader = simulation.leader()
        if old_leader is not None:
            if round_number % 3:
                simulation.crash(old_leader, simulation.rng.choice([0.1, 0.5, 3.0]))
            else:
                simulation.nodes[old_leader].election.step_down(simulation.now, "told to")
        if round_number in (3, 7):
            simulation.outage(8.0)
        simulation.submit(job(10 + round_number, tasks=2, cpus=1.0, run_s=5.0))
        run_checked(simulation, 10.0)
    simulation.finish()


@pytest.mark.parametrize("back", [0.2, 4.0])
def test_worker_sessions_expire_when_all_controllers_are_down_longer_than_a_lease(back):
    simulation = started_simulation([job(n, tasks=3, run_s=40.0) for n in range(1, 5)], 12)
    names = list(simulation.node_names)
    for n, name in enumerate(names):
        simulation.crash(name, 1.5 * simulation.lease_s + n * back)
    simulation.run(1.5 * simulation.lease_s + 10.0)
    assert all(not w.present_tasks() or w.agent_epoch > 1 for w in simulation.cloud.workers())
    simulation.finish()


@pytest.mark.parametrize("fault", ["unreachable", "inbound_blocked", "outbound_blocked", "hung"])
@pytest.mark.parametrize("partitioned", [False, True])
def test_jobs_complete_when_leader_crashes_while_machines_with_tasks_are_unreachable(
    fault, partitioned
):
    # Guards the check for unreported machines in `Demand.is_startable`.
    simulation = started_simulation(
        [job(n, tasks=4, run_s=100.0, slot="slow") for n in (1, 2)], 8, partitioned=partitioned
    )
    victims = [w for w in simulation.cloud.workers() if w.present_tasks()][:2]
    old_leader = simulation.leader()
    for worker in victims:
        make_unreachable(simulation, worker, fault, 0.8 * simulation.lease_s)
    simulation.crash(old_leader, 6.0)
    wait_for_new_leader(simulation, old_leader)
    simulation.cancel("req-000001")
    simulation.submit(job(3, tasks=4, run_s=5.0))
    run_checked(simulation, 2.5 * simulation.lease_s)
    simulation.finish(500.0)


@pytest.mark.parametrize("back", [0.3, 5.0])
def test_cancellation_without_a_leader_stops_the_tasks(back):
    # Guards the stop of tasks whose job has ended, in `TaskReconciler._match_job` and
    # `TaskStatusHandler._on_active`: the new leader has never seen the cancelled job.
    simulation = started_simulation([job(n, tasks=3, run_s=400.0) for n in (1, 2)], 6)
    simulation.crash(simulation.leader(), back)
    requests = [simulation.cancel_until_confirmed(f"req-{n:06d}") for n in (1, 2)]
    run_checked(simulation, 1.2 * simulation.cancel_s)
    assert [u.status for u in requests] == [200, 200] and not present_task_count(simulation)
    simulation.finish()


def test_heartbeats_delayed_until_after_a_leader_change_break_no_invariant():
    simulation = started_simulation([job(n, tasks=2, run_s=20.0) for n in range(1, 5)], 8)
    delayed_heartbeats = [(w, w.sent_heartbeats[-1][1]) for w in simulation.cloud.workers()]
    old_leader = simulation.leader()
    simulation.crash(old_leader, 4.0)
    successor = wait_for_new_leader(simulation, old_leader)
    simulation.run_until(
        lambda: any(o.ready for n in simulation.nodes.values() for o in n.schedulers), 10
    )
    simulation.cancel("req-000001")
    for _ in range(10):
        for _, body in delayed_heartbeats:
            simulation.deliver_late_heartbeat(successor, body)
        run_checked(simulation, 2.0)
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("fault", ["cut", "inbound_blocked", "hung"])
def test_team_stays_within_its_limit_across_leader_change_and_cancellation(partitioned, fault):
    specs = [job(n, tasks=3, cpus=4.0, run_s=90.0, team="blue") for n in range(1, 5)]
    # Guards the count of tasks that may run unreported, in `Demand.usage`. The completed filler job
    # leaves free machines, so that jobs which are not held back start at once.
    filler = job(8, tasks=12, cpus=4.0, run_s=1.0)
    simulation = started_simulation(
        [filler, *specs, job(9, tasks=2, run_s=50.0)], 14, partitioned=partitioned
    )
    simulation.run_until(lambda: is_completed(simulation, 8), 60)
    for n in range(20, 24):
        simulation.submit(job(n, tasks=3, cpus=4.0, run_s=5.0, team="blue"))
    simulation.run(3.0)
    old_leader = simulation.leader()
    for worker in [w for w in simulation.cloud.workers() if w.present_tasks()][::2]:
        make_unreachable(simulation, worker, fault, 0.9 * simulation.lease_s)
    simulation.crash(old_leader, 1.0)
    simulation.run(1.5)
    cancellations = [simulation.cancel("req-000001")]
    wait_for_new_leader(simulation, old_leader if old_leader not in simulation.nodes else None)
    for n in range(30, 36):
        simulation.submit(job(n, tasks=4, cpus=4.0, run_s=20.0, team="blue"))
        simulation.run(0.5)
    cancellations.append(simulation.cancel("req-000002"))
    run_checked(simulation, 2.0 * simulation.lease_s)
    assert {u.status for u in cancellations} <= {200, 503}
    simulation.finish(600.0)


@pytest.mark.parametrize("partitioned", [False, True])
def test_isolated_leader_answers_503_while_jobs_are_cancelled_at_its_successor(partitioned):
    # Guards the expiry of authority in `LeaderElection.has_authority`.
    specs = [job(n, tasks=2, run_s=120.0, slot="slow") for n in range(1, 7)]
    simulation = started_simulation(specs, 12, partitioned=partitioned)
    old_leader = simulation.leader()
    simulation.isolate(old_leader)
    successor = wait_for_new_leader(simulation, old_leader)
    cancellations = [
        simulation.cancel_until_confirmed(f"req-{n:06d}", successor) for n in range(1, 4)
    ]
    polls = [simulation.poll(f"req-{n:06d}", old_leader) for n in range(1, 7)]
    run_checked(simulation, 1.2 * simulation.cancel_s)
    assert [u.status for u in cancellations] == [200] * 3 and all(p.status == 503 for p in polls)
    simulation.finish(500.0)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("back", [0.1, 0.6, 5.0])
def test_jobs_complete_after_two_handovers_and_a_crash_of_all_controllers(back, partitioned):
    simulation = started_simulation(
        [job(n, tasks=4, cpus=2.0, run_s=60.0) for n in range(1, 5)], 16, partitioned=partitioned
    )
    first_leader = simulation.leader()
    simulation.nodes[first_leader].election.step_down(simulation.now, "hand over", backoff_s=3.0)
    second_leader = wait_for_new_leader(simulation, first_leader)
    simulation.nodes[second_leader].election.step_down(simulation.now, "hand back", backoff_s=3.0)
    wait_for_new_leader(simulation, second_leader)
    for name in simulation.node_names:
        simulation.crash(name, back if name == first_leader else 8.0)
    simulation.run(1.0)
    run_checked(simulation, 12.0)
    simulation.finish()


@pytest.mark.parametrize("length", [1.0, 1.2, 2.0])
def test_shards_are_assigned_again_after_store_refuses_leader_for_about_its_key_ttl(length):
    """The key expires while votes extend the term; members need grants after the re-election."""
    specs = [job(n, tasks=4, run_s=40.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=True)
    old_leader = simulation.leader()
    simulation.kvstore_refuses.add(old_leader)
    run_checked(simulation, length * 0.22 * simulation.lease_s)
    simulation.kvstore_refuses.clear()
    for _ in range(60):
        simulation.run(0.1)
        simulation.check_owners()
    run_checked(simulation, 3.0 * simulation.lease_s)
    owners = {o.shard: n for n, node in simulation.nodes.items() for o in node.schedulers}
    assert len(set(owners.values())) == 2, "one member keeps all shards"
    simulation.finish()


def test_reelected_leader_assigns_no_shard_before_grants_of_its_previous_term_expire():
    # Guards `ClusterManager.defer_until_previous_grants_end`.
    simulation = started_simulation([job(1, tasks=4, run_s=20.0)], 4, partitioned=True)
    node = simulation.nodes[simulation.leader()]
    member_state = next(
        t for n, t in node.cluster_manager.members.items() if n != simulation.leader()
    )
    member_state.grants_expire_at = simulation.now + 3.0
    node.leadership.on_change(simulation.now, True, True)
    simulation.run(2.9)
    assert not any(shard.owner for shard in node.cluster_manager.shards.values())
    simulation.run(1.0)
    assert all(shard.owner for shard in node.cluster_manager.shards.values())
    simulation.finish()


@pytest.mark.parametrize("seed", [1, 2])
def test_leader_on_vote_extension_is_reelected_while_store_refuses_the_others(seed):
    specs = [job(n, tasks=4, run_s=40.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=True, seed=seed)
    old_leader, leader_key_ttl_s = simulation.leader(), 0.22 * simulation.lease_s
    token = simulation.nodes[old_leader].election.token
    simulation.kvstore_refuses.add(old_leader)
    run_checked(simulation, 1.1 * leader_key_ttl_s)
    simulation.kvstore_refuses = set(simulation.node_names) - {old_leader}
    for _ in range(100):
        simulation.run(0.05)
        simulation.check_owners()
    election = simulation.nodes[old_leader].election
    assert election.is_leader and election.token > token, "the previous leader was not re-elected"
    simulation.finish()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_complete_when_leader_restarts_within_a_moment_while_store_refuses_owners(seed):
    specs = [job(n, tasks=4, run_s=60.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=True, seed=seed)
    simulation.run(1.2 * simulation.lease_s)
    old_leader = simulation.leader()
    simulation.kvstore_refuses = set(simulation.node_names) - {old_leader}
    simulation.run(0.1)
    simulation.crash(old_leader, 0.1)
    simulation.run(1.0)
    for worker in [w for w in simulation.cloud.workers() if w.present_tasks()][::2]:
        for name in simulation.node_names:
            simulation.cut(name, worker.name)
    run_checked(simulation, 1.5 * simulation.lease_s)
    simulation.finish()


def test_resigning_leader_keeps_its_key_until_its_grants_expire():
    # Otherwise its successor assigns the shards to other members while owners with grants that
    # are still valid start new jobs.
    simulation = Simulation(seed=5, partitioned=True)
    simulation.run_until(simulation.leader)
    simulation.run(3.0)
    leader = simulation.leader()
    grant_expiries = [
        member_state.grants_expire_at
        for n, member_state in simulation.nodes[leader].cluster_manager.members.items()
        if n != leader
    ]
    simulation.nodes[leader].election.step_down(simulation.now, "told to")
    while simulation.now < max(grant_expiries):
        assert "c/lead" in simulation.kvstore.data
        simulation.run(0.1)
        simulation.check_owners()
    simulation.run_until(lambda: simulation.leader() is not None, 10)

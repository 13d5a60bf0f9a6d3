"""Short stories of whole days, played by real cores against stand-ins in memory."""

import random

import pytest

from tests.world import World, job


def finished(world, *numbers):
    ids = [f"req-{n:06d}" for n in numbers]
    return lambda: all(
        f"d/job/{i}" in world.state.data for i in ids
    )


def test_a_job_runs_and_is_told_done():
    world = World()
    world.run_until(world.leader)
    user = world.submit(job(1))
    world.run(1)
    assert user.status == 201 and user.body == {"id": "req-000001", "status": "queued"}
    world.run_until(finished(world, 1), 90)
    for name in world.names:
        poll = world.poll("req-000001", name)
        world.run(1)
        assert poll.body["status"] == "done"
    assert not world.broken


def test_two_nodes_one_id_one_job():
    world = World()
    world.run_until(world.leader)
    first = world.submit(job(1), "n0")
    second = world.submit(job(1), "n1")
    world.run(1)
    assert sorted([first.status, second.status]) == [200, 201]
    assert len([k for k in world.state.data if k.startswith("c/live/")]) == 1


def test_cancel_is_stored_and_kills():
    world = World()
    world.run_until(world.leader)
    world.submit(job(1, run_s=500.0))
    running = lambda: any(w.on_it() for w in world.cloud.workers())  # noqa: E731
    world.run_until(running, 60)
    user = world.cancel("req-000001")
    world.run(2)
    assert user.body == {"id": "req-000001", "status": "withdrawn", "done": 0, "running": 0} or (
        user.body["status"] == "withdrawn"
    )
    assert not running()
    again = world.submit(job(1, cpus="not even a number"))
    world.run(1)
    assert (again.status, again.body["status"]) == (200, "withdrawn")


def test_crash_of_the_leader_costs_no_task():
    world = World()
    world.run_until(world.leader)
    for n in range(1, 5):
        world.submit(job(n, run_s=25.0))
    world.run_until(lambda: sum(len(w.on_it()) for w in world.cloud.workers()) == 8, 60)
    old, starts = world.leader(), world.starts
    world.crash(old, back_after=5.0)
    world.run_until(lambda: world.leader() not in (None, old), 10)
    world.run_until(finished(world, 1, 2, 3, 4), 90)
    assert world.starts == starts and not world.broken


def test_tasks_outlive_a_state_outage_longer_than_their_lease():
    world = World()
    world.run_until(world.leader)
    for n in range(1, 4):
        world.submit(job(n, run_s=40.0))
    world.run_until(lambda: sum(len(w.on_it()) for w in world.cloud.workers()) == 6, 60)
    leader, starts = world.leader(), world.starts
    world.state.down = True
    world.run(1.8 * world.lease_s)
    assert world.leader() == leader
    refused = world.submit(job(9))
    world.run(2)
    assert refused.status == 503 and refused.retry_after >= 1
    world.state.down = False
    for lease, (_, ttl) in world.state.leases.items():
        world.state.leases[lease] = (world.now + ttl, ttl)
    world.state.wake()
    world.run_until(finished(world, 1, 2, 3), 90)
    assert world.starts == starts and not world.broken


def test_a_leader_refused_alone_hands_over():
    world = World()
    world.run_until(world.leader)
    world.submit(job(1, run_s=60.0, tasks=4))
    world.run_until(lambda: any(w.on_it() for w in world.cloud.workers()), 60)
    old = world.leader()
    world.refused.add(old)
    world.run_until(lambda: world.leader() not in (None, old), 3 * world.lease_s)
    assert world.nodes[old].healthy(world.now) is False
    world.run_until(finished(world, 1), 150)
    assert not world.broken


def test_a_leader_that_hears_no_worker_steps_down():
    world = World()
    world.run_until(world.leader)
    world.submit(job(1, run_s=30.0))
    world.run_until(lambda: any(w.on_it() for w in world.cloud.workers()), 60)
    old, starts = world.leader(), world.starts
    for worker in world.cloud.workers():
        world.cut(old, worker.name)
    world.run_until(lambda: world.leader() not in (None, old), 10)
    world.run_until(finished(world, 1), 90)
    assert world.starts == starts and not world.broken


def test_a_machine_that_is_gone_does_not_hold_up_every_change_of_leader():
    world = World()
    world.run_until(world.leader)
    world.submit(job(1, run_s=10.0))
    world.run_until(finished(world, 1), 90)
    # The machine vanishes together with the leader, so nobody removes its record.
    victim = world.cloud.workers()[0].name
    world.cloud.take(victim)
    world.crash(world.leader(), 5.0)
    world.run(1.5 * world.lease_s)
    assert victim not in str(world.state.data["c/fleet"][0])
    world.crash(world.leader(), 5.0)
    world.run_until(lambda: world.leader() and world.nodes[world.leader()].steward.ready, 10)
    world.run(3.0)
    assert not world.nodes[world.leader()].steward.unsettled and not world.broken


def test_a_sick_machine_is_fenced_and_returned():
    world = World()
    world.run_until(world.leader)
    for n in range(1, 7):
        world.submit(job(n, cpus=4.0, tasks=2))
    world.run_until(lambda: len(world.cloud.workers()) > 1, 60)
    sick = world.cloud.workers()[0]
    sick.sick = True
    world.run_until(lambda: not sick.alive, 120)
    world.run_until(finished(world, *range(1, 7)), 180)
    assert not world.broken


def test_a_job_with_a_mistake_does_not_burn_the_fleet():
    world = World()
    world.run_until(world.leader)
    world.submit(job(1, broken=True, tasks=1))
    world.submit(job(2, tasks=2))
    world.run(150)
    assert world.starts < 40
    assert "d/job/req-000002" in world.state.data
    assert "c/live/req-000001" in world.state.data
    assert all(w.alive for w in world.cloud.workers())


def test_placement_is_kept():
    world = World(seed=5)
    world.run_until(world.leader)
    world.submit(job(1, tasks=5, cpus=8.0, spread=True))
    world.submit(job(2, tasks=4, cpus=8.0, same_place=True, team="blue"))
    world.submit(job(3, tasks=2, borrowed=False, hall="b"))
    world.run_until(finished(world, 1, 2, 3), 300)
    assert not world.broken


def test_an_unanswered_start_is_not_given_elsewhere_until_a_token_passes_it():
    world = World()
    world.run_until(world.leader)
    world.submit(job(9, tasks=1, cpus=1.0, run_s=1.0))
    world.run_until(finished(world, 9), 90)
    leader = world.leader()
    worker = world.cloud.workers()[0]
    others = [w.name for w in world.cloud.workers()]
    for name in others:
        world.cut(leader, name)
    world.submit(job(1, tasks=1, run_s=20.0))
    world.run(2.0)
    world.heal()
    world.run_until(finished(world, 1), 120)
    assert worker.token > 0 and not world.broken


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_days_keep_every_rule(seed):
    world = World(seed=seed)
    rng = random.Random(1000 + seed)
    world.run_until(world.leader)
    number = 0
    end = world.now + 260.0
    while world.now < end:
        world.run(rng.uniform(0.5, 4.0))
        world.leader()
        world.check_cancelled()
        act = rng.random()
        names = sorted(world.nodes)
        if act < 0.45 and names:
            number += 1
            world.submit(job(
                number, team=rng.choice(["red", "blue"]), tasks=rng.randint(1, 9),
                cpus=rng.choice([1.0, 4.0, 7.5]), run_s=rng.uniform(2, 40),
                urgency=rng.choice(["high", "normal", "low"]),
                same_place=rng.random() < 0.15, spread=rng.random() < 0.15,
                borrowed=rng.random() < 0.8))
        elif act < 0.55 and number and names:
            world.cancel(f"req-{rng.randint(1, number):06d}")
        elif act < 0.70 and number and names:
            world.poll(f"req-{rng.randint(1, number):06d}")
        elif act < 0.78 and names:
            world.crash(rng.choice(names), rng.choice([0.2, 2.0, 6.0]))
        elif act < 0.86:
            ends = names + [w.name for w in world.cloud.workers()] + ["state"]
            if len(ends) > 1:
                for _ in range(rng.randint(1, 6)):
                    world.cut(*rng.sample(ends, 2))
        elif act < 0.92:
            world.heal()
        elif act < 0.95:
            world.state.down = True
            world.run(rng.uniform(2, 20))
            world.state.down = False
            for lease, (_, ttl) in world.state.leases.items():
                world.state.leases[lease] = (world.now + ttl, ttl)
            world.state.wake()
        elif world.cloud.machines:
            world.cloud.take(rng.choice(sorted(world.cloud.machines)))
    world.heal()
    world.run(90.0)
    world.check_cancelled()
    assert not world.broken
    assert world.starts > 20

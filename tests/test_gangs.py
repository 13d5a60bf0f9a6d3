"""Gangs: all tasks of a job run together or none does. Stories played by real cores."""

import functools
import json
import random

import pytest

from tests.world import World, gang, job


def marks(world, number):
    """What machines note of a job's tasks: (worker, key, mark)."""
    job_id = f"req-{number:06d}"
    return [
        (w, key, mark)
        for w in world.cloud.workers()
        for key, mark in w.tasks.items()
        if key[0].split("/")[0] == job_id
    ]


def count(world, number, *states):
    return sum(mark["state"] in states for _, _, mark in marks(world, number))


def present(world, number):
    """Tasks that are on machines or on their way there."""
    return count(world, number, "pulling", "gathering", "running", "flushing")


def runs(world, number):
    return lambda: count(world, number, "running") == world.specs[f"req-{number:06d}"]["pages"]


def done(world, *numbers):
    return lambda: all(f"d/job/req-{n:06d}" in world.state.data for n in numbers)


def attempts(world, number):
    return sorted(a for j, a in world.gangs if j == f"req-{number:06d}")


def progress(world, number):
    return world.progress.get(f"req-{number:06d}", 0.0)


def told(world, number):
    poll = world.poll(f"req-{number:06d}")
    world.run(1)
    assert poll.status == 200
    return poll.body


def begun(*specs, capacity=None, **more):
    """A world with a leader, in which these jobs have been submitted."""
    world = World(**more)
    if capacity is not None:
        world.cloud.capacity = {p: capacity.get(p, 0) for p in world.cloud.capacity}
    world.run_until(world.leader, 20)
    users = [world.submit(spec) for spec in specs]
    world.run(1)
    assert all(user.status == 201 for user in users)
    return world


def fine(world):
    world.check_sums()
    world.check_cancelled()
    assert not world.broken


def test_a_gang_starts_whole_and_is_told_done():
    world = begun(gang(1, cpus=12.0, run_s=15.0))
    world.fetch_s["req-000001/3"] = 6.0
    polls = 0
    while not count(world, 1, "running"):
        assert world.now < 200.0
        body = told(world, 1)
        if not count(world, 1, "running"):
            polls += 1
            assert (body["status"], body.get("running", 0)) == ("queued", 0)
    assert polls > 5
    assert count(world, 1, "running") == 4 and world.starts == 4
    assert len({w for w, _, _ in marks(world, 1)}) == 4
    world.run(3)
    body = told(world, 1)
    assert (body["status"], body["running"]) == ("running", 4)
    world.run_until(done(world, 1), 60)
    world.run(3)
    assert told(world, 1)["status"] == "done"
    assert len(attempts(world, 1)) == 1 and world.starts == 4 and not world.alone
    assert world.waited < 3 * 6.5
    fine(world)


def send(world, body, desk, user):
    desk.submit(world.now, user, body)


def test_a_gang_beyond_its_teams_limit_can_never_run():
    world = begun(gang(1, tasks=4, cpus=16.0), gang(2, team="blue", tasks=12, cpus=4.0))
    for spec, status in [
        (gang(3, tasks=5, cpus=16.0), 422),
        (gang(4, team="blue", tasks=13, cpus=4.0), 422),
        (gang(5, tasks=2, cpus=17.0), 422),
        (gang(6, team="none"), 422),
        (gang(9, tasks=3, spread=True), 422),
        (gang(10, tasks=3, same_place=False, spread=True, hall="a"), 422),
        (job(7, tasks=5, cpus=16.0), 201),
        (gang(8, form="parade"), 400),
        (gang(1, tasks=4, cpus=16.0), 200),
        (gang(1, tasks=9, cpus=16.0), 200),
    ]:
        for again in (False, True):
            if status == 201:
                world.specs[spec["id"]] = spec
            ask = functools.partial(send, world, json.dumps(spec).encode())
            user = world.ask(ask, "n1" if again else "n2")
            world.run(1)
            assert user.status == (200 if again and status == 201 else status), spec["id"]
    world.run_until(done(world, 1, 2), 200)
    fine(world)


@pytest.mark.parametrize("state", ["room", "pulling", "gathering", "running"])
def test_a_cancelled_gang_is_gone_in_every_state(state):
    world = begun(
        gang(1, run_s=300.0, cpus=12.0),
        capacity={} if state == "room" else {("a", True): 3, ("a", False): 3},
    )
    world.fetch_s.update(
        {f"req-000001/{i}": 8.0 for i in range(4)}
        if state == "pulling"
        else {"req-000001/2": 8.0}
        if state == "gathering"
        else {}
    )
    if state != "room":
        world.run_until(lambda: count(world, 1, state) >= (4 if state == "running" else 2), 60)
    user = world.cancel("req-000001")
    world.run_until(lambda: user.status is not None, 5)
    assert (user.status, user.body["status"]) == (200, "withdrawn")
    world.run_until(lambda: not present(world, 1), 5)
    starts = world.starts
    world.cloud.capacity = dict.fromkeys(world.cloud.capacity, 3)
    for _ in range(60):
        world.run(1)
        assert not present(world, 1)
    assert world.starts == starts and not world.lost_saves and not world.alone
    assert told(world, 1)["status"] == "withdrawn"
    fine(world)


def test_a_member_lost_before_the_start_is_replaced_under_the_same_attempt():
    world = begun(gang(1, cpus=12.0))
    world.fetch_s["req-000001/3"] = 20.0
    world.run_until(lambda: count(world, 1, "gathering") == 3, 60)
    victim = next(w for w, key, m in marks(world, 1) if m["state"] == "gathering")
    world.cloud.take(victim.name)
    world.run_until(runs(world, 1), world.gang_wait_s)
    assert len(attempts(world, 1)) == 1 and not world.alone
    world.run_until(done(world, 1), 60)
    fine(world)


@pytest.mark.parametrize("parted", [False, True])
def test_a_gang_that_loses_a_member_goes_on_from_its_checkpoint(parted):
    world = begun(gang(1, cpus=12.0, run_s=40.0), parted=parted)
    world.run_until(runs(world, 1), 60)
    world.run(13.0)
    first = attempts(world, 1)
    victim = marks(world, 1)[0][0]
    world.cloud.take(victim.name)
    world.run_until(lambda: len(attempts(world, 1)) == 2 and runs(world, 1)(), 90)
    (gone, again) = attempts(world, 1)
    assert [gone] == first and again > gone
    # The world itself fails the test when the attempts overlap on machines.
    assert world.gangs["req-000001", again].progress >= progress(world, 1) == 10.0
    world.run_until(done(world, 1), 90)
    assert len(attempts(world, 1)) == 2 and not world.alone
    fine(world)


def test_a_gang_with_a_machine_that_hangs_begins_again():
    world = begun(gang(1, cpus=12.0, run_s=30.0))
    world.run_until(runs(world, 1), 60)
    world.run(7.0)
    marks(world, 1)[0][0].hang(8.0)
    world.run_until(lambda: len(attempts(world, 1)) == 2, 90)
    assert progress(world, 1) == 5.0
    world.run_until(done(world, 1), 120)
    fine(world)


def test_a_gang_that_gave_up_alone_begins_a_new_attempt():
    world = begun(gang(1, cpus=12.0), gang_wait_s=15.0)
    world.fetch_s["req-000001/3"] = 40.0
    world.run_until(lambda: world.alone, 90)
    world.fetch_s.clear()
    world.run_until(done(world, 1), 120)
    (first, *more) = attempts(world, 1)
    assert world.alone == {("req-000001", first)} and more
    fine(world)


def test_a_notice_on_one_machine_saves_the_whole_gang():
    world = begun(gang(1, cpus=12.0, run_s=60.0, proof_s=100.0, flush_s=2.0))
    world.run_until(runs(world, 1), 60)
    world.run(12.0)
    victim = marks(world, 1)[0][0]
    victim.notice = 10.0
    world.after(10.0, lambda: world.cloud.take(victim.name))
    world.run_until(lambda: progress(world, 1) > 0, 10)
    assert progress(world, 1) > 10.0
    world.run_until(done(world, 1), 150)
    assert len(attempts(world, 1)) == 2 and not world.lost_saves
    fine(world)


def test_a_gang_that_gives_way_to_higher_work_is_saved():
    world = begun(
        gang(1, team="blue", run_s=200.0, proof_s=500.0, urgency="low"), capacity={("a", True): 3}
    )
    world.run_until(runs(world, 1), 60)
    world.run(5.0)
    world.submit(job(2, team="blue", tasks=3, cpus=16.0, urgency="production", run_s=10.0))
    world.run_until(done(world, 2), 60)
    assert progress(world, 1) > 4.0 and not world.lost_saves
    world.run_until(done(world, 1), 400)
    fine(world)


@pytest.mark.parametrize("parted", [False, True])
def test_two_gangs_for_the_last_room_run_one_after_the_other(parted):
    world = begun(
        gang(1, cpus=8.0), gang(2, team="blue", cpus=8.0), capacity={("a", True): 3}, parted=parted
    )
    world.run_until(done(world, 1, 2), 150)
    assert world.waited < 20.0 and not world.alone and not world.lost_saves
    assert len(attempts(world, 1) + attempts(world, 2)) == 2
    fine(world)


def test_a_large_gang_and_a_stream_of_small_arrays_starve_neither():
    world = begun(job(1, team="blue", run_s=5.0), capacity={("a", True): 3})
    for number in range(2, 20):
        world.submit(job(number, team="blue", run_s=5.0))
        world.run(1)
    large = gang(20, team="blue", tasks=12, cpus=4.0, run_s=15.0)
    world.submit(large)
    for number in range(21, 171):
        world.submit(job(number, team="blue", run_s=5.0))
        world.run(1)
    assert done(world, 20)(), "the large gang starves"
    world.run_until(done(world, *range(1, 171)), 150)
    assert not world.alone
    fine(world)


def test_an_array_is_not_starved_by_a_stream_of_gangs():
    world = begun(gang(1, team="blue", tasks=6), capacity={("a", True): 3})
    for number in range(2, 60):
        world.submit(gang(number, team="blue", tasks=6, run_s=8.0))
        if number == 10:
            world.submit(job(100, team="blue", tasks=6, cpus=8.0, run_s=8.0))
        world.run(3)
    assert done(world, 100)(), "the array starves"
    world.run_until(done(world, *range(1, 60)), 700)
    assert not world.alone
    fine(world)


@pytest.mark.parametrize("crash", ["leader", "all"])
@pytest.mark.parametrize("state", ["gathering", "running", "flushing"])
def test_controllers_crash_in_each_state_of_a_gang(state, crash):
    world = begun(gang(1, cpus=12.0, run_s=30.0, flush_s=3.0))
    if state == "gathering":
        world.fetch_s["req-000001/1"] = 10.0
    world.run_until(lambda: count(world, 1, state) >= 3 or runs(world, 1)(), 60)
    if state == "flushing":
        world.run(7.0)
        victim = marks(world, 1)[0][0]
        victim.notice = 10.0
        world.after(10.0, lambda: world.cloud.take(victim.name))
        world.run_until(lambda: count(world, 1, "flushing"), 10)
    starts = world.starts
    for name in [world.leader()] if crash == "leader" else world.names:
        world.crash(name, 4.0)
    world.run_until(done(world, 1), 200)
    if state == "running":
        assert world.starts == starts and len(attempts(world, 1)) == 1
    world.run(4)
    assert told(world, 1)["status"] == "done"
    fine(world)


def test_late_reports_of_an_older_attempt_count_for_nothing():
    world = begun(gang(1, cpus=12.0, run_s=40.0))
    world.run_until(runs(world, 1), 60)
    world.run(6.0)
    workers = [w for w, _, _ in marks(world, 1)]
    copies = [body for w in workers for _, body in w.sent]
    world.cloud.take(workers[0].name)
    world.run_until(lambda: len(attempts(world, 1)) == 2 and runs(world, 1)(), 120)
    copies += [body for w in workers[1:] for _, body in w.sent[-30:]]
    starts = world.starts
    for body in copies:
        for name in world.names:
            world.after(world.rng.uniform(0.0, 10.0), functools.partial(world.copy, name, body))
    world.run_until(done(world, 1), 120)
    assert world.starts == starts and len(attempts(world, 1)) == 2 and not world.lost_saves
    fine(world)


@pytest.mark.parametrize("why", ["no_room", "in_use", "unknown", "error"])
def test_a_member_that_is_refused_or_fails_is_replaced(why):
    world = begun(gang(1, cpus=12.0))
    world.fetch_s["req-000001/0"] = 5.0
    if why == "error":
        world.run_until(lambda: count(world, 1, "pulling", "gathering") == 4, 60)
        sick = next(w for w, key, _ in marks(world, 1) if key[0] == "req-000001/0")
        sick.sick = True
    else:
        world.refusals["req-000001/2"] = why
    world.run_until(runs(world, 1), 90)
    assert not world.alone and len(attempts(world, 1)) <= 2
    world.run_until(done(world, 1), 60)
    assert not world.refusals
    fine(world)


def test_a_gang_whose_zone_loses_its_machines_starts_in_another():
    world = begun(gang(1, cpus=12.0, run_s=40.0))
    world.run_until(runs(world, 1), 60)
    world.run(7.0)
    (zone,) = {w.zone for w, _, _ in marks(world, 1)}
    for spot in (True, False):
        world.cloud.capacity[zone, spot] = 0
    for name in [n for n, m in world.cloud.machines.items() if m["place"][0] == zone]:
        world.cloud.take(name)
    world.run_until(runs(world, 1), 120)
    (other,) = {w.zone for w, _, _ in marks(world, 1)}
    assert other != zone and progress(world, 1) == 5.0
    world.run_until(done(world, 1), 90)
    fine(world)


def test_a_spread_gang_starts_whole_in_several_zones():
    world = begun(gang(1, tasks=5, cpus=12.0, same_place=False, spread=True))
    world.run_until(runs(world, 1), 60)
    zones = [w.zone for w, _, _ in marks(world, 1)]
    assert max(zones.count(z) for z in zones) <= 3
    world.run_until(done(world, 1), 60)
    assert len(attempts(world, 1)) == 1
    fine(world)


@pytest.mark.parametrize("one_zone", [False, True])
def test_a_gang_takes_room_in_different_zones_only_if_it_may(one_zone):
    world = begun(
        gang(1, tasks=3, cpus=14.0, same_place=one_zone), capacity={(z, True): 1 for z in "abc"}
    )
    if one_zone:
        for _ in range(60):
            world.run(1)
            assert not present(world, 1), "placed whole or not at all"
        assert told(world, 1)["status"] == "queued"
        world.cloud.capacity["b", False] = 3
    world.run_until(runs(world, 1), 90)
    assert len({w.zone for w, _, _ in marks(world, 1)}) == (1 if one_zone else 3)
    world.run_until(done(world, 1), 60)
    assert not world.alone and len(attempts(world, 1)) == 1
    fine(world)


@pytest.mark.parametrize("state", ["gathering", "running"])
def test_an_owners_crash_costs_no_running_gang(state):
    world = World(parted=True)

    def holders():
        entitled = [
            (owner.pool, name)
            for name, node in world.nodes.items()
            for owner in node.owners
            if owner.entitled(world.now)
        ]
        return dict(entitled)

    world.run_until(lambda: world.leader() and len(holders()) == 2, 20)
    for number, team in ((1, "red"), (2, "blue")):
        world.submit(gang(number, team=team, run_s=40.0))
        if state == "gathering":
            world.fetch_s[f"req-{number:06d}/0"] = 25.0
    world.run_until(lambda: all(count(world, n, state) >= 3 for n in (1, 2)), 60)
    starts = world.starts
    world.crash(holders()[0], 6.0)
    world.run_until(done(world, 1, 2), 200)
    if state == "running":
        assert world.starts == starts
    assert not world.lost_saves
    fine(world)


@pytest.mark.parametrize("parted", [False, True])
@pytest.mark.parametrize("seed", range(1, 5))
def test_random_days_with_gangs_keep_every_rule(seed, parted):
    world, rng, number = World(seed=seed, parted=parted), random.Random(2000 + seed), 0
    world.run_until(world.leader, 20)
    end = world.now + 240.0
    while world.now < end:
        world.run(rng.uniform(0.5, 4.0))
        fine(world)
        act, names, workers = rng.random(), sorted(world.nodes), world.cloud.workers()
        if act < 0.45 and names:
            number += 1
            make = gang if rng.random() < 0.6 else functools.partial(job, same_place=False)
            world.submit(
                make(
                    number,
                    team=rng.choice(["red", "blue"]),
                    tasks=rng.randint(1, 6),
                    cpus=rng.choice([1.0, 4.0, 7.5]),
                    run_s=rng.uniform(2, 40),
                    proof_s=rng.choice([0.0, 5.0]),
                    urgency=rng.choice(["high", "normal", "low"]),
                )
            )
        elif act < 0.55 and number and names:
            world.cancel(f"req-{rng.randint(1, number):06d}")
        elif act < 0.65 and names:
            world.crash(rng.choice(names), rng.choice([0.1, 0.4, 2.0, 6.0]))
        elif act < 0.75 and len(names + workers) > 1:
            for _ in range(rng.randint(1, 4)):
                world.cut(*rng.sample(names + [w.name for w in workers] + ["state"], 2))
        elif act < 0.85:
            world.heal()
        elif workers:
            worker = rng.choice(workers)
            if act < 0.91:
                world.cloud.take(worker.name)
            elif act < 0.96:
                worker.hang(rng.uniform(0.5, 10.0))
            else:
                worker.notice = 10.0
                world.after(10.0, functools.partial(world.cloud.take, worker.name))
    world.heal()
    world.run_until(
        lambda: all(
            f"d/job/{j}" in world.state.data for j in world.told if j not in world.cancelled
        ),
        500,
    )
    assert world.starts > 20 and any(g.started for g in world.gangs.values())
    fine(world)

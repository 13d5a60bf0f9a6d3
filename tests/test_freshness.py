"""Stories of controllers that command on a view of the records that is too old."""

import pytest

from copperpass.core.authority import Authority
from copperpass.core.node import Node
from copperpass.peer import CalledOff
from tests.test_stories import running
from tests.world import World, job


def started_world(parted=False, **more):
    world = World(parted=parted)
    world.run_until(world.leader)
    world.run(3.0)
    for n in range(1, 5):
        world.submit(job(n, run_s=400.0, team="red" if n % 2 else "blue", **more))
    world.run_until(lambda: running(world) == 8, 60)
    world.run(2.0)
    return world


def watch_cancelled(world, seconds):
    """Pass time, looking at the rules as it goes."""
    end = world.now + seconds
    while world.now < end:
        world.run(0.5)
        world.leader()
        world.check_cancelled()


@pytest.mark.parametrize("gap", [0.3, 1.2, 2.5])
@pytest.mark.parametrize("parted", [False, True])
def test_cancelled_while_the_leader_is_refused_alone_and_then_everybody(parted, gap):
    world = started_world(parted)
    old = world.leader()
    world.refused.add(old)
    others = [n for n in world.names if n != old]
    asked = [world.cancel(f"req-{n:06d}", others[n % 2]) for n in range(1, 5)]
    world.run(gap)
    assert [a.status for a in asked] == [200] * 4
    world.state.down = True
    world.run(0.5)
    world.refused.discard(old)
    watch_cancelled(world, 1.6 * world.cancel_s)
    assert running(world) == 0 and not world.broken
    world.outage_over()
    watch_cancelled(world, 20.0)
    assert not world.broken


def test_an_owner_refused_alone_passes_its_pool_on():
    world = started_world(parted=True)
    leader = world.leader()
    shares = world.nodes[leader].landlord.pools.values()
    pool = next(p for p in shares if p.owner != leader)
    owner, starts = pool.owner, world.starts
    world.refused.add(owner)
    world.run_until(lambda: pool.owner not in ("", owner), 3 * world.nodes[leader].ttl + 2.0)
    other = next(n for n in world.names if n not in (owner, leader))
    for n in range(1, 5):
        assert world.cancel(f"req-{n:06d}", other)
    watch_cancelled(world, 2.0 * world.cancel_s)
    assert running(world) == 0 and world.starts == starts and not world.broken


def stuck_leader_day():
    """The watch of a leader that owns everything hangs while its key is renewed."""
    world = started_world()
    leader = world.leader()
    world.stuck.add(leader)
    world.run(3.0)
    for name in world.names:
        if name != leader:
            # The others see nothing of it: they are cut off, and users reach the state over them.
            world.cut(leader, name)
    other = next(n for n in world.names if n != leader)
    for n in range(1, 5):
        world.cancel(f"req-{n:06d}", other)
    watch_cancelled(world, 1.5 * world.cancel_s)
    return world


def test_a_leader_whose_watch_is_stuck_while_its_key_is_renewed_gives_up_in_time():
    world = stuck_leader_day()
    assert running(world) == 0 and not world.broken


def test_without_the_bound_on_the_view_that_day_breaks_a_rule(monkeypatch):
    monkeypatch.setattr(Authority, "fresh_until", lambda self: float("inf"))
    monkeypatch.setattr(Node, "_behind", lambda self: False)
    with pytest.raises(AssertionError):
        world = stuck_leader_day()
        assert not world.broken


def test_a_leader_whose_watch_is_stuck_hands_over_to_one_that_sees_more():
    world = started_world()
    leader, starts = world.leader(), world.starts
    world.stuck.add(leader)
    world.run_until(lambda: world.leader() not in (None, leader), 12)
    world.run(15.0)
    assert running(world) == 8 and world.starts == starts and not world.broken


def test_a_view_is_fresh_only_once_its_list_is_whole():
    world = World()
    world.run_until(world.leader)
    view = world.nodes["n0"].view
    world.stuck.add("n0")
    world.run(5.0)
    before = view.fresh_at
    view.listed = False
    world.run(5.0)
    assert view.fresh_at == before and not view.listed
    world.stuck.clear()
    world.run(5.0)
    assert view.fresh_at > before + 5.0


def test_a_cancellation_is_heard_of_before_the_view_shows_it():
    world = started_world()
    world.run_until(lambda: all(n.members.all_proven() for n in world.nodes.values()), 10)
    leader = world.leader()
    world.stuck.add(leader)
    world.run(1.0)
    waiting = world.submit(job(9, tasks=9, cpus=7.5, run_s=100.0), "n2")
    others = [n for n in world.names if n != leader]
    asked = [world.cancel(f"req-{n:06d}", others[n % 2]) for n in (1, 2, 3, 4, 9)]
    world.run(1.2)
    assert waiting.status == 201 and [a.status for a in asked] == [200] * 5
    assert world.leader() == leader and running(world) == 0
    starts = world.starts
    world.run(30.0)
    assert world.starts == starts and not world.broken


def test_only_members_proven_to_know_it_are_told_of_a_cancellation():
    world = started_world()
    world.run_until(lambda: all(n.members.all_proven() for n in world.nodes.values()), 10)
    told = []
    leader = world.leader()
    one, other = [n for n in world.names if n != leader]
    deliver = world.frame
    world.frame = lambda s, m, f: (
        told.append((s, m)) if isinstance(f, CalledOff) else deliver(s, m, f)
    )
    world.nodes[one].members.known.discard(leader)
    world.cancel("req-000001", one)
    world.run(2.0)
    assert told == [(one, other)] and running(world) == 6

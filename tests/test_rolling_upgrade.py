"""Two versions side by side in a rolling upgrade.

The earlier versions come from the repository's history (`tests/earlier_versions.py`).
"""

import itertools
import random

import pytest

from tests import earlier_versions
from tests.request_bodies import gang, job
from tests.simulation import Simulation
from tests.storage_harness import ANNOUNCED_LIMITS

OLD = {"0.2.0": earlier_versions.VERSION_0_2_0, "0.3.0": None}
both = pytest.mark.parametrize("old", sorted(OLD))


def rolled(order, seed, old, next_limits=ANNOUNCED_LIMITS, partitioned=False):
    """A simulation in which every member runs an earlier version, and jobs run."""
    old = earlier_versions.load(OLD[old])
    simulation = Simulation(
        seed, next_limits=next_limits, partitioned=partitioned, versions=dict.fromkeys(order, old)
    )
    simulation.run_until(simulation.leader)
    for n in range(1, 5):
        simulation.submit(job(n, team="red" if n % 2 else "blue", tasks=3, run_s=30.0))
    simulation.run(12.0)
    return simulation


def turn(simulation, name, back_after=1.5):
    """A member's process is killed and comes back new."""
    simulation.versions.pop(name)
    simulation.crash(name, back_after)


def settle(simulation, numbers, seconds=150.0):
    """All jobs end, none is forgotten, no rule is broken, and the pages alone are the truth."""
    ids = [f"req-{n:06d}" for n in numbers]
    simulation.run_until(lambda: all(f"d/job/{i}" in simulation.kvstore.data for i in ids), seconds)
    simulation.run_until(lambda: "c/fleet" not in simulation.kvstore.data, 30.0)
    simulation.run(3.0)
    for i in ids:
        poll = simulation.poll(i)
        simulation.run(1.0)
        assert poll.status == 200 and poll.body["status"] == "done"
    assert any(k.startswith("c/fleet/") for k in simulation.kvstore.data)
    assert not simulation.violations
    simulation.check_derived_state()


@both
@pytest.mark.parametrize("order", list(itertools.permutations(["n0", "n1", "n2"])), ids="-".join)
def test_a_roll_in_each_order_while_jobs_run_and_limits_that_drop_after_the_last_turn(order, old):
    simulation = rolled(order, seed=sum(map(ord, order[0])) + 7 * int(order[1][1]), old=old)
    for number, name in enumerate(order, 5):
        simulation.submit(job(number, tasks=3, run_s=20.0))
        turn(simulation, name)
        simulation.run(5.0)
        paged = any(k.startswith("c/fleet/") for k in simulation.kvstore.data)
        if old == "0.3.0":
            # Moved long ago, and never back.
            assert paged and "c/fleet" not in simulation.kvstore.data
        elif len(simulation.versions):
            # Not proven by all: the one record counts, as the older version wrote it.
            assert not paged and "c/fleet" in simulation.kvstore.data
    simulation.kvstore.set_limits(**ANNOUNCED_LIMITS)
    settle(simulation, range(1, 8))
    assert simulation.kvstore.too_large <= 3


def owners(simulation):
    """Who owns each shard at this moment."""
    return {
        earlier_versions.shard_of(scheduler): name
        for name, node in simulation.nodes.items()
        for scheduler in node.schedulers
        if node.grant_client.has_authority(simulation.now)
    }


@both
def test_processes_that_die_before_and_after_their_turn_and_leaders_of_both_versions(old):
    simulation = rolled(["n0", "n1", "n2"], seed=3, old=old, partitioned=True)
    led, owned, rng = set(), set(), random.Random(5)
    for number, name in enumerate(["n1", "n2", "n0"], 5):
        # Before its turn it comes back old; after it, new, whoever leads meanwhile.
        simulation.crash(name, 1.0)
        simulation.run(4.0)
        owned |= {(p, n in simulation.versions) for p, n in owners(simulation).items()}
        turn(simulation, name, 3.0)
        simulation.submit(job(number, team="blue", tasks=3, run_s=20.0))
        simulation.run(4.0)
        for _ in range(2):
            leader = simulation.leader()
            if leader:
                led.add((leader, leader in simulation.versions))
                simulation.crash(leader, rng.uniform(0.5, 3.0))
            simulation.run(5.0)
            owned |= {(p, n in simulation.versions) for p, n in owners(simulation).items()}
            simulation.check_owners()
        simulation.cut("n0", "n1")
        simulation.run(2.0)
        simulation.heal()
    simulation.kvstore.set_limits(**ANNOUNCED_LIMITS)
    assert {former for _, former in led} == {True, False}
    for shard in (0, 1):
        assert {former for p, former in owned if p == shard} == {True, False}
    settle(simulation, range(1, 8))


def test_proof_is_a_key_of_each_member_and_anything_less_means_old():
    simulation = rolled(["n0", "n1", "n2"], seed=4, old="0.2.0")
    for name in ("n0", "n1", "n2"):
        simulation.versions.pop(name)
    # Two are new, the third's key is doubtful: whoever leads keeps to the old form.
    simulation.kvstore.data["v/n2"] = ({"format": 0, "version": "?"}, 1, None)
    simulation.crash("n0", 1.0)
    simulation.crash("n1", 1.0)
    simulation.run(8.0)
    assert {"v/n0", "v/n1"} <= set(simulation.kvstore.data)
    leader = simulation.leader()
    if leader != "n2":
        node = simulation.nodes[leader]
        assert node.is_upgraded(leader) and not node.is_upgraded("n2")
    assert "c/fleet" in simulation.kvstore.data
    simulation.crash("n2", 1.0)
    settle(simulation, range(1, 5))
    assert simulation.nodes[simulation.leader()].is_upgraded("n2")


@pytest.mark.parametrize("step", range(4))
@pytest.mark.parametrize("applied", [True, False], ids=["applied", "refused"])
def test_limits_drop_in_mid_move_and_the_leader_dies_there(step, applied):
    # From 0.2.0 only: 0.3.0 has moved before.
    simulation = rolled(["n0", "n1", "n2"], seed=10 + step, old="0.2.0")
    seen, handle = [], simulation.kvstore.transaction

    def transaction(txn, reply):
        pages = [
            w
            for w in txn["writes"]
            if w.get("put", w.get("remove", "")).startswith("c/fleet/")
            or w.get("remove") == "c/fleet"
        ]
        if pages and "c/fleet" in simulation.kvstore.data:
            seen.append(pages)
            if len(seen) == 1:
                simulation.kvstore.set_limits(**ANNOUNCED_LIMITS)
            if len(seen) == step + 1:
                leader = simulation.leader()
                if applied:
                    handle(txn, lambda status, body: None)
                simulation.after(0.0, lambda: simulation.crash(leader, 2.0))
                return
        handle(txn, reply)

    simulation.kvstore.transaction = transaction
    for name in ("n2", "n0", "n1"):
        turn(simulation, name)
        simulation.run(4.0)
    settle(simulation, range(1, 5))
    assert seen


@both
@pytest.mark.parametrize("coming", [ANNOUNCED_LIMITS, None], ids=["announced", "unannounced"])
def test_limits_drop_in_mid_roll(coming, old):
    # Guards both versions' writers: what one learns of the limits, the other must learn by itself.
    simulation = rolled(["n0", "n1", "n2"], seed=31, old=old, next_limits=coming)
    for number, name in enumerate(["n2", "n0", "n1"], 5):
        turn(simulation, name)
        simulation.submit(job(number, team="blue", tasks=3, run_s=15.0))
        simulation.run(4.0)
        if number == 5:
            simulation.kvstore.set_limits(**ANNOUNCED_LIMITS)
        leader = simulation.leader()
        if leader:
            # Whoever leads next meets the limits afresh.
            simulation.crash(leader, 1.0)
        simulation.run(4.0)
    settle(simulation, range(1, 8))


@both
def test_a_cut_and_an_outage_while_both_versions_serve(old):
    simulation = rolled(["n0", "n1", "n2"], seed=32, old=old, partitioned=True)
    turn(simulation, "n0")
    simulation.run(5.0)
    # New and old apart; then, with one of each left to promise, the state service is out.
    simulation.cut("n0", "n1")
    simulation.cut("n0", "n2")
    simulation.run(4.0)
    simulation.heal()
    turn(simulation, "n2")
    simulation.run(6.0)
    starts = simulation.starts
    simulation.outage(15.0)
    simulation.check_owners()
    assert simulation.starts >= starts
    simulation.submit(job(5, team="blue", tasks=3, run_s=15.0))
    simulation.run(4.0)
    turn(simulation, "n1")
    settle(simulation, range(1, 6))


def test_going_back_to_0_3_0_member_by_member_and_onwards_again():
    # Guards what docs/operations.md promises: nothing that this version stores harms 0.3.0.
    order = ["n1", "n0", "n2"]
    simulation = rolled(order, seed=33, old="0.3.0", partitioned=True)
    for name in order:
        turn(simulation, name)
        simulation.run(4.0)
    for number, name in enumerate(order, 5):
        simulation.submit(job(number, team="blue", tasks=3, run_s=20.0))
        simulation.versions[name] = earlier_versions.load()
        simulation.crash(name, 1.5)
        simulation.run(4.0)
    assert all(simulation.running_versions.values())
    simulation.run(10.0)
    assert (
        any(k.startswith("d/job/") for k in simulation.kvstore.data) and not simulation.violations
    )
    for name in order:
        turn(simulation, name)
        simulation.run(4.0)
    settle(simulation, range(1, 8))


def test_no_older_member_is_sent_what_it_does_not_know():
    # Guards the proof before new frames: 0.2.0 raises on them here, and closes its link there.
    simulation = rolled(["n0", "n1", "n2"], seed=34, old="0.2.0", partitioned=True)
    turn(simulation, "n1")
    simulation.run(5.0)
    simulation.submit(job(5, tasks=8, cpus=8.0, same_place=True))
    simulation.submit(job(6, team="blue", tasks=6, cpus=8.0, run_s=60.0, same_place=True))
    simulation.run(4.0)
    cancelled = simulation.cancel("req-000006", "n1")
    simulation.run(8.0)
    assert cancelled.status == 200
    for name in ("n0", "n2"):
        turn(simulation, name)
        simulation.run(4.0)
    settle(simulation, range(1, 6))
    simulation.check_cancelled()
    assert simulation.acknowledged["req-000006"] == "withdrawn" and not simulation.violations


# -- gangs -----------------------------------------------------------------------------


def count(simulation, *states):
    """How many tasks are in one of these states on the machines."""
    return sum(
        mark["state"] in states for w in simulation.cloud.workers() for mark in w.tasks.values()
    )


def forbid_used_attempts(simulation):
    """A task of an attempt that has begun breaks the rules if it starts again."""
    make = simulation.gang

    def gang_of(job_id, attempt):
        found = make(job_id, attempt)
        if found.started:
            simulation.violations.append(f"attempt_again: {job_id} {attempt}")
        return found

    simulation.gang = gang_of


def owned_by_version(new):
    """0.3.0 and this version: one member of one of them owns a shard, and the rest is the other.

    Returns the simulation, the shard and its owner.
    """
    old = earlier_versions.load()
    simulation = Simulation(41, partitioned=True, versions=dict.fromkeys(["n0", "n1", "n2"], old))
    forbid_used_attempts(simulation)
    simulation.run_until(lambda: len(owners(simulation)) == 2)
    owner = "n1" if new else owners(simulation)[0]
    for name in simulation.node_names:
        if (name == owner) == new:
            turn(simulation, name)
    simulation.run(5.0)
    for _ in range(6):
        shard = next((p for p, n in owners(simulation).items() if n == owner), None)
        if shard is not None:
            break
        for name in set(owners(simulation).values()):
            simulation.crash(name, 3.0)
        simulation.run(8.0)
    assert (owner not in simulation.versions) == new
    assert all((n in simulation.versions) == new for n in simulation.node_names if n != owner)
    return simulation, shard, owner


@pytest.mark.parametrize("new", [False, True], ids=["to-new", "to-old"])
@pytest.mark.parametrize("state", ["gathering", "running", "flushing", "cancelled"])
def test_a_gang_whose_owner_changes_version(state, new):
    # Guards what one version concludes from the other's attempts: the gang must finish whole, under
    # an attempt that nobody has begun before, and a cancelled one must go whole.
    simulation, shard, owner = owned_by_version(new)
    team = next(t for t, p in simulation.nodes[owner].shard_by_team.items() if p == shard)
    simulation.submit(gang(1, team=team, cpus=12.0, run_s=30.0, flush_s=3.0))
    if state == "gathering":
        simulation.image_pull_s["req-000001/1"] = 10.0
    wanted = "gathering" if state == "gathering" else "running"
    simulation.run_until(lambda: count(simulation, wanted) >= (3 if wanted == "gathering" else 4))
    assert owners(simulation)[shard] == owner
    starts = simulation.starts
    if state == "flushing":
        simulation.run(7.0)
        victim = next(w for w in simulation.cloud.workers() if w.tasks_in_state("running"))
        victim.reclaim_notice_s = 10.0
        simulation.after(10.0, lambda: simulation.cloud.reclaim(victim.name))
        simulation.run_until(lambda: count(simulation, "flushing"), 10)
    if state == "cancelled":
        # Some tasks are told to stop, the others not yet.
        for worker in [w for w in simulation.cloud.workers() if w.tasks][:2]:
            worker.hang(6.0)
        user = simulation.cancel("req-000001", next(n for n in simulation.node_names if n != owner))
        simulation.run_until(lambda: user.status == 200, 5)
        simulation.run_until(lambda: count(simulation, "running") < 4, 5)
        assert count(simulation, "running")
    if new:
        simulation.crash(owner, 8.0)
    else:
        turn(simulation, owner, 8.0)
    simulation.run_until(lambda: owners(simulation).get(shard, owner) != owner, 10)
    assert (owners(simulation)[shard] in simulation.versions) == new
    simulation.run(10.0)
    for name in list(simulation.versions):
        turn(simulation, name)
        simulation.run(4.0)
    if state == "cancelled":
        simulation.run_until(lambda: not simulation.gangs or not count(simulation, wanted), 30)
        simulation.check_cancelled()
        assert len(simulation.gangs) == 1 and simulation.acknowledged["req-000001"] == "withdrawn"
    else:
        settle(simulation, [1])
    if state == "running":
        assert simulation.starts == starts and len(simulation.gangs) == 1
    assert not simulation.violations
    simulation.check_derived_state()

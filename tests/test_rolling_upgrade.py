"""Rolling upgrades, in which members of two versions run side by side.

The earlier versions are taken from the repository's history (`tests/earlier_versions.py`).
"""

import itertools
import random

import pytest

from tests import earlier_versions
from tests.request_bodies import gang, job
from tests.simulation import Simulation
from tests.storage_harness import ANNOUNCED_LIMITS

# The commits of the earlier versions; None stands for the version in production.
EARLIER_VERSIONS = {"0.2.0": earlier_versions.VERSION_0_2_0, "0.3.0": None}
each_earlier_version = pytest.mark.parametrize("old_version", sorted(EARLIER_VERSIONS))


def simulation_before_upgrade(
    order, seed, old_version, next_limits=ANNOUNCED_LIMITS, partitioned=False
):
    """A simulation in which every member runs an earlier version, and jobs run."""
    old_version = earlier_versions.load(EARLIER_VERSIONS[old_version])
    simulation = Simulation(
        seed,
        next_limits=next_limits,
        partitioned=partitioned,
        versions=dict.fromkeys(order, old_version),
    )
    simulation.run_until(simulation.leader)
    for n in range(1, 5):
        simulation.submit(job(n, team="red" if n % 2 else "blue", tasks=3, run_s=30.0))
    simulation.run(12.0)
    return simulation


def upgrade_member(simulation, name, back_after=1.5):
    """Kill a member's process; after `back_after` seconds it starts with the new version."""
    simulation.versions.pop(name)
    simulation.crash(name, back_after)


def finish_and_check(simulation, numbers, seconds=150.0):
    """Run until the jobs have completed and the inventory is migrated, and check the result.

    Each job is still known as done, the inventory exists only as pages, and no invariant was
    violated.
    """
    job_ids = [f"req-{n:06d}" for n in numbers]
    simulation.run_until(
        lambda: all(f"d/job/{job_id}" in simulation.kvstore.data for job_id in job_ids), seconds
    )
    simulation.run_until(lambda: "c/fleet" not in simulation.kvstore.data, 30.0)
    simulation.run(3.0)
    for job_id in job_ids:
        poll = simulation.poll(job_id)
        simulation.run(1.0)
        assert poll.status == 200 and poll.body["status"] == "done"
    assert any(k.startswith("c/fleet/") for k in simulation.kvstore.data)
    assert not simulation.violations
    simulation.check_derived_state()


@each_earlier_version
@pytest.mark.parametrize("order", list(itertools.permutations(["n0", "n1", "n2"])), ids="-".join)
def test_upgrade_in_each_order_while_jobs_run_and_limits_drop_after_the_last_member(
    order, old_version
):
    simulation = simulation_before_upgrade(
        order, seed=sum(map(ord, order[0])) + 7 * int(order[1][1]), old_version=old_version
    )
    for number, name in enumerate(order, 5):
        simulation.submit(job(number, tasks=3, run_s=20.0))
        upgrade_member(simulation, name)
        simulation.run(5.0)
        paged = any(k.startswith("c/fleet/") for k in simulation.kvstore.data)
        if old_version == "0.3.0":
            # 0.3.0 has already migrated the inventory to pages, and nothing migrates it back.
            assert paged and "c/fleet" not in simulation.kvstore.data
        elif len(simulation.versions):
            # Not every member has proven that it reads pages: the single record counts, in the
            # form that the older version writes.
            assert not paged and "c/fleet" in simulation.kvstore.data
    simulation.kvstore.set_limits(**ANNOUNCED_LIMITS)
    finish_and_check(simulation, range(1, 8))
    assert simulation.kvstore.too_large <= 3


def owners(simulation):
    """The member that currently has authority over each shard, by shard."""
    return {
        earlier_versions.shard_of(scheduler): name
        for name, node in simulation.nodes.items()
        for scheduler in node.schedulers
        if node.grant_client.has_authority(simulation.now)
    }


@each_earlier_version
def test_upgrade_while_members_and_leaders_of_both_versions_crash(old_version):
    simulation = simulation_before_upgrade(
        ["n0", "n1", "n2"], seed=3, old_version=old_version, partitioned=True
    )
    # Pairs of a leader or of an owned shard, and whether the member ran the earlier version.
    led, owned, rng = set(), set(), random.Random(5)
    for number, name in enumerate(["n1", "n2", "n0"], 5):
        # The member crashes once before its upgrade and restarts with the earlier version. Then it
        # is upgraded, whichever version the leader runs.
        simulation.crash(name, 1.0)
        simulation.run(4.0)
        owned |= {
            (shard, owner in simulation.versions) for shard, owner in owners(simulation).items()
        }
        upgrade_member(simulation, name, 3.0)
        simulation.submit(job(number, team="blue", tasks=3, run_s=20.0))
        simulation.run(4.0)
        for _ in range(2):
            leader = simulation.leader()
            if leader:
                led.add((leader, leader in simulation.versions))
                simulation.crash(leader, rng.uniform(0.5, 3.0))
            simulation.run(5.0)
            owned |= {
                (shard, owner in simulation.versions) for shard, owner in owners(simulation).items()
            }
            simulation.check_owners()
        simulation.cut("n0", "n1")
        simulation.run(2.0)
        simulation.heal()
    simulation.kvstore.set_limits(**ANNOUNCED_LIMITS)
    assert {is_old for _, is_old in led} == {True, False}
    for shard in (0, 1):
        assert {is_old for owned_shard, is_old in owned if owned_shard == shard} == {True, False}
    finish_and_check(simulation, range(1, 8))


def test_inventory_is_migrated_only_after_every_member_has_stored_its_version():
    simulation = simulation_before_upgrade(["n0", "n1", "n2"], seed=4, old_version="0.2.0")
    for name in ("n0", "n1", "n2"):
        simulation.versions.pop(name)
    # Two members run the new version, and the third's key does not prove any: every leader keeps
    # the single record.
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
    finish_and_check(simulation, range(1, 5))
    assert simulation.nodes[simulation.leader()].is_upgraded("n2")


@pytest.mark.parametrize("step", range(4))
@pytest.mark.parametrize("applied", [True, False], ids=["applied", "refused"])
def test_inventory_is_migrated_when_limits_drop_and_the_leader_crashes_in_between(step, applied):
    # Upgrades from 0.2.0 only, since 0.3.0 has already migrated the inventory. The limits drop at
    # the first transaction of the migration, and the leader crashes at number `step`, counted from
    # 0, of which it gets no answer. `applied`: the store still executes that one.
    simulation = simulation_before_upgrade(["n0", "n1", "n2"], seed=10 + step, old_version="0.2.0")
    migration_transactions, handle = [], simulation.kvstore.transaction

    def transaction(txn, reply):
        migration_writes = [
            w
            for w in txn["writes"]
            if w.get("put", w.get("remove", "")).startswith("c/fleet/")
            or w.get("remove") == "c/fleet"
        ]
        if migration_writes and "c/fleet" in simulation.kvstore.data:
            migration_transactions.append(migration_writes)
            if len(migration_transactions) == 1:
                simulation.kvstore.set_limits(**ANNOUNCED_LIMITS)
            if len(migration_transactions) == step + 1:
                leader = simulation.leader()
                if applied:
                    handle(txn, lambda status, body: None)
                simulation.after(0.0, lambda: simulation.crash(leader, 2.0))
                return
        handle(txn, reply)

    simulation.kvstore.transaction = transaction
    for name in ("n2", "n0", "n1"):
        upgrade_member(simulation, name)
        simulation.run(4.0)
    finish_and_check(simulation, range(1, 5))
    assert migration_transactions


@each_earlier_version
@pytest.mark.parametrize("next_limits", [ANNOUNCED_LIMITS, None], ids=["announced", "unannounced"])
def test_limits_drop_during_an_upgrade(next_limits, old_version):
    # Guards the writers of both versions: a leader of one version has to learn of lower limits on
    # its own, even if a leader of the other version has learned of them before.
    simulation = simulation_before_upgrade(
        ["n0", "n1", "n2"], seed=31, old_version=old_version, next_limits=next_limits
    )
    for number, name in enumerate(["n2", "n0", "n1"], 5):
        upgrade_member(simulation, name)
        simulation.submit(job(number, team="blue", tasks=3, run_s=15.0))
        simulation.run(4.0)
        if number == 5:
            simulation.kvstore.set_limits(**ANNOUNCED_LIMITS)
        leader = simulation.leader()
        if leader:
            # The next leader does not know the lower limits yet.
            simulation.crash(leader, 1.0)
        simulation.run(4.0)
    finish_and_check(simulation, range(1, 8))


@each_earlier_version
def test_partition_and_outage_of_the_state_service_while_both_versions_run(old_version):
    simulation = simulation_before_upgrade(
        ["n0", "n1", "n2"], seed=32, old_version=old_version, partitioned=True
    )
    upgrade_member(simulation, "n0")
    simulation.run(5.0)
    # First a partition between the new member and the old ones. Later an outage of the state
    # service, during which the leader needs votes across versions to extend its authority.
    simulation.cut("n0", "n1")
    simulation.cut("n0", "n2")
    simulation.run(4.0)
    simulation.heal()
    upgrade_member(simulation, "n2")
    simulation.run(6.0)
    starts = simulation.starts
    simulation.outage(15.0)
    simulation.check_owners()
    assert simulation.starts >= starts
    simulation.submit(job(5, team="blue", tasks=3, run_s=15.0))
    simulation.run(4.0)
    upgrade_member(simulation, "n1")
    finish_and_check(simulation, range(1, 6))


def test_downgrade_to_0_3_0_member_by_member_and_upgrade_again():
    # Guards the guarantee in docs/operations.md that 0.3.0 can run with all data that this version
    # stores.
    order = ["n1", "n0", "n2"]
    simulation = simulation_before_upgrade(order, seed=33, old_version="0.3.0", partitioned=True)
    for name in order:
        upgrade_member(simulation, name)
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
        upgrade_member(simulation, name)
        simulation.run(4.0)
    finish_and_check(simulation, range(1, 8))


def test_older_members_are_sent_no_frames_that_they_do_not_know():
    # Guards that new kinds of frames are sent only to members that have proven to know them. 0.2.0
    # raises an exception on them in the simulation, and closes the connection in production.
    simulation = simulation_before_upgrade(
        ["n0", "n1", "n2"], seed=34, old_version="0.2.0", partitioned=True
    )
    upgrade_member(simulation, "n1")
    simulation.run(5.0)
    simulation.submit(job(5, tasks=8, cpus=8.0, same_place=True))
    simulation.submit(job(6, team="blue", tasks=6, cpus=8.0, run_s=60.0, same_place=True))
    simulation.run(4.0)
    cancelled = simulation.cancel_until_confirmed("req-000006", "n1")
    simulation.run(8.0)
    assert cancelled.status == 200
    for name in ("n0", "n2"):
        upgrade_member(simulation, name)
        simulation.run(4.0)
    finish_and_check(simulation, range(1, 6))
    simulation.check_cancelled()
    assert simulation.acknowledged["req-000006"] == "withdrawn" and not simulation.violations


# -- gangs -----------------------------------------------------------------------------


def count_tasks(simulation, *states):
    """How many tasks are in one of these states on the machines."""
    return sum(
        task["state"] in states for w in simulation.cloud.workers() for task in w.tasks.values()
    )


def detect_restarted_attempts(simulation):
    """Record a violation when a task of a gang attempt that has already started starts again."""
    original_gang = simulation.gang

    def checked_gang(job_id, attempt):
        gang_attempt = original_gang(job_id, attempt)
        if gang_attempt.started:
            simulation.violations.append(f"attempt_again: {job_id} {attempt}")
        return gang_attempt

    simulation.gang = checked_gang


def mixed_version_simulation(owner_is_new):
    """Run one member with this version and two with 0.3.0, or the reverse.

    Returns the simulation, a shard and its owner, which is the only member of its version.
    """
    old_version = earlier_versions.load()
    simulation = Simulation(
        41, partitioned=True, versions=dict.fromkeys(["n0", "n1", "n2"], old_version)
    )
    detect_restarted_attempts(simulation)
    simulation.run_until(lambda: len(owners(simulation)) == 2)
    owner = "n1" if owner_is_new else owners(simulation)[0]
    for name in simulation.node_names:
        if (name == owner) == owner_is_new:
            upgrade_member(simulation, name)
    simulation.run(5.0)
    for _ in range(6):
        shard = next(
            (owned for owned, member in owners(simulation).items() if member == owner), None
        )
        if shard is not None:
            break
        for name in set(owners(simulation).values()):
            simulation.crash(name, 3.0)
        simulation.run(8.0)
    assert (owner not in simulation.versions) == owner_is_new
    assert all(
        (n in simulation.versions) == owner_is_new for n in simulation.node_names if n != owner
    )
    return simulation, shard, owner


@pytest.mark.parametrize("owner_is_new", [False, True], ids=["to-new", "to-old"])
@pytest.mark.parametrize("state", ["gathering", "running", "flushing", "cancelled"])
def test_gang_completes_or_ends_as_a_whole_when_its_owner_changes_version(state, owner_is_new):
    # Guards the conclusions that one version draws from gang attempts of the other. All tasks of
    # the gang must complete, under an attempt that has not been started before, and all tasks of a
    # cancelled gang must end.
    simulation, shard, owner = mixed_version_simulation(owner_is_new)
    team = next(
        name
        for name, team_shard in simulation.nodes[owner].shard_by_team.items()
        if team_shard == shard
    )
    simulation.submit(gang(1, team=team, cpus=12.0, run_s=30.0, flush_s=3.0))
    if state == "gathering":
        simulation.image_pull_s["req-000001/1"] = 10.0
    initial_state = "gathering" if state == "gathering" else "running"
    simulation.run_until(
        lambda: count_tasks(simulation, initial_state) >= (3 if initial_state == "gathering" else 4)
    )
    assert owners(simulation)[shard] == owner
    starts = simulation.starts
    if state == "flushing":
        simulation.run(7.0)
        reclaimed = next(w for w in simulation.cloud.workers() if w.tasks_in_state("running"))
        reclaimed.reclaim_notice_s = 10.0
        simulation.after(10.0, lambda: simulation.cloud.reclaim(reclaimed.name))
        simulation.run_until(lambda: count_tasks(simulation, "flushing"), 10)
    if state == "cancelled":
        # Stop commands reach some of the tasks, and the others not yet.
        for worker in [w for w in simulation.cloud.workers() if w.tasks][:2]:
            worker.hang(6.0)
        canceller = next(n for n in simulation.node_names if n != owner)
        user = simulation.cancel_until_confirmed("req-000001", canceller)
        simulation.run_until(lambda: user.status == 200, 5)
        simulation.run_until(lambda: count_tasks(simulation, "running") < 4, 5)
        assert count_tasks(simulation, "running")
    if owner_is_new:
        simulation.crash(owner, 8.0)
    else:
        upgrade_member(simulation, owner, 8.0)
    simulation.run_until(lambda: owners(simulation).get(shard, owner) != owner, 10)
    assert (owners(simulation)[shard] in simulation.versions) == owner_is_new
    simulation.run(10.0)
    for name in list(simulation.versions):
        upgrade_member(simulation, name)
        simulation.run(4.0)
    if state == "cancelled":
        simulation.run_until(
            lambda: not simulation.gangs or not count_tasks(simulation, initial_state), 30
        )
        simulation.check_cancelled()
        assert len(simulation.gangs) == 1 and simulation.acknowledged["req-000001"] == "withdrawn"
    else:
        finish_and_check(simulation, [1])
    if state == "running":
        assert simulation.starts == starts and len(simulation.gangs) == 1
    assert not simulation.violations
    simulation.check_derived_state()

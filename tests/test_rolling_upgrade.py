"""Two versions side by side in a rolling upgrade.

The earlier versions come from the repository's history (`tests/production.py`).
"""

import itertools
import random

import pytest

from tests import production
from tests.simulation import Simulation, job
from tests.state_service import COMING


def rolled(order, seed, coming=COMING, parted=False):
    """A simulation in which every member runs the version in production, and jobs run."""
    old = production.load(production.VERSION_0_2_0)
    simulation = Simulation(seed, coming=coming, parted=parted, versions=dict.fromkeys(order, old))
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
    simulation.run_until(lambda: all(f"d/job/{i}" in simulation.state.data for i in ids), seconds)
    simulation.run_until(lambda: "c/fleet" not in simulation.state.data, 30.0)
    simulation.run(3.0)
    for i in ids:
        poll = simulation.poll(i)
        simulation.run(1.0)
        assert poll.status == 200 and poll.body["status"] == "done"
    assert any(k.startswith("c/fleet/") for k in simulation.state.data)
    assert not simulation.broken
    simulation.check_sums()


@pytest.mark.parametrize("order", list(itertools.permutations(["n0", "n1", "n2"])), ids="-".join)
def test_a_roll_in_each_order_while_jobs_run_and_limits_that_drop_after_the_last_turn(order):
    simulation = rolled(order, seed=sum(map(ord, order[0])) + 7 * int(order[1][1]))
    for number, name in enumerate(order, 5):
        simulation.submit(job(number, tasks=3, run_s=20.0))
        turn(simulation, name)
        simulation.run(5.0)
        if len(simulation.versions):
            # Not proven by all: the one record counts, as the older version wrote it.
            assert "c/fleet" in simulation.state.data
            assert not any(k.startswith("c/fleet/") for k in simulation.state.data)
    simulation.state.drop(**COMING)
    settle(simulation, range(1, 8))
    assert simulation.state.too_large <= 3


def test_processes_that_die_before_and_after_their_turn_and_leaders_of_both_versions():
    simulation = rolled(["n0", "n1", "n2"], seed=3, parted=True)
    led, rng = set(), random.Random(5)
    for number, name in enumerate(["n1", "n2", "n0"], 5):
        # Before its turn it comes back old; after it, new, whoever leads meanwhile.
        simulation.crash(name, 1.0)
        simulation.run(4.0)
        turn(simulation, name, 3.0)
        simulation.submit(job(number, team="blue", tasks=3, run_s=20.0))
        simulation.run(4.0)
        for _ in range(2):
            leader = simulation.leader()
            if leader:
                led.add((leader, leader in simulation.versions))
                simulation.crash(leader, rng.uniform(0.5, 3.0))
            simulation.run(5.0)
        simulation.cut("n0", "n1")
        simulation.run(2.0)
        simulation.heal()
    simulation.state.drop(**COMING)
    assert {old for _, old in led} == {True, False}
    settle(simulation, range(1, 8))


def test_proof_is_a_key_of_each_member_and_anything_less_means_old():
    simulation = rolled(["n0", "n1", "n2"], seed=4)
    for name in ("n0", "n1", "n2"):
        simulation.versions.pop(name)
    # Two are new, the third's key is doubtful: whoever leads keeps to the old form.
    simulation.state.data["v/n2"] = ({"format": 0, "version": "?"}, 1, None)
    simulation.crash("n0", 1.0)
    simulation.crash("n1", 1.0)
    simulation.run(8.0)
    assert {"v/n0", "v/n1"} <= set(simulation.state.data)
    leader = simulation.leader()
    if leader != "n2":
        node = simulation.nodes[leader]
        assert node.proven(leader) and not node.proven("n2")
    assert "c/fleet" in simulation.state.data
    simulation.crash("n2", 1.0)
    settle(simulation, range(1, 5))
    assert simulation.nodes[simulation.leader()].proven("n2")


@pytest.mark.parametrize("step", range(4))
@pytest.mark.parametrize("applied", [True, False], ids=["applied", "refused"])
def test_limits_drop_in_mid_move_and_the_leader_dies_there(step, applied):
    simulation = rolled(["n0", "n1", "n2"], seed=10 + step)
    seen, handle = [], simulation.state.transaction

    def transaction(txn, reply):
        pages = [
            w
            for w in txn["writes"]
            if w.get("put", w.get("remove", "")).startswith("c/fleet/")
            or w.get("remove") == "c/fleet"
        ]
        if pages and "c/fleet" in simulation.state.data:
            seen.append(pages)
            if len(seen) == 1:
                simulation.state.drop(**COMING)
            if len(seen) == step + 1:
                leader = simulation.leader()
                if applied:
                    handle(txn, lambda status, body: None)
                simulation.after(0.0, lambda: simulation.crash(leader, 2.0))
                return
        handle(txn, reply)

    simulation.state.transaction = transaction
    for name in ("n2", "n0", "n1"):
        turn(simulation, name)
        simulation.run(4.0)
    settle(simulation, range(1, 5))
    assert seen

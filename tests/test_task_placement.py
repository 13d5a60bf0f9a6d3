"""Task order, reserved types and the ranking of machines: waits are bounded, the largest fit."""

import json
import random

import pytest

from copperpass.core.jobs.job import make_job
from copperpass.core.scheduling.bin_packing.ranking import PlacementPolicy, Ranking
from copperpass.core.scheduling.machines import Machine
from copperpass.core.scheduling.objectives import ServiceLevelObjectives
from copperpass.core.scheduling.placements import Placement
from copperpass.core.scheduling.reserved_types import ReservedTypes
from copperpass.core.scheduling.task_order import limit_past_deadline_share, task_order
from copperpass.protocol.json_codec import decode
from copperpass.protocol.records import JobRecord
from copperpass.settings import Objective
from tests.deployments import MACHINE_TYPE, machine_types
from tests.request_bodies import job

OBJECTIVES = [
    Objective("wait", "quick", within_s=4.0),
    Objective("finished", "slow", within_s=100.0),
]


def made(number, arrived, **more):
    body = json.dumps({"spec": job(number, **more)}).encode()
    return make_job(decode(body, JobRecord), number, arrived)


def start_of_the_old_job(max_wait_s):
    """One job's targets have passed; five new ones come each second and one starts."""
    slos = ServiceLevelObjectives(OBJECTIVES, max_wait_s)
    waiting = [made(1, 0.0, slot="slow", run_s=30.0, urgency="normal")]
    number = 1
    for second in range(100, 400):
        for _ in range(5):
            number += 1
            waiting.append(made(number, float(second)))
        first = task_order(waiting, slos, float(second), priority_bonus_s=5.0)[0]
        waiting.remove(first)
        if first.spec.id == "req-000001":
            return second
    return None


def test_waiting_has_a_bound():
    assert start_of_the_old_job(120.0) in range(100, 130)


def test_without_the_bound_the_old_job_starves():
    assert start_of_the_old_job(1e6) is None


def types(*shapes):
    return machine_types(
        *({**MACHINE_TYPE, "name": n, "cpus": c, "memory_gb": 4 * c} for n, c in shapes)
    )


def test_types_that_large_tasks_need_are_kept_from_small_ones_while_large_ones_are_about():
    reserved_types = ReservedTypes(types(("small", 8.0), ("large", 64.0)), retention_s=300.0)
    small, large = made(1, 0.0, cpus=4.0), made(2, 0.0, cpus=32.0)
    reserved_types.observe(0.0, [small])
    assert reserved_types.excluded_types(small.spec) == set()
    reserved_types.observe(10.0, [small, large])
    assert reserved_types.excluded_types(small.spec) == {"large"}
    assert reserved_types.excluded_types(large.spec) == set()
    reserved_types.observe(200.0, [small])
    assert reserved_types.excluded_types(small.spec) == {"large"}
    reserved_types.observe(311.0, [small])
    assert reserved_types.excluded_types(small.spec) == set()


@pytest.mark.parametrize("allowed", [["large"], ["small", "large"]])
def test_a_job_that_names_its_types_is_not_shut_out_of_all(allowed):
    reserved_types = ReservedTypes(types(("small", 8.0), ("large", 64.0)), retention_s=300.0)
    reserved_types.observe(0.0, [made(2, 0.0, cpus=32.0)])
    named = made(3, 0.0, cpus=4.0, racks=allowed)
    assert set(allowed) - reserved_types.excluded_types(named.spec)


def test_overdue_work_gets_a_part_of_the_room_and_no_more():
    # Work without targets, past its deadline, took all capacity from work whose target was far off.
    slos = ServiceLevelObjectives(OBJECTIVES, 120.0)
    old, new = made(1, 0.0, slot="none"), made(2, 190.0, slot="slow")
    queue = task_order([new, old], slos, 200.0)
    assert queue == [old, new]
    limit_past_deadline_share(queue, slos, 200.0, used_cpus=8.0, quota_cpus=16.0)
    assert queue == [old, new]
    limit_past_deadline_share(queue, slos, 200.0, used_cpus=16.0, quota_cpus=16.0)
    assert queue == [new, old]
    alone = [old]
    limit_past_deadline_share(alone, slos, 200.0, used_cpus=16.0, quota_cpus=16.0)
    assert alone == [old]


def test_a_round_takes_the_machine_that_a_look_at_all_of_them_would_take():
    # Machines are scored once a round and again where something was started: same choices, by seed.
    rng = random.Random(7)
    offer = types(("small", 8.0), ("large", 32.0))
    for _ in range(40):
        machines = {}
        for number in range(12):
            kind = offer[rng.choice(["small", "large"])]
            machine = Machine(f"m-{number}", kind, rng.choice("abc"), rng.random() < 0.5)
            machine.used_cpus = float(rng.randint(0, int(kind.cpus)))
            if rng.random() < 0.4:
                machine.images["img-1"] = 0.5
            machines[machine.name] = machine
        jobs = [
            made(
                n,
                0.0,
                cpus=rng.choice([1.0, 4.0]),
                tasks=6,
                same_place=rng.random() < 0.3,
                borrowed=rng.random() < 0.7,
            )
            for n in (1, 2)
        ]
        policy = PlacementPolicy(urgent=rng.random() < 0.5)
        candidates, log = list(machines.values()), []
        kept = [Ranking(j, candidates, machines, 0.0, policy) for j in jobs]
        for index in range(6):
            for each, ranking in zip(jobs, kept, strict=True):
                chosen = ranking.best(log)
                afresh = Ranking(each, candidates, machines, 0.0, policy)
                assert (chosen is None) == (afresh.best([]) is None)
                if chosen is None:
                    continue
                best = afresh.best([])
                assert ranking._score(chosen) == afresh._score(best)
                chosen.used_cpus += each.spec.cpus
                chosen.used_memory_gb += each.spec.memory_gb
                chosen.images[each.spec.image] = each.spec.image_gb
                each.assigned[index] = chosen.name
                log.append(chosen)


def crowded_crate(large_cpus, remaining_s):
    """A machine of the large type with one large task on it."""
    machine = Machine("m-1", types(("crate", 64.0))["crate"], "a", True)
    large = Placement(
        "req-000009", 0, 1, "m-1", "red", "slow", 0, large_cpus, 0.0, 8.0, "img-1", remaining_s
    )
    machine.tasks[large.key] = large
    machine.recount()
    return machine


@pytest.mark.parametrize(
    ("large_cpus", "estimate_s", "found"),
    [
        # 24 CPUs are left where 32 are needed for another large task.
        (40.0, 30.0, True),
        # It would run on when the large task has ended.
        (40.0, 90.0, False),
        # Another large task has room: that is what the type is kept for.
        (32.0, 30.0, False),
    ],
)
def test_short_tasks_use_what_the_large_ones_leave_on_a_reserved_type(
    large_cpus, estimate_s, found
):
    # Tasks of 32 CPUs, give or take a third, left 24 and more idle on each machine of 64 while
    # small ones waited beside it.
    machine = crowded_crate(large_cpus, remaining_s=60.0)
    large, small = made(1, 0.0, cpus=32.0), made(2, 0.0, cpus=4.0, run_s=estimate_s)
    policy = PlacementPolicy(reserved_types={"crate"}, smallest_large_tasks={"crate": large.spec})
    ranking = Ranking(small, [machine], {"m-1": machine}, 0.0, policy)
    assert (ranking.best([]) is machine) == found


def test_the_smallest_task_that_a_type_is_reserved_for_is_known():
    reserved_types = ReservedTypes(types(("box", 16.0), ("crate", 64.0)), 300.0)
    reserved_types.observe(
        0.0, [made(1, 0.0, cpus=40.0), made(2, 0.0, cpus=24.0), made(3, 0.0, cpus=4.0)]
    )
    assert {name: spec.cpus for name, spec in reserved_types.smallest_tasks.items()} == {
        "crate": 24.0
    }
    reserved_types.observe(1.0, [made(3, 0.0, cpus=4.0)])
    assert reserved_types.smallest_tasks == {}

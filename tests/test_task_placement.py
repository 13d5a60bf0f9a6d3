"""Task order, reserved types and the ranking of machines.

Waits are bounded, and large tasks find machines that are not filled with small ones.
"""

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


def new_job(number, arrived_at, **more):
    body = json.dumps({"spec": job(number, **more)}).encode()
    return make_job(decode(body, JobRecord), number, arrived_at)


def start_time_of_old_job(max_wait_s):
    """The second at which a job without a target that can still be met starts; None if never.

    Meanwhile five new jobs arrive and one job starts each second.
    """
    slos = ServiceLevelObjectives(OBJECTIVES, max_wait_s)
    waiting = [new_job(1, 0.0, slot="slow", run_s=30.0, urgency="normal")]
    number = 1
    for second in range(100, 400):
        for _ in range(5):
            number += 1
            waiting.append(new_job(number, float(second)))
        first = task_order(waiting, slos, float(second), priority_bonus_s=5.0)[0]
        waiting.remove(first)
        if first.spec.id == "req-000001":
            return second
    return None


def test_wait_of_a_job_past_its_targets_is_bounded():
    assert start_time_of_old_job(120.0) in range(100, 130)


def test_job_past_its_targets_starves_without_a_bound_on_its_wait():
    assert start_time_of_old_job(1e6) is None


def machine_types_of(*shapes):
    """Machine types with these names and CPUs."""
    return machine_types(
        *(
            {**MACHINE_TYPE, "name": name, "cpus": cpus, "memory_gb": 4 * cpus}
            for name, cpus in shapes
        )
    )


def test_type_that_large_tasks_need_is_reserved_until_retention_s_after_the_last_of_them():
    reserved_types = ReservedTypes(
        machine_types_of(("small", 8.0), ("large", 64.0)), retention_s=300.0
    )
    small, large = new_job(1, 0.0, cpus=4.0), new_job(2, 0.0, cpus=32.0)
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
def test_job_that_names_its_types_keeps_at_least_one_of_them(allowed):
    reserved_types = ReservedTypes(
        machine_types_of(("small", 8.0), ("large", 64.0)), retention_s=300.0
    )
    reserved_types.observe(0.0, [new_job(2, 0.0, cpus=32.0)])
    restricted_job = new_job(3, 0.0, cpus=4.0, racks=allowed)
    assert set(allowed) - reserved_types.excluded_types(restricted_job.spec)


def test_jobs_past_their_deadline_go_first_only_within_their_quota():
    # Jobs without targets that were past their deadline once took all capacity from jobs whose
    # targets were far in the future.
    slos = ServiceLevelObjectives(OBJECTIVES, 120.0)
    old, new = new_job(1, 0.0, slot="none"), new_job(2, 190.0, slot="slow")
    queue = task_order([new, old], slos, 200.0)
    assert queue == [old, new]
    limit_past_deadline_share(queue, slos, 200.0, used_cpus=8.0, quota_cpus=16.0)
    assert queue == [old, new]
    limit_past_deadline_share(queue, slos, 200.0, used_cpus=16.0, quota_cpus=16.0)
    assert queue == [new, old]
    alone = [old]
    limit_past_deadline_share(alone, slos, 200.0, used_cpus=16.0, quota_cpus=16.0)
    assert alone == [old]


def test_ranking_chooses_as_well_as_a_new_ranking_of_all_machines():
    # A ranking scores all machines once per round, and then only those on which a task was started.
    # Its choices must score the same as those of a ranking that is built anew for each task. The
    # machines and jobs are drawn at random, with a fixed seed.
    rng = random.Random(7)
    offer = machine_types_of(("small", 8.0), ("large", 32.0))
    for _ in range(40):
        machines = {}
        for number in range(12):
            machine_type = offer[rng.choice(["small", "large"])]
            machine = Machine(f"m-{number}", machine_type, rng.choice("abc"), rng.random() < 0.5)
            machine.used_cpus = float(rng.randint(0, int(machine_type.cpus)))
            if rng.random() < 0.4:
                machine.images["img-1"] = 0.5
            machines[machine.name] = machine
        jobs = [
            new_job(
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
        candidates, started_on = list(machines.values()), []
        rankings = [Ranking(each, candidates, machines, 0.0, policy) for each in jobs]
        for index in range(6):
            for each, ranking in zip(jobs, rankings, strict=True):
                chosen = ranking.best(started_on)
                new_ranking = Ranking(each, candidates, machines, 0.0, policy)
                assert (chosen is None) == (new_ranking.best([]) is None)
                if chosen is None:
                    continue
                best = new_ranking.best([])
                assert ranking._score(chosen) == new_ranking._score(best)
                chosen.used_cpus += each.spec.cpus
                chosen.used_memory_gb += each.spec.memory_gb
                chosen.images[each.spec.image] = each.spec.image_gb
                each.assigned[index] = chosen.name
                ranking.on_started(chosen)
                started_on.append(chosen)


def machine_with_large_task(large_cpus, remaining_s):
    """A machine of the large type (64 CPUs) with one large task on it."""
    machine = Machine("m-1", machine_types_of(("crate", 64.0))["crate"], "a", True)
    large = Placement(
        "req-000009", 0, 1, "m-1", "red", "slow", 0, large_cpus, 0.0, 8.0, "img-1", remaining_s
    )
    machine.tasks[large.key] = large
    machine.recount()
    return machine


@pytest.mark.parametrize(
    ("large_cpus", "estimate_s", "found"),
    [
        # 24 CPUs are free, and another large task would need 32.
        (40.0, 30.0, True),
        # The small task would still run after the large task has ended.
        (40.0, 90.0, False),
        # Another large task fits, and the type is reserved for large tasks.
        (32.0, 30.0, False),
    ],
)
def test_short_tasks_backfill_capacity_that_large_tasks_leave_on_a_reserved_type(
    large_cpus, estimate_s, found
):
    # Tasks of 32 CPUs, plus or minus a third, left 24 or more CPUs idle on each machine of 64 CPUs
    # while small tasks waited.
    machine = machine_with_large_task(large_cpus, remaining_s=60.0)
    large, small = new_job(1, 0.0, cpus=32.0), new_job(2, 0.0, cpus=4.0, run_s=estimate_s)
    policy = PlacementPolicy(reserved_types={"crate"}, smallest_large_tasks={"crate": large.spec})
    ranking = Ranking(small, [machine], {"m-1": machine}, 0.0, policy)
    assert (ranking.best([]) is machine) == found


def test_smallest_task_that_a_type_is_reserved_for_is_recorded():
    reserved_types = ReservedTypes(machine_types_of(("box", 16.0), ("crate", 64.0)), 300.0)
    reserved_types.observe(
        0.0, [new_job(1, 0.0, cpus=40.0), new_job(2, 0.0, cpus=24.0), new_job(3, 0.0, cpus=4.0)]
    )
    assert {name: spec.cpus for name, spec in reserved_types.smallest_tasks.items()} == {
        "crate": 24.0
    }
    reserved_types.observe(1.0, [new_job(3, 0.0, cpus=4.0)])
    assert reserved_types.smallest_tasks == {}

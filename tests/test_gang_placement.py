"""Placement of gangs: all tasks start together, in the permitted zones, and none starves."""

import functools
import json

import pytest

from tests.deployments import MACHINE_TYPE
from tests.gang_scenarios import (
    all_done,
    all_running,
    attempts,
    check_invariants,
    count_present_tasks,
    poll_body,
    saved_progress,
    simulation_with_jobs,
    task_records,
)
from tests.request_bodies import gang, job
from tests.test_gangs import submit_body


def test_gangs_that_can_never_run_are_rejected():
    simulation = simulation_with_jobs(
        gang(1, tasks=4, cpus=16.0), gang(2, team="blue", tasks=12, cpus=4.0)
    )
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
        for is_repeat in (False, True):
            if status == 201:
                simulation.specs[spec["id"]] = spec
            send_request = functools.partial(submit_body, simulation, json.dumps(spec).encode())
            submission = simulation.request(send_request, "n1" if is_repeat else "n2")
            simulation.run(1)
            assert submission.status == (200 if is_repeat and status == 201 else status), spec["id"]
    simulation.run_until(all_done(simulation, 1, 2), 200)
    check_invariants(simulation)


@pytest.mark.parametrize("partitioned", [False, True])
def test_two_gangs_competing_for_the_last_capacity_run_one_after_the_other(partitioned):
    simulation = simulation_with_jobs(
        gang(1, cpus=8.0),
        gang(2, team="blue", cpus=8.0),
        capacity={("a", True): 3},
        partitioned=partitioned,
    )
    simulation.run_until(all_done(simulation, 1, 2), 150)
    assert (
        simulation.gang_wait_s_total < 20.0
        and not simulation.gave_up_waiting
        and not simulation.lost_progress
    )
    assert len(attempts(simulation, 1) + attempts(simulation, 2)) == 2
    check_invariants(simulation)


# Guards what is reserved for a gang: part of its team's limit (blue) and machine capacity (red).
@pytest.mark.parametrize("team", ["blue", "red"])
def test_large_gang_and_stream_of_small_arrays_do_not_starve_each_other(team):
    simulation = simulation_with_jobs(job(1, team=team, run_s=5.0), capacity={("a", True): 3})
    for number in range(2, 20):
        simulation.submit(job(number, team=team, run_s=5.0))
        simulation.run(1)
    large = gang(20, team=team, tasks=12, cpus=4.0, run_s=15.0)
    simulation.submit(large)
    for number in range(21, 171):
        simulation.submit(job(number, team=team, run_s=5.0))
        simulation.run(1)
    assert all_done(simulation, 20)(), "the large gang starves"
    simulation.run_until(all_done(simulation, *range(1, 171)), 150)
    assert not simulation.gave_up_waiting
    check_invariants(simulation)


def test_array_is_not_starved_by_a_stream_of_gangs():
    simulation = simulation_with_jobs(gang(1, team="blue", tasks=6), capacity={("a", True): 3})
    for number in range(2, 60):
        simulation.submit(gang(number, team="blue", tasks=6, run_s=8.0))
        if number == 10:
            simulation.submit(job(100, team="blue", tasks=6, cpus=8.0, run_s=8.0))
        simulation.run(3)
    assert all_done(simulation, 100)(), "the array starves"
    simulation.run_until(all_done(simulation, *range(1, 60)), 700)
    assert not simulation.gave_up_waiting
    check_invariants(simulation)


def test_gang_restarts_in_another_zone_when_its_zone_loses_all_machines():
    simulation = simulation_with_jobs(gang(1, cpus=12.0, run_s=40.0))
    simulation.run_until(all_running(simulation, 1), 60)
    simulation.run(7.0)
    (zone,) = {w.zone for w, _, _ in task_records(simulation, 1)}
    for spot in (True, False):
        simulation.cloud.capacity[zone, spot] = 0
    for name in [n for n, m in simulation.cloud.machines.items() if m["place"][0] == zone]:
        simulation.cloud.reclaim(name)
    simulation.run_until(all_running(simulation, 1), 120)
    (other_zone,) = {w.zone for w, _, _ in task_records(simulation, 1)}
    assert other_zone != zone and saved_progress(simulation, 1) == 5.0
    simulation.run_until(all_done(simulation, 1), 90)
    check_invariants(simulation)


def test_spread_gang_starts_all_tasks_across_several_zones():
    simulation = simulation_with_jobs(gang(1, tasks=5, cpus=12.0, same_place=False, spread=True))
    simulation.run_until(all_running(simulation, 1), 60)
    zones = [w.zone for w, _, _ in task_records(simulation, 1)]
    assert max(zones.count(z) for z in zones) <= 3
    simulation.run_until(all_done(simulation, 1), 60)
    assert len(attempts(simulation, 1)) == 1
    check_invariants(simulation)


@pytest.mark.parametrize("one_zone", [False, True])
def test_gang_uses_several_zones_only_if_it_is_not_bound_to_one(one_zone):
    simulation = simulation_with_jobs(
        gang(1, tasks=3, cpus=14.0, same_place=one_zone), capacity={(z, True): 1 for z in "abc"}
    )
    if one_zone:
        for _ in range(60):
            simulation.run(1)
            assert not count_present_tasks(simulation, 1), "part of the gang was placed"
        assert poll_body(simulation, 1)["status"] == "queued"
        simulation.cloud.capacity["b", False] = 3
    simulation.run_until(all_running(simulation, 1), 90)
    assert len({w.zone for w, _, _ in task_records(simulation, 1)}) == (1 if one_zone else 3)
    simulation.run_until(all_done(simulation, 1), 60)
    assert not simulation.gave_up_waiting and len(attempts(simulation, 1)) == 1
    check_invariants(simulation)


# Guards the placement constraints of gangs: the machines that each requests and runs on show them.
@pytest.mark.parametrize(
    ("shape", "zones", "spot"),
    [
        ({"racks": ["box"]}, 1, True),
        ({"hall": "b"}, 1, True),
        ({"hall": "c"}, 1, True),
        ({"borrowed": False}, 1, False),
        ({"tasks": 1, "spread": True}, 1, True),
        ({"tasks": 2, "same_place": False, "spread": True}, 2, True),
        # Larger than any one zone, in which only three spot machines can be provisioned.
        ({"tasks": 4, "same_place": False}, 2, True),
    ],
)
def test_gang_runs_on_machines_that_its_placement_constraints_allow(shape, zones, spot):
    capacity = {
        (zone, is_spot): 3 for zone in "abc" for is_spot in (True, False) if is_spot or not spot
    }
    simulation = simulation_with_jobs(capacity=capacity)
    # A cheaper machine type that the gang doesn't permit.
    crate = {**MACHINE_TYPE, "name": "crate", "price": 0.5, "low_price": 0.1}
    simulation.cloud.machine_types = [MACHINE_TYPE, crate] if "racks" in shape else [MACHINE_TYPE]
    for name in simulation.node_names:
        simulation.crash(name, 0.1)
    simulation.run_until(simulation.leader, 40)
    # This job leaves idle machines in a zone that the gang may not be permitted to use.
    simulation.submit(job(2, tasks=3, cpus=16.0, hall="a", run_s=1.0))
    simulation.run_until(all_done(simulation, 2), 60)
    simulation.submit(gang(1, **{"tasks": 3, "cpus": 16.0, **shape}))
    simulation.run_until(all_running(simulation, 1), 90)
    workers = [w for w, _, _ in task_records(simulation, 1)]
    assert min(len({w.zone for w in workers}), 2) == zones and {w.spot for w in workers} == {spot}
    assert shape.get("hall") in (None, workers[0].zone)
    (owner,) = simulation.nodes[simulation.leader()].schedulers
    assert {owner.machines[w.name].type.name for w in workers} == {"box"}
    simulation.run_until(all_done(simulation, 1), 60)
    assert len(attempts(simulation, 1)) == 1
    check_invariants(simulation)


# Guards the bound on the time that a gang waits beside free capacity, with gangs of all placement
# constraints and arrays of both teams.
def test_no_gang_waits_long_while_capacity_for_it_is_free():
    simulation, waits, number = simulation_with_jobs(capacity={(z, True): 2 for z in "abc"}), {}, 0
    for second in range(240):
        if second < 150 and second % 6 == 0:
            for shape in ({}, {"same_place": False}, {"same_place": False, "spread": True}):
                number += 1
                tasks = 1 + number % 5
                simulation.submit(gang(number, tasks=tasks, **shape))
            for team in ("red", "blue"):
                number += 1
                simulation.submit(job(number, team=team, run_s=6.0))
        simulation.run(1.0)
        simulation.check_gang_starvation(waits, 40.0)
    simulation.run_until(all_done(simulation, *range(1, number + 1)), 400)
    check_invariants(simulation)

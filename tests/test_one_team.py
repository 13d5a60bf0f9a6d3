"""A deployment of one team that has neither guarantee nor limit, on two types of machines."""

import functools
import math
import random

import pytest

from copperpass import settings as settings_module
from tests.deployments import ONE_TEAM
from tests.request_bodies import job, raw_settings
from tests.simulation import Simulation


def simulate(seed=1):
    return Simulation(seed=seed, lease_s=10.0, cancel_s=30.0, deployment=ONE_TEAM)


def test_team_amount_of_zero_means_no_limit():
    # When zero was read as a limit of zero, every submission got 422 and nothing ran.
    team_without_limit = settings_module.parse(raw_settings(deployment=ONE_TEAM)).cluster.teams[0]
    assert (team_without_limit.cpus_limit, team_without_limit.gpus_limit) == (math.inf, math.inf)
    team_with_limit = settings_module.parse(raw_settings()).cluster.teams[0]
    assert team_with_limit.cpus_limit == 64.0


def test_team_without_a_limit_uses_all_machines():
    simulation = simulate()
    simulation.run_until(simulation.leader)
    accepted = [
        simulation.submit(job(1, team="solo", tasks=40, cpus=8.0, run_s=40.0)),
        simulation.submit(job(2, team="solo", tasks=12, cpus=32.0, run_s=40.0)),
    ]
    infeasible = simulation.submit(job(3, team="solo", cpus=65.0))
    infeasible_in_zone = simulation.submit(job(4, team="solo", cpus=32.0, hall="b"))
    simulation.run(2)
    assert [request.status for request in accepted] == [201, 201]
    # No offered type is large enough for job 3; zone b doesn't offer the larger type for job 4.
    assert (infeasible.status, infeasible_in_zone.status) == (422, 422)
    simulation.run_until(lambda: len(simulation.cloud.workers()) == 21, 120)
    simulation.finish()


def inject_fault(simulation, rng):
    """Inject a random fault in about one of four calls."""
    draw, names, workers = rng.random(), sorted(simulation.nodes), simulation.cloud.workers()
    if draw < 0.05 and names:
        simulation.crash(rng.choice(names), rng.choice([0.1, 0.4, 4.0]))
    elif draw < 0.06 and names:
        for name in names:
            simulation.crash(name, rng.choice([0.1, 4.0]))
    elif draw < 0.08 and names:
        simulation.isolate(rng.choice(names))
    elif draw < 0.09:
        simulation.outage(rng.uniform(2, 20))
    elif draw < 0.11:
        simulation.kvstore_delay_s = rng.choice([0.0, 0.5])
    elif draw < 0.13:
        simulation.late_writes = rng.choice([0.0, 0.2])
    elif draw < 0.15:
        simulation.late_heartbeats = rng.choice([0.0, 0.3])
    elif draw < 0.17 and workers:
        rng.choice(workers).hang(rng.uniform(1.0, 14.0))
    elif draw < 0.19 and workers:
        simulation.inbound_blocked = {rng.choice(workers).name}
    elif draw < 0.23 and workers:
        for worker in workers:
            if worker.spot and rng.random() < 0.5:
                worker.reclaim_notice_s = 5.0
                reclaim = functools.partial(simulation.cloud.reclaim, worker.name)
                simulation.after(5.0, reclaim)
    elif draw < 0.26:
        simulation.end_faults()


# CPUs per task and the class of the job.
CPUS_AND_CLASSES = [(32.0, "slow"), (40.0, "slow"), (8.0, "mixed"), (4.0, "quick"), (4.0, "quick")]


@pytest.mark.parametrize("seed", range(1, 7))
def test_invariants_hold_for_one_team_under_random_faults(seed):
    simulation, rng, number = simulate(seed), random.Random(3000 + seed), 0
    simulation.run_until(simulation.leader)
    for _ in range(200):
        simulation.run(1.0)
        simulation.leader()
        simulation.check_owners()
        simulation.check_cancelled()
        simulation.check_derived_state()
        inject_fault(simulation, rng)
        if not simulation.nodes:
            continue
        if rng.random() < 0.3:
            number += 1
            cpus, job_class = rng.choice(CPUS_AND_CLASSES)
            simulation.submit(
                job(
                    number,
                    team="solo",
                    slot=job_class,
                    tasks=rng.randint(1, 6),
                    cpus=cpus,
                    run_s=rng.uniform(4.0, 30.0),
                    urgency="high" if job_class == "quick" else "normal",
                    proof_s=0.0 if job_class == "quick" else 5.0,
                    flush_s=0.0 if job_class == "quick" else 2.0,
                    edition_s=90.0,
                    borrowed=rng.random() < 0.8,
                    hall=rng.choice(["a", "c"]) if rng.random() < 0.15 else None,
                    racks=["crate"] if cpus > 8.0 and rng.random() < 0.2 else None,
                )
            )
        if number and rng.random() < 0.05:
            simulation.cancel(f"req-{rng.randint(1, number):06d}")
    simulation.finish(400.0)

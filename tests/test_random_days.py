"""Random faults and requests: invariants hold throughout, and all jobs are completed in the end."""

import functools
import random

import pytest

from tests.request_bodies import job
from tests.simulation import Simulation


def inject_fault(simulation, rng):
    """Inject a fault that may coincide with others, in about one of eight steps."""
    draw, names, workers = rng.random(), sorted(simulation.nodes), simulation.cloud.workers()
    if draw < 0.02:
        simulation.late_writes = rng.choice([0.0, 0.3])
    elif draw < 0.04:
        simulation.late_heartbeats = rng.choice([0.0, 0.4])
    elif draw < 0.06 and workers:
        zone = rng.choice("abc")
        simulation.outbound_blocked = {
            w.name for w in workers if w.zone == zone or rng.random() < 0.1
        }
    elif draw < 0.09 and workers:
        for worker in rng.sample(workers, min(3, len(workers))):
            worker.hang(rng.uniform(1.0, 1.4 * simulation.lease_s))
    elif draw < 0.105 and names:
        simulation.isolate(rng.choice(names))
    elif draw < 0.115:
        simulation.kvstore_delay_s = rng.choice([0.0, 0.5])
    elif draw < 0.125 and names:
        for name in names:
            simulation.crash(name, rng.choice([0.1, 0.5, 1.5 * simulation.lease_s]))
    elif draw < 0.15 and simulation.completed:
        # Poll, submit again and cancel a job that is completed or about to be.
        job_id = max(simulation.completed).split("/")[0]
        if names:
            simulation.poll(job_id)
            simulation.submit(simulation.specs[job_id])
            simulation.cancel(job_id)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("seed", range(1, 9))
def test_invariants_hold_and_jobs_complete_under_random_faults(seed, partitioned):
    simulation = Simulation(seed=seed, partitioned=partitioned)
    rng = random.Random(1000 + seed)
    simulation.run_until(simulation.leader)
    number = 0
    end = simulation.now + 260.0
    while simulation.now < end:
        simulation.run(rng.uniform(0.5, 4.0))
        simulation.leader()
        simulation.check_owners()
        simulation.check_cancelled()
        simulation.check_derived_state()
        inject_fault(simulation, rng)
        draw = rng.random()
        names = sorted(simulation.nodes)
        if draw < 0.45 and names:
            number += 1
            simulation.submit(
                job(
                    number,
                    team=rng.choice(["red", "blue"]),
                    tasks=rng.randint(1, 9),
                    cpus=rng.choice([1.0, 4.0, 7.5]),
                    run_s=rng.uniform(2, 40),
                    urgency=rng.choice(["high", "normal", "low"]),
                    same_place=rng.random() < 0.15,
                    spread=rng.random() < 0.15,
                    borrowed=rng.random() < 0.8,
                )
            )
        elif draw < 0.55 and number and names:
            simulation.cancel(f"req-{rng.randint(1, number):06d}")
        elif draw < 0.70 and number and names:
            simulation.poll(f"req-{rng.randint(1, number):06d}")
        elif draw < 0.78 and names:
            simulation.crash(rng.choice(names), rng.choice([0.1, 0.4, 2.0, 6.0]))
        elif draw < 0.86:
            endpoints = names + [w.name for w in simulation.cloud.workers()] + ["state"]
            if len(endpoints) > 1:
                for _ in range(rng.randint(1, 6)):
                    simulation.cut(*rng.sample(endpoints, 2))
        elif draw < 0.89:
            for worker in simulation.cloud.workers():
                if worker.sent_heartbeats and names and rng.random() < 0.5:
                    # A late copy of a heartbeat, to any controller.
                    _, body = rng.choice(worker.sent_heartbeats[-40:])
                    deliver_copy = functools.partial(
                        simulation.deliver_late_heartbeat, rng.choice(names), body
                    )
                    simulation.after(rng.uniform(0.5, 2.0 * simulation.lease_s), deliver_copy)
        elif draw < 0.90 and simulation.cloud.workers():
            simulation.inbound_blocked = {rng.choice(simulation.cloud.workers()).name}
        elif draw < 0.93:
            simulation.end_faults()
        elif draw < 0.955:
            simulation.outage(rng.uniform(2, 20))
        elif simulation.cloud.machines:
            simulation.cloud.reclaim(rng.choice(sorted(simulation.cloud.machines)))
    simulation.end_faults()
    for _ in range(75):
        simulation.run(1.0)
        simulation.check_starvation()
    simulation.check_cancelled()
    accepted = {
        job_id
        for job_id, status in simulation.acknowledged.items()
        if job_id not in simulation.cancelled
    }
    polls = {job_id: simulation.poll(job_id) for job_id in sorted(accepted)}
    simulation.run(3.0)
    unanswered = [job_id for job_id, poll in polls.items() if poll.status != 200]
    assert not unanswered, f"accepted jobs whose poll was not answered with 200: {unanswered}"
    for _ in range(400):
        simulation.run(1.0)
        simulation.check_starvation()
        if all(f"d/job/{job_id}" in simulation.kvstore.data for job_id in accepted):
            break
    incomplete = [job_id for job_id in accepted if f"d/job/{job_id}" not in simulation.kvstore.data]
    assert not incomplete, [simulation.specs[job_id] for job_id in incomplete]
    assert not simulation.violations
    assert simulation.starts > 20

"""Random days of failures and requests: no rule is broken, and all work is done in the end."""

import functools
import random

import pytest

from tests.request_bodies import job
from tests.simulation import Simulation


def inject_fault(simulation, rng):
    """Now and then one of the faults that meet others; about one in eight steps."""
    act, names, workers = rng.random(), sorted(simulation.nodes), simulation.cloud.workers()
    if act < 0.02:
        simulation.late_writes = rng.choice([0.0, 0.3])
    elif act < 0.04:
        simulation.late_heartbeats = rng.choice([0.0, 0.4])
    elif act < 0.06 and workers:
        zone = rng.choice("abc")
        simulation.outbound_blocked = {
            w.name for w in workers if w.zone == zone or rng.random() < 0.1
        }
    elif act < 0.09 and workers:
        for worker in rng.sample(workers, min(3, len(workers))):
            worker.hang(rng.uniform(1.0, 1.4 * simulation.lease_s))
    elif act < 0.105 and names:
        simulation.isolate(rng.choice(names))
    elif act < 0.115:
        simulation.kvstore_delay_s = rng.choice([0.0, 0.5])
    elif act < 0.125 and names:
        for name in names:
            simulation.crash(name, rng.choice([0.1, 0.5, 1.5 * simulation.lease_s]))
    elif act < 0.15 and simulation.completed:
        # A question, a repeated submission or a cancellation of a job that is done or ends now.
        job_id = max(simulation.completed).split("/")[0]
        if names:
            simulation.poll(job_id)
            simulation.submit(simulation.specs[job_id])
            simulation.cancel(job_id)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("seed", range(1, 9))
def test_random_days_keep_every_rule(seed, partitioned):
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
        act = rng.random()
        names = sorted(simulation.nodes)
        if act < 0.45 and names:
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
        elif act < 0.55 and number and names:
            simulation.cancel(f"req-{rng.randint(1, number):06d}")
        elif act < 0.70 and number and names:
            simulation.poll(f"req-{rng.randint(1, number):06d}")
        elif act < 0.78 and names:
            simulation.crash(rng.choice(names), rng.choice([0.1, 0.4, 2.0, 6.0]))
        elif act < 0.86:
            ends = names + [w.name for w in simulation.cloud.workers()] + ["state"]
            if len(ends) > 1:
                for _ in range(rng.randint(1, 6)):
                    simulation.cut(*rng.sample(ends, 2))
        elif act < 0.89:
            for worker in simulation.cloud.workers():
                if worker.sent_heartbeats and names and rng.random() < 0.5:
                    # A late copy of a report, to any controller.
                    _, body = rng.choice(worker.sent_heartbeats[-40:])
                    late = functools.partial(
                        simulation.deliver_late_heartbeat, rng.choice(names), body
                    )
                    simulation.after(rng.uniform(0.5, 2.0 * simulation.lease_s), late)
        elif act < 0.90 and simulation.cloud.workers():
            simulation.inbound_blocked = {rng.choice(simulation.cloud.workers()).name}
        elif act < 0.93:
            simulation.end_faults()
        elif act < 0.955:
            simulation.outage(rng.uniform(2, 20))
        elif simulation.cloud.machines:
            simulation.cloud.reclaim(rng.choice(sorted(simulation.cloud.machines)))
    simulation.end_faults()
    for _ in range(75):
        simulation.run(1.0)
        simulation.check_starvation()
    simulation.check_cancelled()
    accepted = {j for j, status in simulation.acknowledged.items() if j not in simulation.cancelled}
    polls = {j: simulation.poll(j) for j in sorted(accepted)}
    simulation.run(3.0)
    silent = [j for j, poll in polls.items() if poll.status != 200]
    assert not silent, f"forgotten: {silent}"
    for _ in range(400):
        simulation.run(1.0)
        simulation.check_starvation()
        if all(f"d/job/{j}" in simulation.kvstore.data for j in accepted):
            break
    left = [j for j in accepted if f"d/job/{j}" not in simulation.kvstore.data]
    assert not left, [simulation.specs[j] for j in left]
    assert not simulation.violations
    assert simulation.starts > 20

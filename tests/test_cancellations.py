"""Cancellations: a confirmed cancellation takes effect despite failures at the same time."""

import pytest

from tests.request_bodies import gang, job
from tests.scenarios import is_completed, present_task_count, run_checked, started_simulation
from tests.simulation import Simulation
from tests.test_service_guarantees import PARTITIONED_AND_NOT, busy_workers, check_answers


@PARTITIONED_AND_NOT
def test_no_task_starts_after_its_cancellation_was_confirmed(partitioned):
    # Guards the direct messages, which do not wait for the watch: the cancellation to the other
    # controllers, and stop commands to the machines. A task still starts if its image arrives
    # before the stop command. The two messages in a row, to another controller and from there to
    # the machine, take at most twice the maximum latency.
    simulation = Simulation(seed=13, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=8, cpus=4.0, run_s=200.0))
    simulation.run_until(lambda: present_task_count(simulation) == 8, 60)
    for n in range(2, 42):
        simulation.submit(job(n, team="red" if n % 2 else "blue", tasks=2, cpus=1.0))
        simulation.run(simulation.rng.uniform(0.02, 0.3))
        simulation.cancel(f"req-{n:06d}")
        run_checked(simulation, 0.5)
    assert len(simulation.cancelled) == 40
    assert not [
        delay for delay in simulation.starts_after_cancel_s if delay > 2.0 * simulation.latency_s[1]
    ]
    simulation.finish()


@PARTITIONED_AND_NOT
@pytest.mark.parametrize("hang_leases", [0.5, 0.9, 1.5])
def test_cancelled_tasks_end_when_their_machines_hang_at_cancellation(hang_leases, partitioned):
    # Machines hang or are partitioned while their tasks are cancelled. Meanwhile all teams are at
    # their limits and the leader crashes.
    specs = [job(n, tasks=4, cpus=8.0, run_s=300.0) for n in (1, 2)]
    specs += [job(n, tasks=3, cpus=8.0, run_s=300.0, team="blue") for n in (3, 4)]
    simulation = started_simulation(specs, 14, partitioned=partitioned)
    victims = busy_workers(simulation)
    users = [simulation.cancel(f"req-{n:06d}") for n in range(1, 5)]
    for worker in victims[::2]:
        worker.hang(hang_leases * simulation.lease_s)
    for worker in victims[1::4]:
        for name in simulation.node_names:
            simulation.cut(name, worker.name)
    for n in range(10, 18):
        simulation.submit(job(n, team="red" if n % 2 else "blue", cpus=8.0, run_s=5.0))
    simulation.run(0.3)
    leader = simulation.leader()
    simulation.crash(leader, 0.3)
    run_checked(simulation, 1.2 * simulation.cancel_s)
    assert {user.status for user in users} == {200}
    simulation.finish()
    assert not any(delay > simulation.lease_s for delay in simulation.starts_after_cancel_s)


@PARTITIONED_AND_NOT
def test_isolated_leader_answers_503_to_polls_cancellations_and_submissions(partitioned):
    # An isolated leader that still reaches its workers can store nothing. While the partition
    # lasts, it must neither confirm nor reject a request.
    specs = [job(n, tasks=2, run_s=150.0, slot="slow") for n in range(1, 7)]
    simulation = started_simulation(specs, 12, partitioned=partitioned)
    isolated = simulation.leader()
    simulation.run(2.0)
    simulation.isolate(isolated)
    requests_to_isolated, confirmed = [], []
    end = simulation.now + 1.5 * simulation.cancel_s
    while simulation.now < end:
        requests_to_isolated += [simulation.poll(f"req-{n:06d}", isolated) for n in range(1, 7)]
        requests_to_isolated.append(simulation.cancel("req-000001", isolated))
        requests_to_isolated.append(simulation.submit(job(7, run_s=5.0), isolated))
        if simulation.leader() not in (None, isolated) and not confirmed:
            confirmed = [
                simulation.cancel_until_confirmed(f"req-{n:06d}", simulation.leader())
                for n in (1, 2)
            ]
        run_checked(simulation, 1.0)
    check_answers(simulation, requests_to_isolated, {503})
    assert [user.status for user in confirmed] == [200, 200]
    assert simulation.leader() not in (None, isolated)
    simulation.finish(500.0)


@PARTITIONED_AND_NOT
def test_jobs_are_cancelled_while_shard_owners_crash(partitioned):
    simulation = started_simulation(
        [job(n, tasks=2, run_s=300.0, team="red" if n % 2 else "blue") for n in range(1, 9)],
        16,
        partitioned=partitioned,
    )
    for n in range(1, 9):
        owners = [name for name, node in sorted(simulation.nodes.items()) if node.schedulers]
        if n % 2 and owners:
            simulation.crash(simulation.rng.choice(owners), simulation.rng.choice([0.1, 0.5]))
        simulation.run(simulation.rng.uniform(0.0, 1.5))
        user = simulation.cancel(f"req-{n:06d}")
        run_checked(simulation, simulation.rng.uniform(1.0, 4.0))
        if user.status != 200:
            simulation.cancel(f"req-{n:06d}")
    run_checked(simulation, simulation.cancel_s)
    assert len(simulation.cancelled) == 8 and not present_task_count(simulation)
    assert not any(delay > 0.5 * simulation.lease_s for delay in simulation.starts_after_cancel_s)
    simulation.finish()


@pytest.mark.parametrize("state_delay_s", [0.0, 0.2])
@pytest.mark.parametrize("make_spec", [job, gang])
def test_no_controller_answers_with_an_older_job_state_after_each_step(make_spec, state_delay_s):
    # Once a controller has acknowledged a state of a job, no controller may answer 404 or an
    # earlier state.
    simulation = Simulation(seed=14)
    simulation.run_until(simulation.leader)
    simulation.kvstore_delay_s = state_delay_s
    job_id, users = "", []

    def poll_and_resubmit_everywhere():
        for _ in range(4):
            simulation.run(simulation.rng.uniform(0.0, 0.01))
            for name in simulation.node_names:
                users.append(simulation.poll(job_id, name))
                users.append(simulation.submit(simulation.specs[job_id], name))

    for n in range(1, 13):
        job_id = f"req-{n:06d}"
        submission = simulation.submit(make_spec(n, tasks=2, cpus=2.0, run_s=2.0), f"n{n % 3}")
        simulation.run_until(lambda user=submission: user.status is not None, 5)
        poll_and_resubmit_everywhere()
        if n % 3 == 0:
            if n % 2:
                simulation.run(2.0)
            user = simulation.cancel(job_id)
            simulation.run_until(lambda user=user: user.status is not None, 5)
        else:
            simulation.run_until(lambda n=n: is_completed(simulation, n), 90)
        poll_and_resubmit_everywhere()
    check_answers(simulation, users, {200})
    simulation.finish()

"""Helpers of the gang tests: start a scenario, observe the tasks and progress of a job."""

from tests.simulation import Simulation


def task_records(simulation, number):
    """Return the machines' records of a job's tasks as (worker, (task, attempt), record)."""
    job_id = f"req-{number:06d}"
    return [
        (worker, key, record)
        for worker in simulation.cloud.workers()
        for key, record in worker.tasks.items()
        if key[0].split("/")[0] == job_id
    ]


def count_tasks(simulation, number, *states):
    """Return how many tasks of a job are in one of the given states on machines."""
    return sum(record["state"] in states for _, _, record in task_records(simulation, number))


def count_present_tasks(simulation, number):
    """Return how many tasks of a job are on machines or pull their image."""
    return count_tasks(simulation, number, "pulling", "gathering", "running", "flushing")


def all_running(simulation, number):
    """Return a condition for `run_until`: all tasks of a job run."""
    return lambda: (
        count_tasks(simulation, number, "running") == simulation.specs[f"req-{number:06d}"]["pages"]
    )


def all_done(simulation, *numbers):
    """Return a condition for `run_until`: the completions of all these jobs are stored."""
    return lambda: all(f"d/job/req-{n:06d}" in simulation.kvstore.data for n in numbers)


def attempts(simulation, number):
    return sorted(attempt for job_id, attempt in simulation.gangs if job_id == f"req-{number:06d}")


def saved_progress(simulation, number):
    return simulation.saved_progress.get(f"req-{number:06d}", 0.0)


def poll_body(simulation, number):
    poll = simulation.poll(f"req-{number:06d}")
    simulation.run(1)
    assert poll.status == 200
    return poll.body


def simulation_with_jobs(*specs, capacity=None, **parameters):
    """Return a simulation with a leader, in which these jobs have been accepted."""
    simulation = Simulation(**parameters)
    if capacity is not None:
        simulation.cloud.capacity = {
            place: capacity.get(place, 0) for place in simulation.cloud.capacity
        }
    simulation.run_until(simulation.leader, 20)
    requests = [simulation.submit(spec) for spec in specs]
    simulation.run(1)
    assert all(request.status == 201 for request in requests)
    return simulation


def check_invariants(simulation):
    simulation.check_derived_state()
    simulation.check_cancelled()
    assert not simulation.violations

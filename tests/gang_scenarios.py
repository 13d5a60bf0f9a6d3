"""What the tests of gangs share: how a scenario begins, and what can be seen of a job."""

from tests.simulation import Simulation


def task_records(simulation, number):
    """What machines note of a job's tasks: (worker, key, mark)."""
    job_id = f"req-{number:06d}"
    return [
        (w, key, mark)
        for w in simulation.cloud.workers()
        for key, mark in w.tasks.items()
        if key[0].split("/")[0] == job_id
    ]


def count_tasks(simulation, number, *states):
    return sum(mark["state"] in states for _, _, mark in task_records(simulation, number))


def count_present_tasks(simulation, number):
    """Tasks that are on machines or on their way there."""
    return count_tasks(simulation, number, "pulling", "gathering", "running", "flushing")


def all_running(simulation, number):
    return lambda: (
        count_tasks(simulation, number, "running") == simulation.specs[f"req-{number:06d}"]["pages"]
    )


def all_done(simulation, *numbers):
    return lambda: all(f"d/job/req-{n:06d}" in simulation.kvstore.data for n in numbers)


def attempts(simulation, number):
    return sorted(a for j, a in simulation.gangs if j == f"req-{number:06d}")


def saved_progress(simulation, number):
    return simulation.saved_progress.get(f"req-{number:06d}", 0.0)


def poll_body(simulation, number):
    poll = simulation.poll(f"req-{number:06d}")
    simulation.run(1)
    assert poll.status == 200
    return poll.body


def simulation_with_jobs(*specs, capacity=None, **more):
    """A simulation with a leader, in which these jobs have been submitted."""
    simulation = Simulation(**more)
    if capacity is not None:
        simulation.cloud.capacity = {p: capacity.get(p, 0) for p in simulation.cloud.capacity}
    simulation.run_until(simulation.leader, 20)
    users = [simulation.submit(spec) for spec in specs]
    simulation.run(1)
    assert all(user.status == 201 for user in users)
    return simulation


def check_invariants(simulation):
    simulation.check_derived_state()
    simulation.check_cancelled()
    assert not simulation.violations

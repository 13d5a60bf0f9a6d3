"""What the tests of gangs share: how a scenario begins, and what can be seen of a job."""

from tests.simulation import Simulation


def marks(simulation, number):
    """What machines note of a job's tasks: (worker, key, mark)."""
    job_id = f"req-{number:06d}"
    return [
        (w, key, mark)
        for w in simulation.cloud.workers()
        for key, mark in w.tasks.items()
        if key[0].split("/")[0] == job_id
    ]


def count(simulation, number, *states):
    return sum(mark["state"] in states for _, _, mark in marks(simulation, number))


def present(simulation, number):
    """Tasks that are on machines or on their way there."""
    return count(simulation, number, "pulling", "gathering", "running", "flushing")


def runs(simulation, number):
    return lambda: (
        count(simulation, number, "running") == simulation.specs[f"req-{number:06d}"]["pages"]
    )


def done(simulation, *numbers):
    return lambda: all(f"d/job/req-{n:06d}" in simulation.state.data for n in numbers)


def attempts(simulation, number):
    return sorted(a for j, a in simulation.gangs if j == f"req-{number:06d}")


def progress(simulation, number):
    return simulation.progress.get(f"req-{number:06d}", 0.0)


def poll_body(simulation, number):
    poll = simulation.poll(f"req-{number:06d}")
    simulation.run(1)
    assert poll.status == 200
    return poll.body


def simulation_with(*specs, capacity=None, **more):
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
    simulation.check_sums()
    simulation.check_cancelled()
    assert not simulation.violations

"""Steps shared by scenarios: start jobs, break contact with machines, advance time."""

from tests.simulation import Simulation


def present_task_count(simulation):
    return sum(len(worker.present_tasks()) for worker in simulation.cloud.workers())


def make_unreachable(simulation, worker, fault, hang_s):
    """Break contact with a machine as `fault` says.

    Other names than "inbound_blocked", "outbound_blocked" and "hung" cut its links to all
    controllers. `hang_s` matters to "hung" only.
    """
    if fault == "inbound_blocked":
        simulation.inbound_blocked.add(worker.name)
    elif fault == "outbound_blocked":
        simulation.outbound_blocked.add(worker.name)
    elif fault == "hung":
        worker.hang(hang_s)
    else:
        for name in simulation.node_names:
            simulation.cut(name, worker.name)


def started_simulation(jobs, count, seed=1, **parameters):
    """Return a simulation of these jobs in which at least `count` tasks are on machines."""
    simulation = Simulation(seed=seed, **parameters)
    simulation.run_until(simulation.leader)
    for spec in jobs:
        simulation.submit(spec)
    simulation.run_until(lambda: present_task_count(simulation) >= count, 90)
    return simulation


def run_checked(simulation, seconds):
    """Advance the simulation by `seconds` and check the invariants every second."""
    end = simulation.now + seconds
    while simulation.now < end:
        simulation.run(min(1.0, end - simulation.now))
        simulation.leader()
        simulation.check_owners()
        simulation.check_cancelled()
        simulation.check_derived_state()


def is_completed(simulation, number):
    return f"d/job/req-{number:06d}" in simulation.kvstore.data


def wait_for_new_leader(simulation, old, seconds=60.0):
    """Run until a controller other than `old` leads; return its name."""
    simulation.run_until(lambda: simulation.leader() not in (None, old), seconds)
    return simulation.leader()

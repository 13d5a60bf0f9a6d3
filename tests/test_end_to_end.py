"""Scenarios of whole days, run by real controllers against fakes in memory."""

import json

from copperpass.core.jobs.job import make_job
from copperpass.protocol.json_codec import decode
from copperpass.protocol.records import JobRecord
from tests.fakes.worker import WorkerRequest
from tests.request_bodies import job
from tests.scenarios import present_task_count
from tests.simulation import Simulation


def finished(simulation, *numbers):
    ids = [f"req-{n:06d}" for n in numbers]
    return lambda: all(f"d/job/{i}" in simulation.kvstore.data for i in ids)


def test_a_job_runs_and_is_told_done():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    user = simulation.submit(job(1))
    simulation.run(1)
    assert user.status == 201 and user.body == {"id": "req-000001", "status": "queued"}
    simulation.run_until(finished(simulation, 1), 90)
    for name in simulation.node_names:
        poll = simulation.poll("req-000001", name)
        simulation.run(1)
        assert poll.body["status"] == "done"
    assert not simulation.violations


def test_two_nodes_one_id_one_job():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    first = simulation.submit(job(1), "n0")
    second = simulation.submit(job(1), "n1")
    simulation.run(1)
    assert sorted([first.status, second.status]) == [200, 201]
    assert len([k for k in simulation.kvstore.data if k.startswith("c/live/")]) == 1


def test_cancel_is_stored_and_kills():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, run_s=500.0))
    running = lambda: any(w.present_tasks() for w in simulation.cloud.workers())  # noqa: E731
    simulation.run_until(running, 60)
    user = simulation.cancel("req-000001")
    simulation.run(2)
    assert user.body == {"id": "req-000001", "status": "withdrawn", "done": 0, "running": 0} or (
        user.body["status"] == "withdrawn"
    )
    assert not running()
    again = simulation.submit(job(1, cpus="not even a number"))
    simulation.run(1)
    assert (again.status, again.body["status"]) == (200, "withdrawn")


def test_crash_of_the_leader_costs_no_task():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    for n in range(1, 5):
        simulation.submit(job(n, run_s=25.0))
    simulation.run_until(
        lambda: sum(len(w.present_tasks()) for w in simulation.cloud.workers()) == 8, 60
    )
    old, starts = simulation.leader(), simulation.starts
    simulation.crash(old, restart_after_s=5.0)
    simulation.run_until(lambda: simulation.leader() not in (None, old), 10)
    simulation.run_until(finished(simulation, 1, 2, 3, 4), 90)
    assert simulation.starts == starts and not simulation.violations


def test_a_restart_of_all_controllers_does_not_begin_each_wait_afresh():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    at = simulation.now
    simulation.submit(job(1, tasks=2, run_s=300.0))
    simulation.run(40.0)
    for name in simulation.node_names:
        simulation.crash(name, 2.0)
    simulation.run_until(lambda: simulation.leader() is not None, 20)
    simulation.run(1.0)
    (known,) = simulation.nodes[simulation.leader()].jobs.jobs.values()
    assert abs(known.arrived_at - at) < 2.0
    # A record without the time, or a clock that runs ahead, makes a job new, never one of later.
    record = decode(json.dumps({"spec": job(2)}).encode(), JobRecord)
    assert make_job(record, 5, 50.0, 1000.0).arrived_at == 50.0
    record.submitted_at = 2000.0
    assert make_job(record, 5, 50.0, 1000.0).arrived_at == 50.0


def test_tasks_outlive_a_state_outage_longer_than_their_lease():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    for n in range(1, 4):
        simulation.submit(job(n, run_s=40.0))
    simulation.run_until(
        lambda: sum(len(w.present_tasks()) for w in simulation.cloud.workers()) == 6, 60
    )
    leader, starts = simulation.leader(), simulation.starts
    simulation.kvstore.down = True
    simulation.run(1.8 * simulation.lease_s)
    assert simulation.leader() == leader
    refused = simulation.submit(job(9))
    simulation.run(2)
    assert refused.status == 503 and refused.retry_after >= 1
    simulation.end_outage()
    simulation.run_until(finished(simulation, 1, 2, 3), 90)
    assert simulation.starts == starts and not simulation.violations


def test_a_leader_refused_alone_hands_over():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, run_s=60.0, tasks=4))
    simulation.run_until(lambda: any(w.present_tasks() for w in simulation.cloud.workers()), 60)
    old = simulation.leader()
    simulation.kvstore_refuses.add(old)
    simulation.run_until(lambda: simulation.leader() not in (None, old), 3 * simulation.lease_s)
    assert simulation.nodes[old].healthy(simulation.now) is False
    simulation.run_until(finished(simulation, 1), 150)
    assert not simulation.violations


def test_a_leader_that_hears_neither_workers_nor_controllers_steps_down():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, run_s=30.0))
    simulation.run_until(lambda: any(w.present_tasks() for w in simulation.cloud.workers()), 60)
    old, starts = simulation.leader(), simulation.starts
    for other in [w.name for w in simulation.cloud.workers()] + simulation.node_names:
        if other != old:
            simulation.cut(old, other)
    simulation.run_until(lambda: simulation.leader() not in (None, old), 15)
    simulation.run_until(finished(simulation, 1), 90)
    assert simulation.starts == starts and not simulation.violations


def test_a_machine_that_is_gone_does_not_hold_up_every_change_of_leader():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, run_s=10.0))
    simulation.run_until(finished(simulation, 1), 90)
    # The machine vanishes together with the leader, so nobody removes its record.
    victim = simulation.cloud.workers()[0].name
    simulation.cloud.reclaim(victim)
    simulation.crash(simulation.leader(), 5.0)
    simulation.run(1.5 * simulation.lease_s)
    # Whichever form of the record counts by now.
    assert simulation.inventory_records() and victim not in str(simulation.inventory_records())
    simulation.crash(simulation.leader(), 5.0)
    simulation.run_until(
        lambda: any(o.ready for n in simulation.nodes.values() for o in n.schedulers), 10
    )
    simulation.run(3.0)
    assert (
        not simulation.nodes[simulation.leader()].schedulers[0].unreconciled
        and not simulation.violations
    )


def test_a_sick_machine_is_fenced_and_returned():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    for n in range(1, 7):
        simulation.submit(job(n, cpus=4.0, tasks=2))
    simulation.run_until(lambda: len(simulation.cloud.workers()) > 1, 60)
    failing = simulation.cloud.workers()[0]
    failing.fails_tasks = True
    simulation.run_until(lambda: not failing.alive, 120)
    simulation.run_until(finished(simulation, *range(1, 7)), 180)
    assert not simulation.violations


def test_a_job_with_a_mistake_does_not_burn_the_fleet():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, broken=True, tasks=1))
    simulation.submit(job(2, tasks=2))
    simulation.run(150)
    assert simulation.starts < 40
    assert "d/job/req-000002" in simulation.kvstore.data
    assert "c/live/req-000001" in simulation.kvstore.data
    assert all(w.alive for w in simulation.cloud.workers())


def test_placement_is_kept():
    simulation = Simulation(seed=5)
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=5, cpus=8.0, spread=True))
    simulation.submit(job(2, tasks=4, cpus=8.0, same_place=True, team="blue"))
    simulation.submit(job(3, tasks=2, borrowed=False, hall="b"))
    simulation.run_until(finished(simulation, 1, 2, 3), 300)
    assert not simulation.violations


def test_an_unanswered_start_is_not_given_elsewhere_until_a_token_passes_it():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(9, tasks=1, cpus=1.0, run_s=1.0))
    simulation.run_until(finished(simulation, 9), 90)
    leader = simulation.leader()
    worker = simulation.cloud.workers()[0]
    others = [w.name for w in simulation.cloud.workers()]
    for name in others:
        simulation.cut(leader, name)
    simulation.submit(job(1, tasks=1, run_s=20.0))
    simulation.run(2.0)
    simulation.heal()
    simulation.run_until(finished(simulation, 1), 120)
    assert worker.token > 0 and not simulation.violations


def test_workers_behind_a_cut_are_reached_over_another_controller():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=6, run_s=60.0))
    simulation.run_until(lambda: present_task_count(simulation) == 6, 60)
    leader, starts = simulation.leader(), simulation.starts
    for worker in simulation.cloud.workers():
        if worker.zone != "a":
            simulation.cut(leader, worker.name)
    simulation.run(2.5 * simulation.lease_s)
    assert simulation.leader() == leader
    assert all(w.agent_epoch == 1 for w in simulation.cloud.workers()), (
        "a lease ran out behind the cut"
    )
    simulation.heal()
    simulation.run_until(finished(simulation, 1), 120)
    assert simulation.starts == starts and not simulation.violations


def test_a_deaf_machine_gets_no_work_and_is_returned():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=1, cpus=1.0, run_s=1.0))
    simulation.run_until(finished(simulation, 1), 90)
    unreachable = simulation.cloud.workers()[0]
    simulation.inbound_blocked.add(unreachable.name)
    leader = simulation.leader()
    machine = simulation.nodes[leader].schedulers[0].machines[unreachable.name]
    given = []
    for number in range(2, 12):
        simulation.submit(job(number, tasks=2, cpus=4.0, run_s=5.0))
        simulation.run(1.0)
        given.append(sum(p.active for p in machine.tasks.values()))
    assert machine.unreachable_since is not None or not unreachable.alive
    simulation.run_until(lambda: not unreachable.alive, 3 * simulation.lease_s)
    simulation.run_until(finished(simulation, *range(2, 12)), 150)
    assert not simulation.violations


def test_a_deaf_machine_that_hears_again_is_used_again():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=1, cpus=1.0, run_s=1.0))
    simulation.run_until(finished(simulation, 1), 90)
    for worker in simulation.cloud.workers():
        simulation.inbound_blocked.add(worker.name)
    simulation.submit(job(2, tasks=4, cpus=4.0, run_s=5.0))
    scheduler = simulation.nodes[simulation.leader()].schedulers[0]
    simulation.run_until(lambda: any(m.unreachable_since for m in scheduler.machines.values()), 15)
    simulation.inbound_blocked.clear()
    simulation.run_until(
        lambda: not any(m.unreachable_since for m in scheduler.machines.values()), 10
    )
    simulation.run_until(finished(simulation, 2), 60)
    assert not simulation.violations


def test_late_copies_revive_nothing_and_count_for_nothing():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=2, run_s=20.0))
    simulation.run_until(lambda: present_task_count(simulation) == 2, 60)
    copies = [body for w in simulation.cloud.workers() for _, body in w.sent_heartbeats[-4:]]
    old = simulation.leader()
    for worker in simulation.cloud.workers():
        simulation.cloud.reclaim(worker.name)
    simulation.run(2.5 * simulation.lease_s)
    simulation.crash(old, 5.0)
    simulation.run_until(lambda: simulation.leader() not in (None, old), 20)
    node = simulation.nodes[simulation.leader()]
    simulation.run_until(lambda: node.schedulers and node.schedulers[0].ready, 5)
    for _ in range(3):
        heard = node.schedulers[0].last_heartbeat_at
        for body in copies:
            simulation.deliver_late_heartbeat(simulation.leader(), body)
        assert node.schedulers[0].last_heartbeat_at == heard
        simulation.run(0.5)
    said = b"".join(copies)
    revived = [m for n, m in node.schedulers[0].machines.items() if f'"{n}"'.encode() in said]
    assert not any(m.is_usable(simulation.now, 99.0) for m in revived)
    simulation.run_until(finished(simulation, 1), 150)
    assert not simulation.violations


def test_a_copy_does_not_stretch_the_end_of_a_lease():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=2, run_s=300.0))
    simulation.run_until(lambda: present_task_count(simulation) == 2, 60)
    worker = next(w for w in simulation.cloud.workers() if w.present_tasks())
    leader = simulation.leader()
    machine = simulation.nodes[leader].schedulers[0].machines[worker.name]
    copy = worker.sent_heartbeats[-1][1]
    for name in simulation.node_names:
        simulation.cut(name, worker.name)
    simulation.cut("cloud", leader)
    at = simulation.now
    while simulation.now < at + 1.3 * simulation.lease_s:
        simulation.deliver_late_heartbeat(leader, copy)
        simulation.run(1.0)
    assert not machine.tasks, "copies must not hold up what a lease's end proves"


def test_a_controller_with_workers_alone_stops_answering_them_in_time():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=4, run_s=60.0))
    simulation.run_until(lambda: present_task_count(simulation) == 4, 60)
    old, starts = simulation.leader(), simulation.starts
    simulation.kvstore_refuses.add(old)
    for name in simulation.node_names:
        if name != old:
            simulation.cut(old, name)
    simulation.run_until(lambda: simulation.leader() not in (None, old), 10)
    answers = []
    body = simulation.cloud.workers()[0].sent_heartbeats[-1][1]
    simulation.nodes[old].worker_heartbeat(
        simulation.now, WorkerRequest(lambda s, b: answers.append(s)), body
    )
    simulation.process_outbox(old)
    assert answers == [421]
    simulation.run_until(finished(simulation, 1), 120)
    assert simulation.starts == starts and not simulation.violations

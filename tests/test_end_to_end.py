"""End-to-end scenarios: real controllers against in-memory fakes of the services and workers."""

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
    return lambda: all(f"d/job/{job_id}" in simulation.kvstore.data for job_id in ids)


def test_submitted_job_runs_and_every_controller_reports_it_done():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    submission = simulation.submit(job(1))
    simulation.run(1)
    assert submission.status == 201 and submission.body == {"id": "req-000001", "status": "queued"}
    simulation.run_until(finished(simulation, 1), 90)
    for name in simulation.node_names:
        poll = simulation.poll("req-000001", name)
        simulation.run(1)
        assert poll.body["status"] == "done"
    assert not simulation.violations


def test_two_submissions_of_one_id_at_different_controllers_create_one_job():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    first = simulation.submit(job(1), "n0")
    second = simulation.submit(job(1), "n1")
    simulation.run(1)
    assert sorted([first.status, second.status]) == [200, 201]
    assert len([key for key in simulation.kvstore.data if key.startswith("c/live/")]) == 1


def test_cancellation_is_stored_and_stops_running_tasks():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, run_s=500.0))
    running = lambda: any(w.present_tasks() for w in simulation.cloud.workers())  # noqa: E731
    simulation.run_until(running, 60)
    cancellation = simulation.cancel("req-000001")
    simulation.run(2)
    assert cancellation.body == {
        "id": "req-000001",
        "status": "withdrawn",
        "done": 0,
        "running": 0,
    } or (cancellation.body["status"] == "withdrawn")
    assert not running()
    resubmission = simulation.submit(job(1, cpus="not even a number"))
    simulation.run(1)
    assert (resubmission.status, resubmission.body["status"]) == (200, "withdrawn")


def test_running_tasks_survive_a_leader_crash():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    for n in range(1, 5):
        simulation.submit(job(n, run_s=25.0))
    simulation.run_until(
        lambda: sum(len(w.present_tasks()) for w in simulation.cloud.workers()) == 8, 60
    )
    old_leader, starts = simulation.leader(), simulation.starts
    simulation.crash(old_leader, restart_after_s=5.0)
    simulation.run_until(lambda: simulation.leader() not in (None, old_leader), 10)
    simulation.run_until(finished(simulation, 1, 2, 3, 4), 90)
    assert simulation.starts == starts and not simulation.violations


def test_jobs_keep_their_submission_time_across_a_restart_of_all_controllers():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    submitted_at = simulation.now
    simulation.submit(job(1, tasks=2, run_s=300.0))
    simulation.run(40.0)
    for name in simulation.node_names:
        simulation.crash(name, 2.0)
    simulation.run_until(lambda: simulation.leader() is not None, 20)
    simulation.run(1.0)
    (known_job,) = simulation.nodes[simulation.leader()].jobs.jobs.values()
    assert abs(known_job.arrived_at - submitted_at) < 2.0
    # If the record has no submission time, or one in the future because a clock runs ahead, the job
    # counts as submitted now, never later.
    record = decode(json.dumps({"spec": job(2)}).encode(), JobRecord)
    assert make_job(record, 5, 50.0, 1000.0).arrived_at == 50.0
    record.submitted_at = 2000.0
    assert make_job(record, 5, 50.0, 1000.0).arrived_at == 50.0


def test_tasks_survive_a_state_service_outage_longer_than_their_lease():
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
    refused_submission = simulation.submit(job(9))
    simulation.run(2)
    assert refused_submission.status == 503 and refused_submission.retry_after >= 1
    simulation.end_outage()
    simulation.run_until(finished(simulation, 1, 2, 3), 90)
    assert simulation.starts == starts and not simulation.violations


def test_leadership_moves_when_state_service_refuses_only_the_leader():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, run_s=60.0, tasks=4))
    simulation.run_until(lambda: any(w.present_tasks() for w in simulation.cloud.workers()), 60)
    old_leader = simulation.leader()
    simulation.kvstore_refuses.add(old_leader)
    simulation.run_until(
        lambda: simulation.leader() not in (None, old_leader), 3 * simulation.lease_s
    )
    assert simulation.nodes[old_leader].healthy(simulation.now) is False
    simulation.run_until(finished(simulation, 1), 150)
    assert not simulation.violations


def test_leader_cut_off_from_workers_and_controllers_steps_down():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, run_s=30.0))
    simulation.run_until(lambda: any(w.present_tasks() for w in simulation.cloud.workers()), 60)
    old_leader, starts = simulation.leader(), simulation.starts
    for endpoint in [w.name for w in simulation.cloud.workers()] + simulation.node_names:
        if endpoint != old_leader:
            simulation.cut(old_leader, endpoint)
    simulation.run_until(lambda: simulation.leader() not in (None, old_leader), 15)
    simulation.run_until(finished(simulation, 1), 90)
    assert simulation.starts == starts and not simulation.violations


def test_deleted_machine_of_a_crashed_leader_does_not_delay_later_leaders():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, run_s=10.0))
    simulation.run_until(finished(simulation, 1), 90)
    # The machine is deleted together with the leader's crash, so no controller removes its record.
    victim = simulation.cloud.workers()[0].name
    simulation.cloud.reclaim(victim)
    simulation.crash(simulation.leader(), 5.0)
    simulation.run(1.5 * simulation.lease_s)
    # Holds in either format of the inventory records.
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


def test_machine_that_fails_its_tasks_is_quarantined_and_released():
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


def test_faulty_job_is_retried_slowly_and_costs_no_machine():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, broken=True, tasks=1))
    simulation.submit(job(2, tasks=2))
    simulation.run(150)
    assert simulation.starts < 40
    assert "d/job/req-000002" in simulation.kvstore.data
    assert "c/live/req-000001" in simulation.kvstore.data
    assert all(w.alive for w in simulation.cloud.workers())


def test_jobs_run_where_their_placement_constraints_allow():
    simulation = Simulation(seed=5)
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=5, cpus=8.0, spread=True))
    simulation.submit(job(2, tasks=4, cpus=8.0, same_place=True, team="blue"))
    simulation.submit(job(3, tasks=2, borrowed=False, hall="b"))
    simulation.run_until(finished(simulation, 1, 2, 3), 300)
    assert not simulation.violations


def test_unanswered_start_is_not_repeated_elsewhere_before_a_higher_token_is_accepted():
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


def test_workers_cut_off_from_the_leader_keep_their_leases_through_another_controller():
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
        "a worker lease expired during the partition"
    )
    simulation.heal()
    simulation.run_until(finished(simulation, 1), 120)
    assert simulation.starts == starts and not simulation.violations


def test_machine_with_blocked_inbound_traffic_is_marked_unreachable_and_released():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=1, cpus=1.0, run_s=1.0))
    simulation.run_until(finished(simulation, 1), 90)
    unreachable = simulation.cloud.workers()[0]
    simulation.inbound_blocked.add(unreachable.name)
    leader = simulation.leader()
    machine = simulation.nodes[leader].schedulers[0].machines[unreachable.name]
    active_counts = []
    for number in range(2, 12):
        simulation.submit(job(number, tasks=2, cpus=4.0, run_s=5.0))
        simulation.run(1.0)
        active_counts.append(sum(placement.active for placement in machine.tasks.values()))
    assert machine.unreachable_since is not None or not unreachable.alive
    simulation.run_until(lambda: not unreachable.alive, 3 * simulation.lease_s)
    simulation.run_until(finished(simulation, *range(2, 12)), 150)
    assert not simulation.violations


def test_unreachable_machine_is_used_again_once_inbound_traffic_is_restored():
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


def test_late_heartbeat_copies_neither_revive_machines_nor_prove_contact():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=2, run_s=20.0))
    simulation.run_until(lambda: present_task_count(simulation) == 2, 60)
    copies = [body for w in simulation.cloud.workers() for _, body in w.sent_heartbeats[-4:]]
    old_leader = simulation.leader()
    for worker in simulation.cloud.workers():
        simulation.cloud.reclaim(worker.name)
    simulation.run(2.5 * simulation.lease_s)
    simulation.crash(old_leader, 5.0)
    simulation.run_until(lambda: simulation.leader() not in (None, old_leader), 20)
    node = simulation.nodes[simulation.leader()]
    simulation.run_until(lambda: node.schedulers and node.schedulers[0].ready, 5)
    for _ in range(3):
        last_heartbeat_at = node.schedulers[0].last_heartbeat_at
        for body in copies:
            simulation.deliver_late_heartbeat(simulation.leader(), body)
        assert node.schedulers[0].last_heartbeat_at == last_heartbeat_at
        simulation.run(0.5)
    copied_bytes = b"".join(copies)
    revived = [
        machine
        for name, machine in node.schedulers[0].machines.items()
        if f'"{name}"'.encode() in copied_bytes
    ]
    assert not any(machine.is_usable(simulation.now, 99.0) for machine in revived)
    simulation.run_until(finished(simulation, 1), 150)
    assert not simulation.violations


def test_late_heartbeat_copies_do_not_extend_a_worker_lease():
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
    cut_at = simulation.now
    while simulation.now < cut_at + 1.3 * simulation.lease_s:
        simulation.deliver_late_heartbeat(leader, copy)
        simulation.run(1.0)
    assert not machine.tasks, (
        "late copies must not delay the expiry of the lease, which proves that the tasks are gone"
    )


def test_deposed_leader_that_reaches_only_workers_answers_heartbeats_with_421():
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=4, run_s=60.0))
    simulation.run_until(lambda: present_task_count(simulation) == 4, 60)
    old_leader, starts = simulation.leader(), simulation.starts
    simulation.kvstore_refuses.add(old_leader)
    for name in simulation.node_names:
        if name != old_leader:
            simulation.cut(old_leader, name)
    simulation.run_until(lambda: simulation.leader() not in (None, old_leader), 10)
    answers = []
    body = simulation.cloud.workers()[0].sent_heartbeats[-1][1]
    simulation.nodes[old_leader].worker_heartbeat(
        simulation.now, WorkerRequest(lambda s, b: answers.append(s)), body
    )
    simulation.process_outbox(old_leader)
    assert answers == [421]
    simulation.run_until(finished(simulation, 1), 120)
    assert simulation.starts == starts and not simulation.violations

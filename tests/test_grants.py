"""Shards and their owners: grants, reassignments, and replication between the members."""

import random

from copperpass.core.shards.replication import (
    ReplicationLog,
    ReplicationReceiver,
    ReplicationSender,
)
from copperpass.protocol.frames.messages import Grant, MachineStatus, ShardAssignment
from tests.request_bodies import job
from tests.simulation import Simulation


def owners(simulation):
    return {
        scheduler.shard: name
        for name, node in simulation.nodes.items()
        for scheduler in node.schedulers
        if node.grant_client.has_authority(simulation.now) and scheduler.ready
    }


def partitioned(seed=1):
    simulation = Simulation(seed=seed, partitioned=True)
    simulation.run_until(lambda: simulation.leader() and len(owners(simulation)) == 2, 20)
    return simulation


def running(simulation, team=None):
    tasks = [task for worker in simulation.cloud.workers() for task in worker.present_tasks()]
    teams = (simulation.specs[task.split("/")[0]]["desk"] for task in tasks)
    return sum(1 for owner in teams if team in (None, owner))


def started(simulation):
    simulation.submit(job(1, tasks=4, run_s=90.0))
    simulation.submit(job(2, tasks=4, run_s=90.0, team="blue"))
    simulation.run_until(lambda: running(simulation) == 8, 60)


def completed(simulation, *numbers):
    return lambda: all(f"d/job/req-{n:06d}" in simulation.kvstore.data for n in numbers)


def test_teams_go_to_different_members_and_run_on_machines_of_their_own():
    simulation = partitioned()
    assert (
        len(set(owners(simulation).values())) == 2
        and simulation.leader() not in owners(simulation).values()
    )
    started(simulation)
    for worker in simulation.cloud.workers():
        assert len({simulation.specs[t.split("/")[0]]["desk"] for t in worker.present_tasks()}) <= 1
    simulation.run_until(completed(simulation, 1, 2), 300)
    assert not simulation.violations


def test_an_owners_crash_costs_its_team_seconds_and_no_task():
    simulation = partitioned()
    started(simulation)
    starts, owner = simulation.starts, owners(simulation)[0]
    simulation.crash(owner, restart_after_s=8.0)
    crashed_at = simulation.now
    simulation.run_until(lambda: owners(simulation).get(0) not in (None, owner), 6)
    simulation.submit(job(3, tasks=1, run_s=5.0))
    simulation.run_until(lambda: running(simulation) == 9, 10)
    assert simulation.now - crashed_at < simulation.lease_s
    simulation.run_until(completed(simulation, 1, 2, 3), 300)
    assert simulation.starts == starts + 1 and not simulation.violations


def test_machines_outlive_a_reassignment_long_after_they_were_provisioned():
    # A new owner without heartbeats from its machines yet reported them as not registered, and the
    # leader took them for machines that never came up and deleted hundreds.
    simulation = partitioned()
    started(simulation)
    simulation.run(6 * 10.0)
    before = {worker.name for worker in simulation.cloud.workers() if worker.present_tasks()}
    simulation.crash(owners(simulation)[0], restart_after_s=8.0)
    simulation.run(12.0)
    assert before <= {worker.name for worker in simulation.cloud.workers()}


def test_an_owner_cut_off_stops_before_its_shard_is_assigned_to_another():
    simulation = partitioned()
    started(simulation)
    owner = owners(simulation)[0]
    for name in simulation.node_names:
        if name != owner:
            simulation.cut(owner, name)
    end = simulation.now + 12.0
    reassigned = False
    while simulation.now < end:
        simulation.run(0.02)
        entitled_members = [
            n
            for n, node in simulation.nodes.items()
            for scheduler in node.schedulers
            if scheduler.shard == 0 and node.grant_client.has_authority(simulation.now)
        ]
        assert len(entitled_members) <= 1
        reassigned = reassigned or entitled_members not in ([], [owner])
    assert reassigned
    simulation.heal()
    simulation.run_until(completed(simulation, 1, 2), 300)
    assert not simulation.violations


def test_a_leaders_crash_costs_no_task():
    simulation = partitioned()
    started(simulation)
    starts, old = simulation.starts, simulation.leader()
    simulation.crash(old, restart_after_s=8.0)
    simulation.run_until(
        lambda: simulation.leader() not in (None, old) and len(owners(simulation)) == 2, 12
    )
    simulation.run_until(completed(simulation, 1, 2), 300)
    assert simulation.starts == starts and not simulation.violations


def test_an_owner_back_within_a_fraction_of_a_second_owns_nothing_of_its_earlier_run():
    simulation = partitioned()
    started(simulation)
    starts, owner = simulation.starts, owners(simulation)[0]
    simulation.crash(owner, restart_after_s=0.2)
    simulation.run(0.3)
    assert not simulation.nodes[owner].schedulers
    simulation.run_until(lambda: len(owners(simulation)) == 2, 10)
    simulation.run_until(completed(simulation, 1, 2), 300)
    assert simulation.starts == starts and not simulation.violations


def test_an_idle_machine_moves_to_the_team_that_needs_it():
    simulation = partitioned()
    for place in simulation.cloud.capacity:
        simulation.cloud.capacity[place] = 1 if place == ("a", True) else 0
    simulation.submit(job(1, tasks=1, run_s=5.0))
    simulation.run_until(completed(simulation, 1), 90)
    machine = simulation.cloud.workers()[0]
    simulation.submit(job(2, tasks=1, run_s=5.0, team="blue"))
    simulation.run_until(lambda: running(simulation, "blue") == 1, 8)
    assert [worker.name for worker in simulation.cloud.workers()] == [
        machine.name
    ] and not simulation.violations


def test_a_grant_that_a_newer_one_has_overtaken_changes_nothing():
    simulation = partitioned()
    name = owners(simulation)[0]
    grant_client = simulation.nodes[name].grant_client
    number = max(grant_client.requests.request_times)
    stale = Grant(
        grant_client.epoch,
        grant_client.incarnation,
        number - 2,
        99000,
        1,
        True,
        0,
        (ShardAssignment(1, name, 99, 1, 0),),
    )
    valid_until = grant_client.requests.valid_until
    grant_client.on_grant(simulation.now, grant_client.leader, stale)
    assert grant_client.requests.valid_until == valid_until and set(grant_client.schedulers) == {0}


def test_a_shard_of_the_leaders_own_is_reassigned_to_a_member_that_comes_back():
    # The first to lead once kept all shards for good, and its processor served the whole fleet.
    simulation = partitioned()
    started(simulation)
    starts, owner = simulation.starts, owners(simulation)[1]
    simulation.crash(owner, restart_after_s=6.0)
    simulation.run_until(lambda: owners(simulation).get(1) == simulation.leader(), 8)
    simulation.run_until(lambda: owners(simulation).get(1) == owner, 4 * simulation.lease_s)
    simulation.submit(job(3, team="blue", tasks=1, run_s=5.0))
    simulation.run_until(lambda: running(simulation, "blue") == 5, 25)
    assert simulation.leader() not in owners(simulation).values()
    simulation.run_until(completed(simulation, 1, 2, 3), 300)
    assert simulation.starts == starts + 1 and not simulation.violations


def test_logs_arrive_whole_over_links_that_lose_delay_and_repeat_frames():
    # A batch held back on an old connection once brought back what newer ones had replaced.
    rng = random.Random(4)
    log, receiver, applied, delayed = ReplicationLog(), ReplicationReceiver(), {}, []
    sender = ReplicationSender(log)
    for step in range(600):
        if step < 400:
            log.put(MachineStatus(f"m-{rng.randint(1, 40)}", step))
        batch = sender.next_batch(5)
        if rng.random() < 0.4:
            delayed.append(batch)
        arrived = [batch] if rng.random() < 0.6 else []
        if delayed and rng.random() < 0.3:
            arrived.append(delayed.pop(rng.randrange(len(delayed))))
        for after_sequence, last_sequence, entries in arrived:
            if receiver.accept(after_sequence, last_sequence):
                applied.update({entry.name: entry for entry in entries})
        if rng.random() < 0.7:
            sender.on_acknowledged(receiver.applied_sequence)
    assert applied == {name: entry for name, (_, entry) in log.entries.items()}

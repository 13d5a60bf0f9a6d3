"""Shards and their owners: grants, reassignment, and replication between members."""

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
    """The members that have authority over each shard and are ready, by shard."""
    return {
        scheduler.shard: name
        for name, node in simulation.nodes.items()
        for scheduler in node.schedulers
        if node.grant_client.has_authority(simulation.now) and scheduler.ready
    }


def sharded_simulation(seed=1):
    """A simulation with a leader and an owner for each of the two shards."""
    simulation = Simulation(seed=seed, partitioned=True)
    simulation.run_until(lambda: simulation.leader() and len(owners(simulation)) == 2, 20)
    return simulation


def running_count(simulation, team=None):
    """How many tasks run; with `team`, only those of that team."""
    tasks = [task for worker in simulation.cloud.workers() for task in worker.present_tasks()]
    teams = (simulation.specs[task.split("/")[0]]["desk"] for task in tasks)
    return sum(1 for task_team in teams if team in (None, task_team))


def start_tasks_of_both_teams(simulation):
    simulation.submit(job(1, tasks=4, run_s=90.0))
    simulation.submit(job(2, tasks=4, run_s=90.0, team="blue"))
    simulation.run_until(lambda: running_count(simulation) == 8, 60)


def completed(simulation, *numbers):
    """A condition for `run_until`: the jobs with these numbers have completed."""
    return lambda: all(f"d/job/req-{n:06d}" in simulation.kvstore.data for n in numbers)


def test_shards_are_owned_by_different_members_and_teams_share_no_machine():
    simulation = sharded_simulation()
    assert (
        len(set(owners(simulation).values())) == 2
        and simulation.leader() not in owners(simulation).values()
    )
    start_tasks_of_both_teams(simulation)
    for worker in simulation.cloud.workers():
        assert len({simulation.specs[t.split("/")[0]]["desk"] for t in worker.present_tasks()}) <= 1
    simulation.run_until(completed(simulation, 1, 2), 300)
    assert not simulation.violations


def test_shard_is_reassigned_within_seconds_and_no_task_is_lost_when_its_owner_crashes():
    simulation = sharded_simulation()
    start_tasks_of_both_teams(simulation)
    starts, owner = simulation.starts, owners(simulation)[0]
    simulation.crash(owner, restart_after_s=8.0)
    crashed_at = simulation.now
    simulation.run_until(lambda: owners(simulation).get(0) not in (None, owner), 6)
    simulation.submit(job(3, tasks=1, run_s=5.0))
    simulation.run_until(lambda: running_count(simulation) == 9, 10)
    assert simulation.now - crashed_at < simulation.lease_s
    simulation.run_until(completed(simulation, 1, 2, 3), 300)
    assert simulation.starts == starts + 1 and not simulation.violations


def test_busy_machines_are_not_deleted_when_their_shard_is_reassigned_long_after_boot():
    # A new owner that had received no heartbeats yet reported its machines as not registered. The
    # leader took them for machines that had never come up, since they had been provisioned long
    # before (here six boot times of 10 s), and deleted hundreds.
    simulation = sharded_simulation()
    start_tasks_of_both_teams(simulation)
    simulation.run(6 * 10.0)
    busy_machines = {worker.name for worker in simulation.cloud.workers() if worker.present_tasks()}
    simulation.crash(owners(simulation)[0], restart_after_s=8.0)
    simulation.run(12.0)
    assert busy_machines <= {worker.name for worker in simulation.cloud.workers()}


def test_partitioned_owner_loses_authority_before_its_shard_is_reassigned():
    simulation = sharded_simulation()
    start_tasks_of_both_teams(simulation)
    owner = owners(simulation)[0]
    for name in simulation.node_names:
        if name != owner:
            simulation.cut(owner, name)
    end = simulation.now + 12.0
    reassigned = False
    while simulation.now < end:
        simulation.run(0.02)
        members_with_authority = [
            name
            for name, node in simulation.nodes.items()
            for scheduler in node.schedulers
            if scheduler.shard == 0 and node.grant_client.has_authority(simulation.now)
        ]
        assert len(members_with_authority) <= 1
        reassigned = reassigned or members_with_authority not in ([], [owner])
    assert reassigned
    simulation.heal()
    simulation.run_until(completed(simulation, 1, 2), 300)
    assert not simulation.violations


def test_no_task_is_lost_when_the_leader_crashes():
    simulation = sharded_simulation()
    start_tasks_of_both_teams(simulation)
    starts, crashed_leader = simulation.starts, simulation.leader()
    simulation.crash(crashed_leader, restart_after_s=8.0)
    simulation.run_until(
        lambda: simulation.leader() not in (None, crashed_leader) and len(owners(simulation)) == 2,
        12,
    )
    simulation.run_until(completed(simulation, 1, 2), 300)
    assert simulation.starts == starts and not simulation.violations


def test_owner_that_restarts_at_once_does_not_own_the_shards_of_its_earlier_run():
    simulation = sharded_simulation()
    start_tasks_of_both_teams(simulation)
    starts, owner = simulation.starts, owners(simulation)[0]
    simulation.crash(owner, restart_after_s=0.2)
    simulation.run(0.3)
    assert not simulation.nodes[owner].schedulers
    simulation.run_until(lambda: len(owners(simulation)) == 2, 10)
    simulation.run_until(completed(simulation, 1, 2), 300)
    assert simulation.starts == starts and not simulation.violations


def test_idle_machine_is_reassigned_to_the_team_that_needs_it():
    simulation = sharded_simulation()
    for group in simulation.cloud.capacity:
        simulation.cloud.capacity[group] = 1 if group == ("a", True) else 0
    simulation.submit(job(1, tasks=1, run_s=5.0))
    simulation.run_until(completed(simulation, 1), 90)
    idle_worker = simulation.cloud.workers()[0]
    simulation.submit(job(2, tasks=1, run_s=5.0, team="blue"))
    simulation.run_until(lambda: running_count(simulation, "blue") == 1, 8)
    assert [worker.name for worker in simulation.cloud.workers()] == [
        idle_worker.name
    ] and not simulation.violations


def test_stale_grant_is_ignored_after_a_newer_one():
    simulation = sharded_simulation()
    name = owners(simulation)[0]
    grant_client = simulation.nodes[name].grant_client
    last_request_number = max(grant_client.requests.request_times)
    stale = Grant(
        grant_client.epoch,
        grant_client.incarnation,
        last_request_number - 2,
        99000,
        1,
        True,
        0,
        (ShardAssignment(1, name, 99, 1, 0),),
    )
    valid_until = grant_client.requests.valid_until
    grant_client.on_grant(simulation.now, grant_client.leader, stale)
    assert grant_client.requests.valid_until == valid_until and set(grant_client.schedulers) == {0}


def test_shard_owned_by_the_leader_is_reassigned_when_its_former_owner_restarts():
    # The first leader once kept all shards permanently, so its processor scheduled all machines.
    simulation = sharded_simulation()
    start_tasks_of_both_teams(simulation)
    starts, owner = simulation.starts, owners(simulation)[1]
    simulation.crash(owner, restart_after_s=6.0)
    simulation.run_until(lambda: owners(simulation).get(1) == simulation.leader(), 8)
    simulation.run_until(lambda: owners(simulation).get(1) == owner, 4 * simulation.lease_s)
    simulation.submit(job(3, team="blue", tasks=1, run_s=5.0))
    simulation.run_until(lambda: running_count(simulation, "blue") == 5, 25)
    assert simulation.leader() not in owners(simulation).values()
    simulation.run_until(completed(simulation, 1, 2, 3), 300)
    assert simulation.starts == starts + 1 and not simulation.violations


def test_replicated_log_is_complete_over_links_that_lose_delay_and_repeat_frames():
    # A batch delayed on an old connection once restored entries that newer batches had replaced.
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

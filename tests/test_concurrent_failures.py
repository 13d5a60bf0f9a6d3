"""Two troubles meet: a short story for each meeting that has been seen to break a rule."""

import json
import random

import pytest

from copperpass.core.election.leader_election import LeaderElection, election_timings
from copperpass.core.kvstore.keys import FENCING_TOKEN_KEY
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome, Outbox
from copperpass.protocol.frames.messages import LeaseExtensionRequest, MachineContact
from copperpass.protocol.json_codec import encode
from copperpass.protocol.workers import TaskStatus, WorkerHeartbeat
from copperpass.settings import parse
from tests.bodies import job, raw_settings
from tests.simulation import Simulation, User
from tests.test_shard_scheduler import Bench


def running(simulation):
    return sum(len(w.on_it()) for w in simulation.cloud.workers())


def make_unreachable(simulation, worker, trouble, hang_s):
    """Break contact with a machine: `deaf`, `mute`, `hung` for a while, or cut off."""
    if trouble == "deaf":
        simulation.deaf.add(worker.name)
    elif trouble == "mute":
        simulation.mute.add(worker.name)
    elif trouble == "hung":
        worker.hang(hang_s)
    else:
        for name in simulation.names:
            simulation.cut(name, worker.name)


def started_simulation(jobs, count, seed=1, **more):
    """A simulation with jobs that run."""
    simulation = Simulation(seed=seed, **more)
    simulation.run_until(simulation.leader)
    for spec in jobs:
        simulation.submit(spec)
    simulation.run_until(lambda: running(simulation) >= count, 90)
    return simulation


def step(simulation, seconds):
    """Let time pass, with the rules that are checked as it goes."""
    end = simulation.now + seconds
    while simulation.now < end:
        simulation.run(min(1.0, end - simulation.now))
        simulation.leader()
        simulation.check_owners()
        simulation.check_cancelled()
        simulation.check_sums()


def over(simulation, number):
    return f"d/job/req-{number:06d}" in simulation.state.data


def new_leader(simulation, old, seconds=60.0):
    simulation.run_until(lambda: simulation.leader() not in (None, old), seconds)
    return simulation.leader()


@pytest.mark.parametrize("partitioned", [False, True])
def test_more_work_than_room_urgent_and_not_over_slow_links(partitioned):
    simulation = Simulation(seed=3, partitioned=partitioned)
    simulation.cloud.capacity = {(z, s): 1 for z in "abc" for s in (True, False)}
    simulation.run_until(simulation.leader)
    simulation.lag = (0.05, 0.2)
    for n in range(1, 31):
        simulation.submit(
            job(
                n,
                team="red" if n % 2 else "blue",
                tasks=3,
                cpus=4.0,
                run_s=8.0,
                urgency="production" if n % 5 == 0 else "low",
                slot="quick" if n % 3 else "none",
            )
        )
        step(simulation, 1.0)
    # The largest must begin within four minutes, whatever small ones are about.
    simulation.submit(job(99, tasks=1, cpus=16.0, run_s=5.0, slot="none"))
    for n in range(31, 70):
        simulation.submit(job(n, team="red" if n % 2 else "blue", tasks=3, cpus=4.0, run_s=8.0))
        step(simulation, 3.0)
    step(simulation, 120.0)
    assert over(simulation, 99)
    simulation.finish(400.0)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_transactions_without_an_answer_are_carried_out_after_newer_ones(seed, partitioned):
    simulation = Simulation(seed=seed, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.late_writes = 0.25
    asked = {}
    for n in range(1, 26):
        spec = job(n, tasks=1 + n % 3, cpus=2.0, run_s=4.0 + n % 7)
        asked[n] = simulation.submit(spec)
        step(simulation, 1.0)
        if asked[n].status not in (200, 201):
            asked[n] = simulation.submit(spec)
        if n % 4 == 0:
            simulation.cancel(f"req-{n:06d}")
        if n % 9 == 0:
            simulation.crash(simulation.rng.choice(simulation.names), 0.3)
        simulation.poll(f"req-{max(1, n - 5):06d}")
        step(simulation, 2.0)
    simulation.finish()


def test_jobs_of_a_few_tasks_end_far_apart_across_a_change_of_leader():
    # Of many lengths, so that some end after each change.
    simulation = started_simulation(
        [job(n, tasks=3, cpus=1.0, run_s=6.0 + 6.0 * n) for n in range(1, 11)], 24
    )
    simulation.late_writes = 0.2
    for _ in range(4):
        ended = len(simulation.completed)
        simulation.run_until(lambda before=ended: len(simulation.completed) > before, 60)
        simulation.run(0.4)
        old = simulation.leader()
        if old:
            simulation.crash(old, 3.0)
        step(simulation, 4.0)
    simulation.finish()


@pytest.mark.parametrize("seed", range(1, 5))
def test_cancellations_questions_and_repeats_meet_the_end_of_the_last_task(seed):
    simulation = Simulation(seed=seed)
    simulation.run_until(simulation.leader)
    # Holds the guards on the version of the live record in `UserApi.cancel`,
    # `JobResults.store` and on both keys in `UserApi.submit`. Slow answers let an end come
    # between a read and a write.
    simulation.slow_state = 0.25 if seed > 2 else 0.0
    users = []
    for n in range(1, 21):
        spec = job(n, tasks=1, cpus=1.0, run_s=3.0)
        simulation.submit(spec)
        step(simulation, 2.0)
    for n in range(21, 41):
        simulation.submit(job(n, tasks=1, cpus=1.0, run_s=3.0))
        task = f"req-{n:06d}/0"
        simulation.run_until(lambda t=task: t in simulation.completed, 60)
        for _ in range(8):
            simulation.run(simulation.rng.uniform(0.0, 0.12))
            users += [
                simulation.poll(f"req-{n:06d}"),
                simulation.submit(simulation.specs[f"req-{n:06d}"]),
            ]
            if n % 2:
                users.append(simulation.cancel(f"req-{n:06d}"))
    simulation.run(4.0)
    assert {u.status for u in users} == {200}
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease(partitioned):
    specs = [job(n, tasks=3, run_s=30.0, team="red" if n % 2 else "blue") for n in range(1, 7)]
    simulation = started_simulation(specs, 12, partitioned=partitioned)
    for zone, name in (("a", "n0"), ("b", "n1"), ("c", "n2")):
        inside = {name, *(w.name for w in simulation.cloud.workers() if w.zone == zone)}
        outside = {*simulation.names, *(w.name for w in simulation.cloud.workers())} - inside
        for one in inside:
            for other in [*outside, "state", "cloud"]:
                simulation.cut(one, other)
        for n in (1, 2):
            simulation.cancel(f"req-{n:06d}")
        step(simulation, 1.5 * simulation.lease_s)
        simulation.heal()
        step(simulation, 5.0)
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_leaders_change_ten_times_in_two_minutes_also_inside_an_outage(partitioned):
    specs = [job(n, tasks=4, cpus=2.0, run_s=60.0) for n in range(1, 6)]
    simulation = started_simulation(specs, 20, partitioned=partitioned)
    for turn in range(10):
        old = simulation.leader()
        if old is not None:
            if turn % 3:
                simulation.crash(old, simulation.rng.choice([0.1, 0.5, 3.0]))
            else:
                simulation.nodes[old].election.step_down(simulation.now, "told to")
        if turn in (3, 7):
            simulation.outage(8.0)
        simulation.submit(job(10 + turn, tasks=2, cpus=1.0, run_s=5.0))
        step(simulation, 10.0)
    simulation.finish()


@pytest.mark.parametrize("back", [0.2, 4.0])
def test_all_controllers_are_away_for_longer_than_a_lease(back):
    simulation = started_simulation([job(n, tasks=3, run_s=40.0) for n in range(1, 5)], 12)
    names = list(simulation.names)
    for n, name in enumerate(names):
        simulation.crash(name, 1.5 * simulation.lease_s + n * back)
    simulation.run(1.5 * simulation.lease_s + 10.0)
    assert all(not w.on_it() or w.session > 1 for w in simulation.cloud.workers())
    simulation.finish()


@pytest.mark.parametrize("trouble", ["unreachable", "deaf", "mute", "hung"])
@pytest.mark.parametrize("partitioned", [False, True])
def test_a_leader_ends_while_machines_with_long_tasks_do_not_hear_the_new_one(trouble, partitioned):
    # Holds what is unseen in `Demand.is_startable`.
    simulation = started_simulation(
        [job(n, tasks=4, run_s=100.0, slot="slow") for n in (1, 2)], 8, partitioned=partitioned
    )
    victims = [w for w in simulation.cloud.workers() if w.on_it()][:2]
    old = simulation.leader()
    for worker in victims:
        make_unreachable(simulation, worker, trouble, 0.8 * simulation.lease_s)
    simulation.crash(old, 6.0)
    new_leader(simulation, old)
    simulation.cancel("req-000001")
    simulation.submit(job(3, tasks=4, run_s=5.0))
    step(simulation, 2.5 * simulation.lease_s)
    simulation.finish(500.0)


@pytest.mark.parametrize("back", [0.3, 5.0])
def test_jobs_are_cancelled_while_nobody_leads(back):
    # Holds "job over" in `_match_job` and `_update`: the new leader never saw the job.
    simulation = started_simulation([job(n, tasks=3, run_s=400.0) for n in (1, 2)], 6)
    simulation.crash(simulation.leader(), back)
    users = [simulation.cancel(f"req-{n:06d}") for n in (1, 2)]
    step(simulation, 1.2 * simulation.cancel_s)
    assert [u.status for u in users] == [200, 200] and not running(simulation)
    simulation.finish()


@pytest.mark.parametrize("share", ["some", "zone", "all"])
def test_workers_reach_no_controller_while_direct_commands_reach_them(share):
    simulation = started_simulation([job(n, tasks=2, run_s=6.0) for n in range(1, 5)], 8)
    workers = simulation.cloud.workers()
    chosen = {"some": workers[:1], "zone": [w for w in workers if w.zone == "a"], "all": workers}
    simulation.mute = {w.name for w in chosen[share]}
    # New work all the time: direct commands go on, and their answers must not pass for reports.
    for n in range(10, 10 + int(3 * simulation.lease_s)):
        simulation.submit(job(n, tasks=1, cpus=1.0, run_s=25.0 if n % 3 else 2.0))
        step(simulation, 1.0)
    if share == "some":
        assert not any(w.name in simulation.mute for w in simulation.cloud.workers()), "still kept"
    simulation.finish(500.0)


def test_a_report_is_held_back_until_a_new_leader_has_acted():
    simulation = started_simulation([job(n, tasks=2, run_s=20.0) for n in range(1, 5)], 8)
    held = [(w, w.sent[-1][1]) for w in simulation.cloud.workers()]
    old = simulation.leader()
    simulation.crash(old, 4.0)
    new = new_leader(simulation, old)
    simulation.run_until(
        lambda: any(o.ready for n in simulation.nodes.values() for o in n.schedulers), 10
    )
    simulation.cancel("req-000001")
    for _ in range(10):
        for _, body in held:
            simulation.copy(new, body)
        step(simulation, 2.0)
    simulation.finish()


def test_old_reports_arrive_after_newer_ones_also_of_earlier_sessions_and_attempts():
    # Holds the comparison of session and number in `HeartbeatHandler.report`.
    simulation = Simulation(seed=4)
    simulation.run_until(simulation.leader)
    simulation.late_reports = 0.4
    for n in range(1, 31):
        simulation.submit(job(n, tasks=2, cpus=4.0, run_s=6.0))
        if n in (10, 20):
            # A lease that runs out makes a new session; what was said before it comes after.
            for worker in simulation.cloud.workers()[:2]:
                worker.hang(1.2 * simulation.lease_s)
        if n in (12, 25):
            simulation.crash(simulation.rng.choice(simulation.names), 0.2)
        step(simulation, 2.0)
    simulation.finish()


@pytest.mark.parametrize("for_s", [2.0, 5.0, 10.0, 14.0])
def test_a_command_or_its_answer_is_held_up_for_seconds_and_the_machine_goes_on(for_s):
    simulation = started_simulation([job(1, tasks=4, run_s=50.0)], 4)
    for n in range(2, 14):
        simulation.submit(job(n, tasks=2, cpus=2.0, run_s=4.0 if n % 2 else 60.0))
        for worker in simulation.cloud.workers():
            if simulation.rng.random() < 0.3 and not worker.hung:
                worker.hang(for_s)
        simulation.run(simulation.rng.uniform(0.0, 0.6))
        if n % 3 == 0:
            simulation.cancel(f"req-{n:06d}")
        step(simulation, 3.0)
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_jobs_bound_to_one_zone_lose_machines(partitioned):
    # Holds `zone_feasible`.
    simulation = Simulation(seed=2, partitioned=partitioned)
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=6, cpus=8.0, run_s=15.0, hall="b"))
    simulation.submit(job(2, tasks=6, cpus=8.0, run_s=15.0, same_place=True, team="blue"))
    simulation.submit(job(3, tasks=5, cpus=8.0, run_s=15.0, hall="b", borrowed=False))
    simulation.submit(job(4, tasks=4, cpus=4.0, run_s=15.0, spread=True, hall="c"))
    simulation.submit(job(5, tasks=4, cpus=4.0, run_s=15.0, spread=True, same_place=True))
    simulation.run_until(lambda: running(simulation) >= 8, 90)
    for _ in range(3):
        for worker in [w for w in simulation.cloud.workers() if w.on_it()][::2]:
            simulation.cloud.take(worker.name)
        step(simulation, 12.0)
    simulation.finish(400.0)


def test_the_zone_that_a_job_is_tied_to_gets_the_machines():
    # Guards `provisioning.with_zone_affinity`. Provisioned elsewhere, machines were of no use: they
    # idled, were returned, and were requested again.
    simulation = Simulation(seed=2)
    simulation.cloud.capacity = {(z, s): 6 for z in "abc" for s in (True, False)}
    simulation.run_until(simulation.leader)
    simulation.submit(job(1, tasks=1, cpus=16.0, run_s=200.0, same_place=True, slot="none"))
    simulation.run_until(lambda: running(simulation) == 1, 60)
    simulation.submit(job(2, tasks=3, cpus=16.0, run_s=120.0, same_place=True))
    simulation.run_until(lambda: running(simulation) == 4, 60)
    simulation.finish(500.0)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("trouble", ["cut", "deaf", "hung"])
def test_a_team_is_at_its_limit_when_the_leader_changes_and_a_job_is_cancelled(
    partitioned, trouble
):
    specs = [job(n, tasks=3, cpus=4.0, run_s=90.0, team="blue") for n in range(1, 5)]
    # Holds `_usage`'s count of what may run unseen: room is free, and later jobs start at once.
    room = job(8, tasks=12, cpus=4.0, run_s=1.0)
    simulation = started_simulation(
        [room, *specs, job(9, tasks=2, run_s=50.0)], 14, partitioned=partitioned
    )
    simulation.run_until(lambda: over(simulation, 8), 60)
    for n in range(20, 24):
        simulation.submit(job(n, tasks=3, cpus=4.0, run_s=5.0, team="blue"))
    simulation.run(3.0)
    old = simulation.leader()
    for worker in [w for w in simulation.cloud.workers() if w.on_it()][::2]:
        make_unreachable(simulation, worker, trouble, 0.9 * simulation.lease_s)
    simulation.crash(old, 1.0)
    simulation.run(1.5)
    users = [simulation.cancel("req-000001")]
    new_leader(simulation, old if old not in simulation.nodes else None)
    for n in range(30, 36):
        simulation.submit(job(n, tasks=4, cpus=4.0, run_s=20.0, team="blue"))
        simulation.run(0.5)
    users.append(simulation.cancel("req-000002"))
    step(simulation, 2.0 * simulation.lease_s)
    assert {u.status for u in users} <= {200, 503}
    simulation.finish(600.0)


def test_the_state_service_answers_slowly_while_users_cancel_and_ask():
    simulation = started_simulation(
        [job(n, tasks=2, cpus=2.0, run_s=10.0) for n in range(1, 9)], 12
    )
    simulation.slow_state = 0.5
    for n in range(10, 25):
        simulation.submit(job(n, tasks=2, cpus=2.0, run_s=6.0))
        simulation.cancel(f"req-{n - 6:06d}" if n % 2 else "req-000003")
        simulation.poll(f"req-{n - 2:06d}")
        step(simulation, 2.0)
    simulation.finish()


@pytest.mark.parametrize("partitioned", [False, True])
def test_a_leader_keeps_workers_and_users_alone_and_jobs_are_cancelled_elsewhere(partitioned):
    # Holds the end of authority in `LeaderElection.has_authority`.
    specs = [job(n, tasks=2, run_s=120.0, slot="slow") for n in range(1, 7)]
    simulation = started_simulation(specs, 12, partitioned=partitioned)
    old = simulation.leader()
    simulation.isolate(old)
    new = new_leader(simulation, old)
    users = [simulation.cancel(f"req-{n:06d}", new) for n in range(1, 4)]
    alone = [simulation.poll(f"req-{n:06d}", old) for n in range(1, 7)]
    step(simulation, 1.2 * simulation.cancel_s)
    assert [u.status for u in users] == [200] * 3 and all(p.status == 503 for p in alone)
    simulation.finish(500.0)


@pytest.mark.parametrize("partitioned", [False, True])
@pytest.mark.parametrize("back", [0.1, 0.6, 5.0])
def test_controllers_hand_over_and_back_all_end_and_one_returns(back, partitioned):
    simulation = started_simulation(
        [job(n, tasks=4, cpus=2.0, run_s=60.0) for n in range(1, 5)], 16, partitioned=partitioned
    )
    first = simulation.leader()
    simulation.nodes[first].election.step_down(simulation.now, "hand over", backoff_s=3.0)
    second = new_leader(simulation, first)
    simulation.nodes[second].election.step_down(simulation.now, "hand back", backoff_s=3.0)
    new_leader(simulation, second)
    for name in simulation.names:
        simulation.crash(name, back if name == first else 8.0)
    simulation.run(1.0)
    step(simulation, 12.0)
    simulation.finish()


@pytest.mark.parametrize("length", [1.0, 1.2, 2.0])
def test_a_leader_is_refused_alone_for_about_the_life_of_its_key(length):
    """Its key ends while promises carry it, it wins again: members must get grants again."""
    specs = [job(n, tasks=4, run_s=40.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=True)
    old = simulation.leader()
    simulation.refused.add(old)
    step(simulation, length * 0.22 * simulation.lease_s)
    simulation.refused.clear()
    for _ in range(60):
        simulation.run(0.1)
        simulation.check_owners()
    step(simulation, 3.0 * simulation.lease_s)
    owners = {o.shard: n for n, node in simulation.nodes.items() for o in node.schedulers}
    assert len(set(owners.values())) == 2, "one member has all shards for good"
    simulation.finish()


def test_a_term_that_goes_on_assigns_no_shard_while_grants_of_the_one_before_run():
    # Holds `ClusterManager.wait_out`.
    simulation = started_simulation([job(1, tasks=4, run_s=20.0)], 4, partitioned=True)
    node = simulation.nodes[simulation.leader()]
    grantee = next(t for n, t in node.cluster_manager.grantees.items() if n != simulation.leader())
    grantee.grants_expire_at = simulation.now + 3.0
    node._authority_changed(simulation.now, True, True)
    simulation.run(2.9)
    assert not any(p.owner for p in node.cluster_manager.shards.values())
    simulation.run(1.0)
    assert all(p.owner for p in node.cluster_manager.shards.values())
    simulation.finish()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_leader_on_a_bridge_wins_again_while_the_others_cannot_see_it(seed):
    specs = [job(n, tasks=4, run_s=40.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=True, seed=seed)
    old, life = simulation.leader(), 0.22 * simulation.lease_s
    token = simulation.nodes[old].election.token
    simulation.refused.add(old)
    step(simulation, 1.1 * life)
    simulation.refused = set(simulation.names) - {old}
    for _ in range(100):
        simulation.run(0.05)
        simulation.check_owners()
    again = simulation.nodes[old].election
    assert again.is_leader and again.token > token, "it was to win again"
    simulation.finish()


def test_a_question_that_read_a_job_before_its_end_is_asked_again():
    # Holds `removed` in `UserApi.lookup`: the view has seen the end, others may have told it.
    simulation = Simulation()
    simulation.run_until(simulation.leader)
    node = simulation.nodes["n0"]
    node.out.calls.clear()
    node.user_api.poll(simulation.now, User(), "req-000001")
    (read,) = node.out.calls
    node.out.calls.clear()
    node.user_api.note_removed("req-000001")
    item = {"path": "c/live/req-000001", "value": {"spec": job(1)}, "stamp": 3}
    read.then(simulation.now, CallOutcome(200, json.dumps(item).encode()))
    assert not node.out.replies
    assert [c.path for c in node.out.calls] == ["/kv/d/job/req-000001"]


ODD = [
    (400, {"cpus": True}),
    (400, {"cpus": "4.0"}),
    (400, {"pages": True}),
    (400, {"pages": "2"}),
    (400, {"pages": 2.5}),
    (400, {"pages": -1}),
    (400, {"pages": 10**20}),
    (400, {"pages": None}),
    (400, {"cpus": None}),
    (400, {"edition_s": -1.0}),
    (400, {"edition_s": "soon"}),
    (400, {"hall": 3}),
    (400, {"racks": [1]}),
    (400, {"same_place": 1}),
    (400, {"slot": ""}),
    (400, {"memory_gb": -0.1}),
    (400, {"flush_s": -1.0}),
    (400, {"desk": None}),
    # Names of types that don't exist aren't stored; what can't be stored at all is refused.
    (201, {"racks": ["box", *(f"none-{n:030d}" for n in range(1000))]}),
    (422, {"master": "m" * 40_000}),
    (422, {"racks": ["box"], "slot": "s" * 40_000}),
    (422, {"cpus": 1e300}),
    (422, {"memory_gb": 1e18}),
    (422, {"cards": 1e-3}),
    (422, {"racks": []}),
    (422, {"racks": ["?"], "hall": "a"}),
    (422, {"hall": ""}),
    (201, {"cpus": 0.0, "memory_gb": 0.0}),
    (201, {"cpus": 4}),
    (201, {"edition_s": 0.0}),
    (201, {"spread": True, "same_place": True, "pages": 3}),
    (201, {"spread": True, "hall": "a", "pages": 3}),
    (201, {"racks": ["box", "?"]}),
    (201, {"cpus": 0.0}),
    (201, {"runtime_s": 0.0}),
]


def test_odd_submissions_get_the_same_answer_each_time_and_what_is_accepted_runs():
    simulation = Simulation(seed=6)
    simulation.run_until(simulation.leader)
    simulation.run(2.0)
    for n, (status, odd) in enumerate(ODD, 1):
        spec = {**job(n, tasks=1, run_s=3.0), **odd}
        for name in simulation.names:
            if status == 201:
                user = simulation.submit(spec, name)
            else:
                raw = json.dumps(spec).encode()
                user = simulation.ask(
                    lambda user_api, u, r=raw: user_api.submit(simulation.now, u, r), name
                )
            simulation.run(0.3)
            assert user.status == status or (status, user.status) == (201, 200), (odd, user.body)
    for raw in (b"NaN", b"Infinity", b"-Infinity", b"1e999", b"[]", b"{}"):
        body = json.dumps(job(90)).encode().replace(b'"cpus": 4.0', b'"cpus": ' + raw)
        user = simulation.ask(lambda user_api, u, r=body: user_api.submit(simulation.now, u, r))
        simulation.run(0.3)
        assert user.status == 400, raw
    for field in job(91):
        if field not in ("racks", "hall", "edition_s"):
            short = json.dumps({k: v for k, v in job(91).items() if k != field}).encode()
            user = simulation.ask(
                lambda user_api, u, r=short: user_api.submit(simulation.now, u, r)
            )
            simulation.run(0.3)
            assert user.status == 400, field
    simulation.finish()


# Guards, by hand. Each of these, and each story that names one above, was seen to fail with its
# guard taken out.


def said(name, tasks, token, session, seq):
    return encode(
        WorkerHeartbeat(
            name,
            "10.0.0.8:1",
            "box",
            "a",
            True,
            session,
            seq,
            token,
            None,
            [TaskStatus(t, a, s, w) for t, a, s, w in tasks],
        )
    )


def test_the_end_of_an_old_lease_does_not_free_the_tasks_of_a_new_session():
    # Holds `machine.last_answer_at` at a change of session in `HeartbeatHandler.take`.
    bench = Bench()
    machine = bench.take_over("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    taken = bench.now
    bench.now += 11.9
    bench.owner.tick(bench.now)
    for status, token, seq in ((409, 1, 7), (200, machine.base, 8)):
        (probe,) = bench.take("worker")
        probe.then(bench.now, CallOutcome(status, said("m-9", [], token, 4, seq)))
        bench.owner.commands.probe(bench.now)
    bench.owner.machines["m-1"].backoff_until = bench.now + 99.0
    call, attempt = bench.start()
    assert call.address == "10.0.0.8:1"
    tasks = [("req-000001/0", attempt, "running", None)]
    call.then(bench.now, CallOutcome(200, said("m-9", tasks, machine.base, 4, 9)))
    bench.owner.scan(taken + bench.owner.timing.lease_s + 0.1)
    assert bench.job.placed == {0: "m-9"}
    bench.owner.scan(bench.now + bench.owner.timing.lease_s + 0.1)
    assert bench.job.placed == {}


def test_answers_to_commands_do_not_pass_for_reports():
    # Holds `full` in `_take`: a machine that only answers commands loses all it is given.
    bench = Bench()
    machine = bench.owner.machines["m-1"]
    for second in range(1, 4):
        bench.now += 1.0
        bench.add(second)
        bench.owner.reports.take(
            bench.now, machine, bench.message([], seq=bench.seq + second), False
        )
    assert not machine.usable(bench.now, bench.owner.timing.silence_s)
    # Yet a copy of what it said before is bounded by the newest message, not the newest report.
    bench.owner.report(bench.now, bench.message([], seq=1))
    assert machine.last_answer_at == bench.now


@pytest.mark.parametrize("turn", [1, -1])
def test_an_ended_attempt_that_was_not_cleared_does_not_free_the_one_that_runs(turn):
    # Holds `_alone`. A task was stopped, started again where it was, and the leader changed.
    bench = Bench()
    bench.add(version=40)
    bench.report(
        [("req-000001/0", 5, "exited", "halted"), ("req-000001/0", 6, "running", None)][::turn]
    )
    assert bench.job.placed == {0: "m-1"}
    bench.report([("req-000001/0", 6, "running", None)])
    assert bench.job.placed == {0: "m-1"}
    bench.report([])
    assert bench.job.placed == {}


def test_ends_that_an_earlier_owner_stored_are_not_written_over():
    # Holds the loop over `jobs.pages` in `CompletionStore._write`.
    bench = Bench()
    bench.add(1, tasks=2)
    bench.add(2, tasks=2)
    key = "c/ends/0.0"
    bench.jobs.saw_completions(key, b'{"req-000001":"AQ=="}')
    bench.owner.completions.versions[key] = 66
    bench.jobs.jobs["req-000002"].finished.add(1)
    bench.owner.scan(bench.now)
    bench.now += bench.owner.completions.gather_s
    bench.owner.completions.tick(bench.now)
    (write,) = bench.take("state")
    body = json.loads(write.body)
    assert {"path": key, "stamp": 66} in body["guards"]
    assert set(body["writes"][0]["value"]) == {"req-000001", "req-000002"}


@pytest.mark.parametrize("settles", ["lease ended", "token moved"])
def test_a_member_whose_campaign_may_yet_be_carried_out_promises_nothing(settles):
    # Holds `unresolved_leases` in `LeaderElection._may_vote`: the late win would make this member,
    # restarted, take its votes for its own, while the leader that it gave them to relies on them.
    out = Outbox()
    transactions = TransactionQueue(out, 60.0, 16, 1.0)
    times = election_timings(parse(raw_settings()).cluster)
    core = LeaderElection(
        "n0",
        ["n1", "n2"],
        times,
        out,
        transactions,
        random.Random(1),
        lambda now, leading, continued: None,
        0.0,
    )
    core.records_synced = True
    core.tick(50.0)
    (make,) = out.calls
    out.calls.clear()
    make.then(50.0, CallOutcome(200, b'{"permit":7}'))
    (win,) = out.calls
    out.calls.clear()
    win.then(51.0, CallOutcome(0))

    def promised():
        out.frames.clear()
        core.on_frame(51.1, "n1", LeaseExtensionRequest(0, 3))
        return out.frames[0][1].granted

    assert not promised()
    if settles == "lease ended":
        (drop,) = out.calls
        drop.then(51.1, CallOutcome(200))
    else:
        core.on_watch_event(51.1, FENCING_TOKEN_KEY, b'{"token":0,"member":"n1"}', 9)
    assert promised()


def test_a_lease_is_not_over_while_an_owner_of_the_term_before_may_have_renewed_it():
    # Holds `overlap_s`: the leader restarted at once, and that owner had not seen it.
    bench = Bench()
    bench.add(version=40)
    bench.owner.timing.overlap_s = 1.5
    machine = bench.take_over("m-9", contact=MachineContact("10.0.0.8:1", 3, 0))
    bench.owner.scan(bench.now + 1.4 + bench.owner.timing.lease_s)
    assert machine.name in bench.owner.unsettled
    bench.owner.scan(bench.now + 1.6 + bench.owner.timing.lease_s)
    assert machine.name not in bench.owner.unsettled


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_leader_is_back_within_a_moment_while_the_owners_cannot_see_it(seed):
    specs = [job(n, tasks=4, run_s=60.0, team="red" if n % 2 else "blue") for n in range(1, 5)]
    simulation = started_simulation(specs, 12, partitioned=True, seed=seed)
    simulation.run(1.2 * simulation.lease_s)
    old = simulation.leader()
    simulation.refused = set(simulation.names) - {old}
    simulation.run(0.1)
    simulation.crash(old, 0.1)
    simulation.run(1.0)
    for worker in [w for w in simulation.cloud.workers() if w.on_it()][::2]:
        for name in simulation.names:
            simulation.cut(name, worker.name)
    step(simulation, 1.5 * simulation.lease_s)
    simulation.finish()


def test_a_leader_that_gives_up_ends_its_key_only_after_its_grants():
    # Its successor would give the shards away while owners under those grants start new jobs.
    simulation = Simulation(seed=5, partitioned=True)
    simulation.run_until(simulation.leader)
    simulation.run(3.0)
    leader = simulation.leader()
    granted = [
        t.grants_expire_at
        for n, t in simulation.nodes[leader].cluster_manager.grantees.items()
        if n != leader
    ]
    simulation.nodes[leader].election.step_down(simulation.now, "told to")
    while simulation.now < max(granted):
        assert "c/lead" in simulation.state.data
        simulation.run(0.1)
        simulation.check_owners()
    simulation.run_until(lambda: simulation.leader() is not None, 10)


def test_a_remote_owner_says_where_a_job_must_find_room():
    simulation = Simulation(seed=3, partitioned=True)
    simulation.run_until(
        lambda: all(n.version_registry.all_upgraded() for n in simulation.nodes.values()), 10
    )
    simulation.run(3.0)
    leader = simulation.nodes[simulation.leader()]
    shard = next(
        p for p in leader.cluster_manager.shards.values() if p.owner != leader.settings.name
    )
    team = next(t for t, n in leader.shards.items() if n == shard.number)
    simulation.submit(job(1, team=team, tasks=1, cpus=16.0, run_s=200.0, same_place=True))
    simulation.submit(job(2, team=team, tasks=2, cpus=16.0, run_s=300.0, same_place=True))
    simulation.run_until(lambda: running(simulation) >= 2, 60)
    simulation.run_until(lambda: running(simulation) == 3, 90)
    assert not simulation.broken

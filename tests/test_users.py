"""What submissions are refused, and with what."""

import json

import pytest

from tests.simulation import Simulation, job


@pytest.fixture(scope="module")
def simulation():
    made = Simulation(seed=2)
    made.run_until(made.leader)
    made.run(2)
    return made


def answer(simulation, raw):
    user = simulation.ask(lambda user_api, u: user_api.submit(simulation.now, u, raw))
    simulation.run(2)
    return user


CASES = [
    (400, b"{"),
    (400, b"[]"),
    (400, b"\xff"),
    (400, b"{}"),
    (413, b" " * 65537),
    (400, job(1, cpus="4")),
    (400, job(1, cpus=-1.0)),
    (400, job(1, tasks=0)),
    (400, job(1, tasks=100_001)),
    (400, job(1, tasks=2.5)),
    (400, job(1, urgency="soon")),
    (400, job(1, form="gang")),
    (400, job(1, spread="no")),
    (400, job(1, racks="box")),
    (400, {**job(1), "id": "job-1"}),
    (400, {**job(1), "id": "req-1/2"}),
    (400, {"id": "req-000001"}),
    (400, json.dumps(job(1)).replace("4.0", "NaN").encode()),
    (422, job(1, team="green")),
    (422, job(1, cpus=17.0)),
    (422, job(1, racks=["other"])),
    (422, job(1, racks=[])),
    (422, job(1, hall="z")),
    (422, job(1, cards=1.0)),
    (422, job(1, memory_gb=65.0)),
]


@pytest.mark.parametrize("case", range(len(CASES)))
def test_refusals(simulation, case):
    status, raw = CASES[case]
    body = raw if isinstance(raw, bytes) else json.dumps(raw).encode()
    user = answer(simulation, body)
    assert user.status == status and "error" in user.body


def test_optional_fields_and_decimals(simulation):
    body = job(50, cpus=16.0000001)
    for name in ("racks", "hall", "edition_s"):
        del body[name]
    body["unknown"] = {"x": 1}
    simulation.specs[body["id"]] = body
    assert answer(simulation, json.dumps(body).encode()).status == 201


def test_unknown_jobs(simulation):
    for ask in (simulation.poll, simulation.cancel):
        for name in ("req-999999", "whatever"):
            user = ask(name)
            simulation.run(2)
            assert user.status == 404


def test_no_state_no_decision(simulation):
    simulation.state.down = True
    users = [
        simulation.submit(job(60)),
        simulation.poll("req-000050"),
        simulation.cancel("req-000050"),
    ]
    simulation.run(3)
    simulation.state.down = False
    assert [(u.status, u.retry_after) for u in users] == [(503, 1)] * 3

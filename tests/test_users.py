"""What submissions are refused, and with what."""

import json

import pytest

from tests.request_bodies import gang, job
from tests.simulation import Simulation


@pytest.fixture(scope="module")
def simulation():
    made = Simulation(seed=2)
    made.run_until(made.leader)
    made.run(2)
    accepted = made.submit(job(70, run_s=1e6))
    made.run(2)
    assert accepted.status == 201
    return made


def answer(simulation, raw):
    """Submit a body; an exception in the core would end the test here."""
    user = simulation.request(lambda user_api, u: user_api.submit(simulation.now, u, raw))
    simulation.run(2)
    return user


def text(number=1, **more):
    return json.dumps(job(number, **more))


def without(field):
    return {name: value for name, value in job(1).items() if name != field}


def nested(number, opened, closed, depth):
    """A valid job with an ignored field that is nested deeply."""
    return f'{text(number)[:-1]},"x":{opened * depth}1{closed * depth}}}'.encode()


OPTIONAL = ("racks", "hall", "edition_s")
REQUIRED = [name for name in job(1) if name not in OPTIONAL]
AMOUNTS = ["cpus", "cards", "memory_gb", "size_gb", "runtime_s", "proof_s", "flush_s", "edition_s"]
TEXTS = ["id", "slot", "desk", "form", "urgency", "master", "hall"]
FLAGS = ["same_place", "spread", "borrowed"]

MALFORMED = {
    "empty": b"",
    "cut off": text().encode()[:-1],
    "more after the end": text().encode() + b"{}",
    "two objects in a list": f"[{text()},{text()}]".encode(),
    "list": b"[]",
    "string": b'"req-000001"',
    "null": b"null",
    "empty object": b"{}",
    "only the id": {"id": "req-000001"},
    "beyond 64 KiB": text().encode() + b" " * 65536,
    "UTF-8 in a field": text().replace("img-1", "\xff").encode("latin-1"),
    "UTF-8 in an ignored field": f'{text()[:-1]},"x":"\xff"}}'.encode("latin-1"),
    "UTF-16": text().encode("utf-16"),
    "byte order mark": b"\xef\xbb\xbf" + text().encode(),
    "half a surrogate": text().replace("img-1", "\\ud800").encode(),
    "nested lists": nested(1, "[", "]", 20_000),
    "nested objects": nested(1, '{"a":', "}", 9_000),
    "nested instead of an object": b"[" * 60_000,
    "nested instead of the id": b'{"id":' + b"[" * 60_000,
    "no tasks": job(1, tasks=0),
    "tasks below 0": job(1, tasks=-1),
    "too many tasks": job(1, tasks=100_001),
    "too many tasks of a gang": gang(1, tasks=100_001),
    "tasks of 400 digits": text(tasks=77).replace("77", "7" * 400).encode(),
    "tasks of 5000 digits": text(tasks=77).replace("77", "7" * 5000).encode(),
    "tasks as 2^64": job(1, tasks=1 << 64),
    "tasks as a decimal": job(1, tasks=2.5),
    "tasks as true": job(1, tasks=True),
    "tasks as text": job(1, tasks="2"),
    "tasks as null": job(1, tasks=None),
    "unknown priority": job(1, urgency="soon"),
    "unknown form": job(1, form="gang"),
    "form in capitals": job(1, form="Ensemble"),
    "empty class": job(1, slot=""),
    "empty image": job(1, master=""),
    "types as text": job(1, racks="box"),
    "types as numbers": job(1, racks=[1]),
    "id of another form": {**job(1), "id": "job-1"},
    "id of a task": {**job(1), "id": "req-1/2"},
    "id with a line end": {**job(1), "id": "req-000001\n"},
    "id in other digits": {**job(1), "id": "req-\u0661\u0661\u0661\u0661\u0661\u0661"},
    **{f"without {name}": without(name) for name in REQUIRED},
    **{f"{name} as null": job(1, **{name: None}) for name in REQUIRED},
    **{f"{name} as a number": {**job(1), name: 1} for name in TEXTS + FLAGS},
    **{f"{name} as text": {**job(1), name: "4"} for name in AMOUNTS + FLAGS},
    **{f"{name} as true": {**job(1), name: True} for name in AMOUNTS + TEXTS},
    **{f"{name} below 0": {**job(1), name: -1.0} for name in AMOUNTS},
    **{
        f"{name} as {value[:9]}": json.dumps({**job(1), name: 77.5}).replace("77.5", value).encode()
        for name in AMOUNTS
        for value in ("NaN", "Infinity", "-Infinity", "1e999", "7" * 400)
    },
}

IMPOSSIBLE = {
    "unknown team": job(1, team="green"),
    "task beyond the machine": job(1, cpus=17.0),
    "task beyond any number": job(1, cpus=1e308, tasks=100_000),
    "gang beyond any number": gang(1, cpus=1e308, tasks=100_000),
    "unknown type": job(1, racks=["other"]),
    "no type": job(1, racks=[]),
    "unknown zone": job(1, hall="z"),
    "cards": job(1, cards=1.0),
    "memory": job(1, memory_gb=65.0),
    "gang beyond the team's limit": gang(1, tasks=17, cpus=4.0),
}

CASES = [(400, name) for name in MALFORMED] + [(422, name) for name in IMPOSSIBLE]


@pytest.mark.parametrize(("status", "name"), CASES)
def test_refusals(simulation, status, name):
    raw = (MALFORMED if status == 400 else IMPOSSIBLE)[name]
    body = raw if isinstance(raw, bytes) else json.dumps(raw).encode()
    user = answer(simulation, body)
    assert user.status == status and "error" in user.body


# Guards against a refusal of what was accepted: a retry is known by its id alone.
@pytest.mark.parametrize(
    "body",
    [
        {"id": "req-000070"},
        job(70, tasks=0),
        job(70, cpus="4"),
        job(70, cpus=-1.0),
        job(70, form="gang"),
        job(70, cpus=17.0),
        job(70, team="green"),
        gang(70, tasks=17, cpus=4.0),
    ],
)
def test_a_retry_of_an_accepted_id_is_accepted_whatever_it_says(simulation, body):
    user = answer(simulation, json.dumps(body).encode())
    assert (user.status, user.body["id"]) == (200, "req-000070")


def test_optional_fields_and_decimals(simulation):
    body = job(50, cpus=16.0000001)
    for name in OPTIONAL:
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
    simulation.kvstore.down = True
    users = [
        simulation.submit(job(60)),
        simulation.poll("req-000050"),
        simulation.cancel("req-000050"),
    ]
    simulation.run(3)
    simulation.kvstore.down = False
    assert [(u.status, u.retry_after) for u in users] == [(503, 1)] * 3

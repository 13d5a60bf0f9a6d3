"""Which requests of users are refused, and with which HTTP status."""

import json

import pytest

from tests.request_bodies import gang, job
from tests.simulation import Simulation


@pytest.fixture(scope="module")
def simulation():
    """A simulation with a leader, in which job 70 is accepted and outlasts the tests."""
    started = Simulation(seed=2)
    started.run_until(started.leader)
    started.run(2)
    accepted = started.submit(job(70, run_s=1e6))
    started.run(2)
    assert accepted.status == 201
    return started


def submit_raw(simulation, raw):
    """Submit a raw body and return the request with its answer.

    An exception in the core is raised here and fails the test.
    """
    user = simulation.request(lambda user_api, u: user_api.submit(simulation.now, u, raw))
    simulation.run(2)
    return user


def job_json(number=1, **more):
    return json.dumps(job(number, **more))


def job_without(field):
    return {name: value for name, value in job(1).items() if name != field}


def job_with_nested_field(number, opening, closing, depth):
    """A valid job with an ignored field that is nested `depth` levels deep."""
    return f'{job_json(number)[:-1]},"x":{opening * depth}1{closing * depth}}}'.encode()


OPTIONAL_FIELDS = ("racks", "hall", "edition_s")
REQUIRED_FIELDS = [name for name in job(1) if name not in OPTIONAL_FIELDS]
NUMBER_FIELDS = [
    "cpus",
    "cards",
    "memory_gb",
    "size_gb",
    "runtime_s",
    "proof_s",
    "flush_s",
    "edition_s",
]
STRING_FIELDS = ["id", "slot", "desk", "form", "urgency", "master", "hall"]
BOOLEAN_FIELDS = ["same_place", "spread", "borrowed"]

MALFORMED = {
    "empty": b"",
    "cut off": job_json().encode()[:-1],
    "more after the end": job_json().encode() + b"{}",
    "two objects in a list": f"[{job_json()},{job_json()}]".encode(),
    "list": b"[]",
    "string": b'"req-000001"',
    "null": b"null",
    "empty object": b"{}",
    "only the id": {"id": "req-000001"},
    "beyond 64 KiB": job_json().encode() + b" " * 65536,
    "UTF-8 in a field": job_json().replace("img-1", "\xff").encode("latin-1"),
    "UTF-8 in an ignored field": f'{job_json()[:-1]},"x":"\xff"}}'.encode("latin-1"),
    "UTF-16": job_json().encode("utf-16"),
    "byte order mark": b"\xef\xbb\xbf" + job_json().encode(),
    "half a surrogate": job_json().replace("img-1", "\\ud800").encode(),
    "nested lists": job_with_nested_field(1, "[", "]", 20_000),
    "nested objects": job_with_nested_field(1, '{"a":', "}", 9_000),
    "nested instead of an object": b"[" * 60_000,
    "nested instead of the id": b'{"id":' + b"[" * 60_000,
    "no tasks": job(1, tasks=0),
    "tasks below 0": job(1, tasks=-1),
    "too many tasks": job(1, tasks=100_001),
    "too many tasks of a gang": gang(1, tasks=100_001),
    "tasks of 400 digits": job_json(tasks=77).replace("77", "7" * 400).encode(),
    "tasks of 5000 digits": job_json(tasks=77).replace("77", "7" * 5000).encode(),
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
    **{f"without {name}": job_without(name) for name in REQUIRED_FIELDS},
    **{f"{name} as null": job(1, **{name: None}) for name in REQUIRED_FIELDS},
    **{f"{name} as a number": {**job(1), name: 1} for name in STRING_FIELDS + BOOLEAN_FIELDS},
    **{f"{name} as text": {**job(1), name: "4"} for name in NUMBER_FIELDS + BOOLEAN_FIELDS},
    **{f"{name} as true": {**job(1), name: True} for name in NUMBER_FIELDS + STRING_FIELDS},
    **{f"{name} below 0": {**job(1), name: -1.0} for name in NUMBER_FIELDS},
    **{
        f"{name} as {value[:9]}": json.dumps({**job(1), name: 77.5}).replace("77.5", value).encode()
        for name in NUMBER_FIELDS
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
def test_malformed_and_impossible_submissions_are_refused(simulation, status, name):
    raw = (MALFORMED if status == 400 else IMPOSSIBLE)[name]
    body = raw if isinstance(raw, bytes) else json.dumps(raw).encode()
    user = submit_raw(simulation, body)
    assert user.status == status and "error" in user.body


# Guards against the refusal of a job that was accepted before: a repeated submission is recognized
# by its id alone.
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
def test_repeated_submission_of_an_accepted_id_is_accepted_with_any_body(simulation, body):
    user = submit_raw(simulation, json.dumps(body).encode())
    assert (user.status, user.body["id"]) == (200, "req-000070")


def test_optional_fields_may_be_missing_and_numbers_may_have_decimals(simulation):
    body = job(50, cpus=16.0000001)
    for name in OPTIONAL_FIELDS:
        del body[name]
    body["unknown"] = {"x": 1}
    simulation.specs[body["id"]] = body
    assert submit_raw(simulation, json.dumps(body).encode()).status == 201


def test_poll_and_cancellation_of_an_unknown_job_are_answered_with_404(simulation):
    for request in (simulation.poll, simulation.cancel):
        for job_id in ("req-999999", "whatever"):
            user = request(job_id)
            simulation.run(2)
            assert user.status == 404


def test_requests_are_answered_with_503_during_an_outage_of_the_state_service(simulation):
    simulation.kvstore.down = True
    users = [
        simulation.submit(job(60)),
        simulation.poll("req-000050"),
        simulation.cancel("req-000050"),
    ]
    simulation.run(3)
    simulation.kvstore.down = False
    assert [(u.status, u.retry_after) for u in users] == [(503, 1)] * 3

"""Unusual submissions: malformed ones, ones that can never run, and valid ones."""

import json
from typing import Any

from tests.request_bodies import job
from tests.simulation import Simulation

# The status of the first answer, and the fields that differ from a usual job. A repeated submission
# of an accepted job is answered with 200.
SUBMISSIONS: list[tuple[int, dict[str, Any]]] = [
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
    # Unknown machine types are not stored, so the size of their names doesn't matter. A job that is
    # too large to be stored is refused.
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


def test_unusual_submissions_get_the_same_answer_from_each_member_and_accepted_jobs_complete():
    simulation = Simulation(seed=6)
    simulation.run_until(simulation.leader)
    simulation.run(2.0)
    for n, (status, overrides) in enumerate(SUBMISSIONS, 1):
        spec = {**job(n, tasks=1, run_s=3.0), **overrides}
        for name in simulation.node_names:
            if status == 201:
                user = simulation.submit(spec, name)
            else:
                raw = json.dumps(spec).encode()
                user = simulation.request(
                    lambda user_api, u, r=raw: user_api.submit(simulation.now, u, r), name
                )
            simulation.run(0.3)
            assert user.status == status or (status, user.status) == (201, 200), (
                overrides,
                user.body,
            )
    for raw in (b"NaN", b"Infinity", b"-Infinity", b"1e999", b"[]", b"{}"):
        body = json.dumps(job(90)).encode().replace(b'"cpus": 4.0', b'"cpus": ' + raw)
        user = simulation.request(lambda user_api, u, r=body: user_api.submit(simulation.now, u, r))
        simulation.run(0.3)
        assert user.status == 400, raw
    for field in job(91):
        if field not in ("racks", "hall", "edition_s"):
            incomplete = json.dumps({k: v for k, v in job(91).items() if k != field}).encode()
            user = simulation.request(
                lambda user_api, u, r=incomplete: user_api.submit(simulation.now, u, r)
            )
            simulation.run(0.3)
            assert user.status == 400, field
    simulation.finish()

"""Announced limits of the key-value store, and contents that exceed the limit of a value."""

import pytest

from copperpass import settings as settings_module
from copperpass.errors import SettingsError
from copperpass.protocol.json_codec import encode
from tests.request_bodies import job, raw_settings
from tests.simulation import Simulation
from tests.storage_harness import ANNOUNCED_LIMITS


def test_announced_limits_are_validated_and_the_lower_limit_applies():
    state = settings_module.parse(raw_settings(next_limits=ANNOUNCED_LIMITS)).cluster.state
    assert (state.least_write_rps, state.least_value_bytes, state.least_txn_ops) == (15, 2048, 5)
    unannounced = settings_module.parse(raw_settings()).cluster.state
    assert (
        unannounced.least_write_rps,
        unannounced.least_value_bytes,
        unannounced.least_txn_ops,
    ) == (60, 32768, 16)
    higher = settings_module.parse(raw_settings(next_limits={**ANNOUNCED_LIMITS, "value_kb": 64.0}))
    assert higher.cluster.state.least_value_bytes == 32768
    for field, value in (("write_rps", 0), ("value_kb", -1.0), ("txn_ops", 3), ("txn_ops", "x")):
        with pytest.raises(SettingsError, match=f"next.{field}"):
            settings_module.parse(raw_settings(next_limits={**ANNOUNCED_LIMITS, field: value}))


def test_only_submissions_that_no_value_can_hold_are_refused_permanently():
    simulation = Simulation(next_limits=ANNOUNCED_LIMITS)
    simulation.run_until(simulation.leader)
    simulation.kvstore.set_limits(**ANNOUNCED_LIMITS)
    padded = simulation.submit(
        job(1, racks=["box"] * 500 + [f"no-such-type-{n}" for n in range(90)])
    )
    too_large = simulation.submit(job(2, master="i" * 3000))
    large = simulation.submit(job(3, master="i" * 1500))
    simulation.run(1.0)
    assert [padded.status, too_large.status, large.status] == [201, 422, 201]
    assert simulation.kvstore.data["c/live/req-000001"][0]["spec"]["racks"] == ["box"]
    assert simulation.kvstore.too_large == 0
    # This record is within the limit in our encoding and exceeds it in that of the store.
    size = len(encode(simulation.kvstore.data["c/live/req-000003"][0]))
    near_limit = simulation.submit(job(4, master="i" * (1500 + 2048 - 10 - size)))
    simulation.run(1.0)
    assert near_limit.status == 422 and simulation.kvstore.too_large == 1
    repeated = simulation.submit(job(1, master="i" * 3000))
    simulation.run(1.0)
    assert repeated.status == 200


def test_machine_types_that_no_value_can_hold_are_not_stored():
    simulation = Simulation(next_limits=ANNOUNCED_LIMITS)
    machine_type = dict(simulation.cloud.machine_types[0])
    simulation.cloud.machine_types = [{**machine_type, "name": f"box-{n}"} for n in range(20)] + [
        machine_type
    ]
    simulation.run_until(simulation.leader)
    simulation.submit(job(1))
    calls = []
    handle = simulation.cloud.handle
    simulation.cloud.handle = lambda method, path, *rest: (
        calls.append(path),
        handle(method, path, *rest),
    )
    simulation.run(20.0)
    assert "c/types" not in simulation.kvstore.data and calls.count("/machine_types") <= 6
    assert not simulation.violations

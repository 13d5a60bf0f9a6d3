"""Limits of the state service that are announced, and what no value can hold."""

import pytest

from copperpass import settings as settings_module
from copperpass.errors import SettingsError
from copperpass.protocol.json_codec import encode
from tests.request_bodies import job, raw_settings
from tests.simulation import Simulation
from tests.storage_harness import COMING


def test_coming_limits_are_checked_and_the_lower_of_both_holds():
    state = settings_module.parse(raw_settings(next_limits=COMING)).cluster.state
    assert (state.least_write_rps, state.least_value_bytes, state.least_txn_ops) == (15, 2048, 5)
    plain = settings_module.parse(raw_settings()).cluster.state
    assert (plain.least_write_rps, plain.least_value_bytes, plain.least_txn_ops) == (60, 32768, 16)
    higher = settings_module.parse(raw_settings(next_limits={**COMING, "value_kb": 64.0}))
    assert higher.cluster.state.least_value_bytes == 32768
    for field, value in (("write_rps", 0), ("value_kb", -1.0), ("txn_ops", 3), ("txn_ops", "x")):
        with pytest.raises(SettingsError, match=f"next.{field}"):
            settings_module.parse(raw_settings(next_limits={**COMING, field: value}))


def test_a_submission_that_no_value_can_hold_is_refused_for_good_and_others_are_not():
    simulation = Simulation(next_limits=COMING)
    simulation.run_until(simulation.leader)
    simulation.kvstore.set_limits(**COMING)
    padded = simulation.submit(
        job(1, racks=["box"] * 500 + [f"no-such-type-{n}" for n in range(90)])
    )
    endless = simulation.submit(job(2, master="i" * 3000))
    large = simulation.submit(job(3, master="i" * 1500))
    simulation.run(1.0)
    assert [padded.status, endless.status, large.status] == [201, 422, 201]
    assert simulation.kvstore.data["c/live/req-000001"][0]["spec"]["racks"] == ["box"]
    assert simulation.kvstore.too_large == 0
    # Small enough by our count and too large by the service's own.
    size = len(encode(simulation.kvstore.data["c/live/req-000003"][0]))
    narrow = simulation.submit(job(4, master="i" * (1500 + 2048 - 10 - size)))
    simulation.run(1.0)
    assert narrow.status == 422 and simulation.kvstore.too_large == 1
    again = simulation.submit(job(1, master="i" * 3000))
    simulation.run(1.0)
    assert again.status == 200


def test_an_offer_that_no_value_can_hold_is_not_stored():
    simulation = Simulation(next_limits=COMING)
    one = dict(simulation.cloud.machine_types[0])
    simulation.cloud.machine_types = [{**one, "name": f"box-{n}"} for n in range(20)] + [one]
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

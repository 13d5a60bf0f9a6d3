"""The machine inventory: the single record, its migration to pages, and pages under low limits."""

import itertools
import random

import pytest

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.storage.inventory_migration import InventoryForm
from tests.storage_harness import ANNOUNCED_LIMITS, StorageHarness

GROUPS = [
    MachineGroup("caja-grande", zone, spot)
    for zone in ("monterrey", "guadalajara", "queretaro")
    for spot in (True, False)
]


def provision_machines(harness, inventory, machines=550):
    """Provision machines like a leader, up to 20 per request and group in turn; all come up."""
    names = itertools.count(1)
    while len(inventory.machines) < machines:
        group = GROUPS[next(names) % len(GROUPS)]
        count = min(20, machines - len(inventory.machines))
        request, results = f"b-1-{next(names)}", []
        inventory.record_request(
            harness.now, request, group, count, lambda now, ok, r=results: r.append(ok)
        )
        for _ in range(200):
            if results:
                break
            harness.step(inventory)
        assert results == [True]
        inventory.record_answer(
            harness.now, request, [f"m-{next(names):06d}" for _ in range(count)]
        )
        for name in sorted(set(inventory.machines) - inventory.up)[:20]:
            inventory.mark_up(harness.now, name, inventory.machines[name])
    harness.run(inventory, 12.0)


def test_inventory_of_550_machines_keeps_to_limits_with_few_writes():
    harness = StorageHarness(**ANNOUNCED_LIMITS)
    inventory = harness.start_inventory()
    marked = set()
    inventory.on_marks_stored = lambda now, names: marked.update(names)
    began, writes = harness.now, harness.state.write_count
    provision_machines(harness, inventory)
    state = harness.state
    assert inventory.paged and "c/fleet" not in state.data and not inventory.is_full()
    assert (
        harness.successor_view() == ({}, inventory.machines, inventory.up)
        and len(inventory.up) == 550
    )
    assert marked | inventory.up == marked | inventory.stored_up == marked
    # At most a quarter of the write budget is used, and no value or transaction exceeds the limits.
    assert state.write_count - writes <= (harness.now - began) * 15.0 / 4 + 5
    assert (state.too_large, state.too_fast) == (0, 0) and state.largest_value <= 2048
    assert len(inventory.pages) <= 8
    # Deletions are deferred, so that several share a write.
    before = state.write_count
    for name in sorted(inventory.machines)[:3]:
        inventory.remove(harness.now, name)
    harness.run(inventory, 1.0)
    assert state.write_count == before
    harness.run(inventory, 6.0)
    assert (
        1 <= state.write_count - before <= 3 and harness.successor_view()[1] == inventory.machines
    )


def test_request_stays_pending_until_its_machines_on_other_pages_are_stored():
    harness = StorageHarness(**ANNOUNCED_LIMITS)
    inventory = harness.start_inventory()
    sent = []
    inventory.record_request(harness.now, "b-1-1", GROUPS[0], 50, lambda now, ok: sent.append(ok))
    harness.run(inventory, 1.0)
    names = [f"machine-with-a-long-name-{n:06d}" for n in range(50)]
    inventory.record_answer(harness.now, "b-1-1", names)
    for _ in range(200):
        harness.step(inventory)
        pending, machines, _ = harness.successor_view()
        assert "b-1-1" in pending or set(names) <= set(machines)
    assert harness.successor_view()[:2] == ({}, dict.fromkeys(names, GROUPS[0]))
    assert harness.state.largest_value <= 2048


def put_single_record(harness, machines=400):
    """Store the single record of version 0.2.0; by default it exceeds the announced limits."""
    groups = [
        {
            "type": group[0],
            "zone": group[1],
            "spot": group[2],
            "up": [f"m-{n:06d}" for n in range(i, machines, 6)],
        }
        for i, group in enumerate(GROUPS)
    ]
    groups[0]["booked"] = {"b-1-7": 3}
    harness.put("c/fleet", {"places": groups})


@pytest.mark.parametrize("fate", ["answer lost", "never", "late"])
def test_migration_keeps_the_inventory_when_leader_dies_at_any_step(fate):
    # The leader dies at its n-th write, before it gets the answer. A successor must load the same
    # inventory at every moment, and late writes of the dead leader must not change it.
    for served_writes in range(12):
        harness = StorageHarness()
        put_single_record(harness)
        expected = harness.successor_view()
        inventory = harness.start_inventory()
        deliveries = iter(["served"] * served_writes)
        harness.delivery = lambda body, deliveries=deliveries: next(deliveries, fate)  # type: ignore[misc]
        for _ in range(200):
            harness.step(inventory)
            assert harness.successor_view() == expected
        harness.delivery = lambda body: "served"
        successor = harness.start_inventory()
        assert (successor.pending_requests, successor.machines, successor.up) == expected
        delayed_calls, harness.delayed_calls = harness.delayed_calls, []
        for call in delayed_calls:
            assert harness.serve(call)[0] == 409
            assert harness.successor_view() == expected
        harness.state.set_limits(**ANNOUNCED_LIMITS)
        harness.run(successor, 12.0)
        assert "c/fleet" not in harness.state.data and successor.paged
        assert harness.successor_view() == expected
        # No page that only the dead leader wrote is left.
        assert (
            set(harness.stored_inventory().pages) == set(successor.pages)
            and not successor.layout.leftover_versions
        )


def test_pages_of_interrupted_migration_are_ignored_and_deleted():
    harness = StorageHarness()
    put_single_record(harness, 60)
    for number in range(9):
        harness.put(
            f"c/fleet/{number}",
            {
                "places": [
                    {
                        "type": "caja-grande",
                        "zone": "monterrey",
                        "spot": True,
                        "up": [f"x-{number}"],
                    }
                ]
            },
        )
    inventory = harness.start_inventory(all_upgraded=False)
    inventory.mark_up(harness.now, "m-new", GROUPS[0])
    harness.run(inventory, 3.0)
    assert "m-new" in harness.successor_view()[1] and "m-new" in str(harness.state.data["c/fleet"])
    assert len(harness.stored_inventory().pages) == 9
    inventory = harness.start_inventory()
    harness.run(inventory, 12.0)
    assert "x-" not in str(harness.stored_inventory()) and "m-new" in harness.successor_view()[1]
    assert len(harness.stored_inventory().pages) == len(inventory.pages) < 9


@pytest.mark.parametrize("limits_announced", [True, False])
def test_refused_record_starts_migration_only_if_limits_were_announced(limits_announced):
    harness = StorageHarness()
    put_single_record(harness)
    inventory = harness.start_inventory(all_upgraded=False, limits_announced=limits_announced)
    harness.state.set_limits(**ANNOUNCED_LIMITS)
    sent, marked = [], set()
    inventory.on_marks_stored = lambda now, names: marked.update(names)
    inventory.record_request(harness.now, "b-9-1", GROUPS[1], 2, lambda now, ok: sent.append(ok))
    inventory.mark_up(harness.now, "m-new", GROUPS[0])
    harness.run(inventory, 12.0)
    assert ("c/fleet" not in harness.state.data) == limits_announced
    assert sent[0] is limits_announced and ("m-new" in marked) == limits_announced
    assert ("m-new" in harness.successor_view()[2]) == limits_announced


def test_creation_with_unknown_outcome_blocks_migration_until_new_term():
    # The creation of the single record, applied after the migration, would restore an outdated
    # inventory beside the pages.
    harness = StorageHarness()
    upgraded_members = []
    inventory = harness.start_inventory()
    inventory.single_record.all_upgraded = lambda: bool(upgraded_members)
    inventory.single_record.form = InventoryForm.SINGLE_RECORD
    harness.delivery = lambda body: "late"
    inventory.mark_up(harness.now, "m-1", GROUPS[0])
    harness.step(inventory)
    harness.delivery = lambda body: "served"
    inventory.mark_up(harness.now, "m-2", GROUPS[0])
    harness.run(inventory, 4.0)
    upgraded_members.append(True)
    harness.run(inventory, 4.0)
    assert inventory.is_migration_blocked() and "c/fleet" in harness.state.data
    successor = harness.start_inventory()
    harness.run(successor, 4.0)
    (call,) = harness.delayed_calls
    assert harness.serve(call)[0] == 409 and successor.paged and "c/fleet" not in harness.state.data


def test_machine_on_two_pages_is_merged_before_one_copy_is_removed():
    # An earlier leader died while machines were migrating from one page to another.
    harness = StorageHarness()
    group = {"type": "caja-grande", "zone": "monterrey", "spot": True}
    harness.put("c/fleet/0", {"places": [{**group, "fresh": ["m-1", "m-2"]}]})
    harness.put("c/fleet/1", {"places": [{**group, "up": ["m-1"], "fresh": ["m-3"]}]})
    expected = harness.successor_view()
    inventory = harness.start_inventory()
    inventory.writer.max_writes = 1
    for _ in range(100):
        harness.step(inventory)
        assert harness.successor_view() == expected and expected[2] == {"m-1"}
    assert str(harness.state.data).count("'m-1'") == 1


def test_page_is_written_again_after_late_deletion():
    # The page was left over from a migration and its deletion got no answer. Then the page came
    # into use, and the deletion was applied late.
    harness = StorageHarness()
    inventory = harness.start_inventory()
    inventory.mark_up(harness.now, "m-1", GROUPS[0])
    harness.run(inventory, 2.0)
    harness.state.transaction(
        {"guards": [], "writes": [{"remove": "c/fleet/0"}]}, lambda status, body: None
    )
    inventory.mark_up(harness.now, "m-2", GROUPS[0])
    harness.run(inventory, 4.0)
    assert harness.successor_view()[2] == {"m-1", "m-2"}


class RandomInventoryScenario:
    """An inventory that changes at random while writes fail or are late, and leaders change."""

    def __init__(self, seed, value_kb):
        self.rng, self.harness = random.Random(seed), StorageHarness(value_kb=value_kb)
        self.all_upgraded, self.serial_numbers = False, itertools.count(1)
        # The cloud's answers to sent requests, by request; the machines by name; and the names of
        # machines whose marks are known to be stored.
        self.cloud_answers, self.machines, self.marked = {}, {}, set()
        if seed % 2:
            put_single_record(self.harness, 60)
            self.machines = dict(self.harness.successor_view()[1])
            self.cloud_answers["b-1-7"] = [
                f"m-{next(self.serial_numbers) + 900000:06d}" for _ in range(3)
            ]
            self.marked = set(self.machines)
        self.harness.delivery = lambda body: self.rng.choices(
            ["served", "answer lost", "late", "never"], [20, 1, 1, 1]
        )[0]
        self.start_leader()

    def start_leader(self):
        harness, rng = self.harness, self.rng
        value_bytes = 1024 * self.harness.state.limits["value_kb"]
        self.inventory = harness.start_inventory(
            all_upgraded=False, write_rps=60.0, least_value_bytes=min(value_bytes, 2048.0)
        )
        # The invariants must hold whether pages share a transaction or need several.
        self.inventory.writer.max_writes = rng.choice([1, 2, 5])
        self.inventory.single_record.all_upgraded = lambda: self.all_upgraded
        self.inventory.on_marks_stored = lambda now, names: self.marked.update(names)
        self.sent_requests = {}
        for request in list(self.inventory.pending_requests):
            # A successor repeats the request, and the cloud gives the same answer.
            self.cloud_answers.setdefault(request, self.machine_names(rng.randint(1, 9)))
            self.sent_requests[request] = True

    def machine_names(self, count):
        # Some names are longer than the space that a request reserves for them.
        filler = "x" * self.rng.choice([0, 0, 20])
        return [f"m-{filler}{next(self.serial_numbers):06d}" for _ in range(count)]

    def change_at_random(self):
        rng, now, inventory = self.rng, self.harness.now, self.inventory
        draw = rng.random()
        if draw < 0.25 and len(inventory.machines) < 250:
            request, group = (
                f"b-{next(self.serial_numbers)}-{inventory.context.token_version()}",
                rng.choice(GROUPS),
            )

            def on_stored(done_at, ok):
                if self.inventory is not inventory:
                    return
                if ok:
                    self.sent_requests[request] = True
                    self.cloud_answers[request] = self.machine_names(count)
                else:
                    inventory.record_answer(done_at, request, [])

            count = rng.randint(1, 20)
            inventory.record_request(now, request, group, count, on_stored)
        elif draw < 0.5 and self.sent_requests:
            request = rng.choice(sorted(self.sent_requests))
            del self.sent_requests[request]
            group = inventory.pending_requests[request][0]
            self.machines.update(dict.fromkeys(self.cloud_answers[request], group))
            inventory.record_answer(now, request, self.cloud_answers[request])
        elif draw < 0.8 and set(inventory.machines) - inventory.up:
            name = rng.choice(sorted(set(inventory.machines) - inventory.up))
            inventory.mark_up(now, name, inventory.machines[name])
        elif draw < 0.97 and inventory.machines:
            name = rng.choice(sorted(inventory.machines))
            self.machines.pop(name, None)
            self.marked.discard(name)
            for names in self.cloud_answers.values():
                if name in names:
                    names.remove(name)
            inventory.remove(now, name)
        elif draw > 0.995:
            self.start_leader()

    def serve_delayed_calls(self):
        while self.harness.delayed_calls and self.rng.random() < 0.1:
            calls = self.harness.delayed_calls
            self.harness.serve(calls.pop(self.rng.randrange(len(calls))))

    def check_invariants(self):
        pending, machines, up = self.harness.successor_view()
        assert set(self.sent_requests) <= set(pending)
        for request, names in self.cloud_answers.items():
            assert request in pending or set(names) & set(self.machines) <= set(machines)
        assert self.marked <= up


@pytest.mark.parametrize("seed", range(6))
def test_no_request_machine_or_mark_is_lost_under_random_faults(seed):
    scenario = RandomInventoryScenario(seed, 32.0)
    for step in range(700):
        if step == 150:
            scenario.all_upgraded = True
        if step == 300:
            # A successor splits the pages that were filled under the higher limit.
            scenario.harness.state.set_limits(value_kb=1.2)
            scenario.start_leader()
        for _ in range(scenario.rng.randint(0, 4)):
            scenario.change_at_random()
        scenario.harness.step(scenario.inventory)
        if scenario.inventory.is_migration_blocked():
            scenario.start_leader()
        scenario.serve_delayed_calls()
        scenario.check_invariants()
    scenario.harness.delivery = lambda body: "served"
    scenario.harness.run(scenario.inventory, 20.0)
    scenario.check_invariants()
    assert scenario.inventory.paged and "c/fleet" not in scenario.harness.state.data
    assert scenario.harness.successor_view() == (
        scenario.inventory.pending_requests,
        scenario.inventory.machines,
        scenario.inventory.up,
    )
    assert scenario.harness.state.too_large <= 2


def test_pages_are_split_when_limits_are_lowered_unannounced():
    # Guards against pages that are refused for ever, so that neither requests nor marks are stored:
    # the pages were filled under higher limits, and without `state.next` only refusals show that
    # the limits are lower now.
    harness = StorageHarness()
    inventory = harness.start_inventory(limits_announced=False, least_value_bytes=32768.0)
    provision_machines(harness, inventory, 400)
    harness.run(inventory, 8.0)
    assert harness.state.largest_value > 4096
    harness.state.set_limits(value_kb=2.0, txn_ops=5)
    refused, sent, marked = harness.state.too_large, [], set()
    inventory.writer.max_writes = 16
    inventory.on_marks_stored = lambda now, names: marked.update(names)
    for number, group in enumerate(GROUPS):
        inventory.record_request(
            harness.now, f"b-9-{number}", group, 3, lambda now, ok: sent.append(ok)
        )
        inventory.mark_up(harness.now, f"m-9{number}", group)
    for name in sorted(n for n in inventory.machines if n.startswith("m-0"))[::7]:
        inventory.remove(harness.now, name)
    before = harness.successor_view()
    for _ in range(1200):
        harness.step(inventory)
        _, machines, up = harness.successor_view()
        # Splitting pages loses no machine that still exists.
        assert set(inventory.machines) & set(before[1]) <= set(machines)
        assert marked <= up
    assert sent == [True] * len(GROUPS) and {f"m-9{n}" for n in range(len(GROUPS))} <= marked
    assert harness.successor_view() == (
        inventory.pending_requests,
        inventory.machines,
        inventory.up,
    )
    assert harness.state.too_large - refused <= 12
    # A successor starts with the limits of the settings and loads the pages as they are.
    successor = harness.start_inventory(limits_announced=False, least_value_bytes=32768.0)
    successor.mark_up(harness.now, "m-10", GROUPS[0])
    harness.run(successor, 20.0)
    assert "m-10" in harness.successor_view()[2]


def test_request_that_no_value_can_hold_fails_and_is_not_moved_repeatedly():
    harness = StorageHarness()
    inventory = harness.start_inventory(limits_announced=False, least_value_bytes=32768.0)
    harness.state.set_limits(value_kb=0.5)
    sent, pages, request = [], len(inventory.pages), "b" * 600

    def on_done(now, ok):
        sent.append(ok)
        inventory.record_answer(now, request, [])

    inventory.record_request(harness.now, request, GROUPS[0], 1, on_done)
    harness.run(inventory, 10.0)
    # The request fails and is dropped without being sent; other items are still stored.
    assert sent == [False] and len(inventory.pages) <= pages + 1
    assert harness.state.too_large <= 2
    inventory.mark_up(harness.now, "m-1", GROUPS[1])
    harness.run(inventory, 10.0)
    assert "m-1" in harness.successor_view()[2]


def test_page_of_one_oversized_item_is_not_moved_by_new_leader():
    # The request reserves more space than any page has, so moving it would not help.
    harness = StorageHarness()
    group = {"type": "caja-grande", "zone": "monterrey", "spot": True}
    harness.put("c/fleet/0", {"places": [{**group, "booked": {"b-1-1": 300}}]})
    inventory = harness.start_inventory()
    harness.run(inventory, 4.0)
    assert set(harness.stored_inventory().pages) == {0} == set(inventory.pages)

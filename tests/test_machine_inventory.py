"""The machine inventory: the single record, its migration, and pages that limits make small."""

import itertools
import random

import pytest

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.storage.inventory_migration import InventoryForm
from tests.storage_harness import COMING, StorageHarness

GROUPS = [
    MachineGroup("caja-grande", zone, spot)
    for zone in ("monterrey", "guadalajara", "queretaro")
    for spot in (True, False)
]


def fill(harness, inventory, machines=550):
    """Provision as the leader does: each group in turn, some 20 a request; the machines come up."""
    names = itertools.count(1)
    while len(inventory.machines) < machines:
        group = GROUPS[next(names) % len(GROUPS)]
        count = min(20, machines - len(inventory.machines))
        request, sent = f"b-1-{next(names)}", []
        inventory.record_request(
            harness.now, request, group, count, lambda now, ok, s=sent: s.append(ok)
        )
        for _ in range(200):
            if sent:
                break
            harness.step(inventory)
        assert sent == [True]
        inventory.record_answer(
            harness.now, request, [f"m-{next(names):06d}" for _ in range(count)]
        )
        for name in sorted(set(inventory.machines) - inventory.up)[:20]:
            inventory.mark_up(harness.now, name, inventory.machines[name])
    harness.run(inventory, 12.0)


def test_an_inventory_of_several_hundred_machines_fits_and_costs_few_writes():
    harness = StorageHarness(**COMING)
    inventory = harness.inventory()
    marked = set()
    inventory.on_marks_stored = lambda now, names: marked.update(names)
    began, writes = harness.now, harness.state.write_count
    fill(harness, inventory)
    state = harness.state
    assert inventory.paged and "c/fleet" not in state.data and not inventory.full()
    assert harness.truth() == ({}, inventory.machines, inventory.up) and len(inventory.up) == 550
    assert marked | inventory.up == marked | inventory.stored_up == marked
    # A quarter of the budget at most, in values and transactions that are allowed.
    assert state.write_count - writes <= (harness.now - began) * 15.0 / 4 + 5
    assert (state.too_large, state.too_fast) == (0, 0) and state.largest_value <= 2048
    assert len(inventory.pages) <= 8
    # One machine less is one write, and not before others could share it.
    before = state.write_count
    for name in sorted(inventory.machines)[:3]:
        inventory.remove(harness.now, name)
    harness.run(inventory, 1.0)
    assert state.write_count == before
    harness.run(inventory, 6.0)
    assert 1 <= state.write_count - before <= 3 and harness.truth()[1] == inventory.machines


def test_names_that_do_not_fit_their_page_keep_the_request_pending_until_they_are_stored():
    harness = StorageHarness(**COMING)
    inventory = harness.inventory()
    sent = []
    inventory.record_request(harness.now, "b-1-1", GROUPS[0], 50, lambda now, ok: sent.append(ok))
    harness.run(inventory, 1.0)
    names = [f"machine-with-a-long-name-{n:06d}" for n in range(50)]
    inventory.record_answer(harness.now, "b-1-1", names)
    for _ in range(200):
        harness.step(inventory)
        pending, machines, _ = harness.truth()
        assert "b-1-1" in pending or set(names) <= set(machines)
    assert harness.truth()[:2] == ({}, dict.fromkeys(names, GROUPS[0]))
    assert harness.state.largest_value <= 2048


def put_single_record(harness, machines=400):
    """The single record of version 0.2.0, larger than the next limits."""
    places = [
        {
            "type": p[0],
            "zone": p[1],
            "spot": p[2],
            "up": [f"m-{n:06d}" for n in range(i, machines, 6)],
        }
        for i, p in enumerate(GROUPS)
    ]
    places[0]["booked"] = {"b-1-7": 3}
    harness.put("c/fleet", {"places": places})


@pytest.mark.parametrize("fate", ["answer lost", "never", "late"])
def test_a_leader_may_die_at_each_step_of_the_migration(fate):
    # The leader's life ends at its n-th write, whose answer it doesn't see; a successor must know
    # the same inventory at each moment, and late writes of the dead one must change nothing.
    for steps in range(12):
        harness = StorageHarness()
        put_single_record(harness)
        truth = harness.truth()
        inventory = harness.inventory()
        left = iter(["served"] * steps)
        harness.fate = lambda body, left=left: next(left, fate)  # type: ignore[misc]
        for _ in range(200):
            harness.step(inventory)
            assert harness.truth() == truth
        harness.fate = lambda body: "served"
        successor = harness.inventory()
        assert (successor.pending_requests, successor.machines, successor.up) == truth
        late, harness.late = harness.late, []
        for call in late:
            assert harness.serve(call)[0] == 409
            assert harness.truth() == truth
        harness.state.set_limits(**COMING)
        harness.run(successor, 12.0)
        assert "c/fleet" not in harness.state.data and successor.paged
        assert harness.truth() == truth
        # Nothing is left of what the dead one has written.
        assert set(harness.stored().pages) == set(successor.pages) and not successor.layout.leftover


def test_pages_of_an_interrupted_migration_do_not_count_and_are_deleted():
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
    inventory = harness.inventory(all_upgraded=False)
    inventory.mark_up(harness.now, "m-new", GROUPS[0])
    harness.run(inventory, 3.0)
    assert "m-new" in harness.truth()[1] and "m-new" in str(harness.state.data["c/fleet"])
    assert len(harness.stored().pages) == 9
    inventory = harness.inventory()
    harness.run(inventory, 12.0)
    assert "x-" not in str(harness.stored()) and "m-new" in harness.truth()[1]
    assert len(harness.stored().pages) == len(inventory.pages) < 9


@pytest.mark.parametrize("limits_announced", [True, False])
def test_a_refused_record_is_proof_of_the_upgrade_only_if_limits_were_announced(limits_announced):
    harness = StorageHarness()
    put_single_record(harness)
    inventory = harness.inventory(all_upgraded=False, limits_announced=limits_announced)
    harness.state.set_limits(**COMING)
    sent, marked = [], set()
    inventory.on_marks_stored = lambda now, names: marked.update(names)
    inventory.record_request(harness.now, "b-9-1", GROUPS[1], 2, lambda now, ok: sent.append(ok))
    inventory.mark_up(harness.now, "m-new", GROUPS[0])
    harness.run(inventory, 12.0)
    assert ("c/fleet" not in harness.state.data) == limits_announced
    assert sent[0] is limits_announced and ("m-new" in marked) == limits_announced
    assert ("m-new" in harness.truth()[2]) == limits_announced


def test_a_creation_with_an_unknown_outcome_blocks_the_migration_until_a_new_term():
    # Applied late, it would bring a former state back beside the pages.
    harness = StorageHarness()
    proof = []
    inventory = harness.inventory()
    inventory.single_record.all_upgraded = lambda: bool(proof)
    inventory.single_record.form = InventoryForm.SINGLE_RECORD
    harness.fate = lambda body: "late"
    inventory.mark_up(harness.now, "m-1", GROUPS[0])
    harness.step(inventory)
    harness.fate = lambda body: "served"
    inventory.mark_up(harness.now, "m-2", GROUPS[0])
    harness.run(inventory, 4.0)
    proof.append(True)
    harness.run(inventory, 4.0)
    assert inventory.blocked() and "c/fleet" in harness.state.data
    successor = harness.inventory()
    harness.run(successor, 4.0)
    (call,) = harness.late
    assert harness.serve(call)[0] == 409 and successor.paged and "c/fleet" not in harness.state.data


def test_what_two_pages_say_of_a_machine_adds_up_before_either_forgets_it():
    # A leader died while machines migrated from one page to another.
    harness = StorageHarness()
    place = {"type": "caja-grande", "zone": "monterrey", "spot": True}
    harness.put("c/fleet/0", {"places": [{**place, "fresh": ["m-1", "m-2"]}]})
    harness.put("c/fleet/1", {"places": [{**place, "up": ["m-1"], "fresh": ["m-3"]}]})
    truth = harness.truth()
    inventory = harness.inventory()
    inventory.writer.max_writes = 1
    for _ in range(100):
        harness.step(inventory)
        assert harness.truth() == truth and truth[2] == {"m-1"}
    assert str(harness.state.data).count("'m-1'") == 1


def test_a_page_that_a_late_deletion_has_removed_is_written_again():
    # It was left over from a migration, its deletion had no answer, and then it was used.
    harness = StorageHarness()
    inventory = harness.inventory()
    inventory.mark_up(harness.now, "m-1", GROUPS[0])
    harness.run(inventory, 2.0)
    harness.state.transaction(
        {"guards": [], "writes": [{"remove": "c/fleet/0"}]}, lambda status, body: None
    )
    inventory.mark_up(harness.now, "m-2", GROUPS[0])
    harness.run(inventory, 4.0)
    assert harness.truth()[2] == {"m-1", "m-2"}


class InventoryDay:
    """An inventory that changes at random while writes fail or are late, and leaders die."""

    def __init__(self, seed, value_kb):
        self.rng, self.harness = random.Random(seed), StorageHarness(value_kb=value_kb)
        self.proof, self.numbers = False, itertools.count(1)
        # What the cloud has answered to requests that were sent; machines; marks that are stored.
        self.cloud, self.machines, self.marked = {}, {}, set()
        if seed % 2:
            put_single_record(self.harness, 60)
            self.machines = dict(self.harness.truth()[1])
            self.cloud["b-1-7"] = [f"m-{next(self.numbers) + 900000:06d}" for _ in range(3)]
            self.marked = set(self.machines)
        self.harness.fate = lambda body: self.rng.choices(
            ["served", "answer lost", "late", "never"], [20, 1, 1, 1]
        )[0]
        self.lead()

    def lead(self):
        harness, rng = self.harness, self.rng
        least = 1024 * self.harness.state.limits["value_kb"]
        self.inventory = harness.inventory(all_upgraded=False, rate=60.0, least=min(least, 2048.0))
        # What one transaction would cover must hold when it takes several as well.
        self.inventory.writer.max_writes = rng.choice([1, 2, 5])
        self.inventory.single_record.all_upgraded = lambda: self.proof
        self.inventory.on_marks_stored = lambda now, names: self.marked.update(names)
        self.open = {}
        for request in list(self.inventory.pending_requests):
            # A successor asks the cloud again, which gives the same answer.
            self.cloud.setdefault(request, self.names(rng.randint(1, 9)))
            self.open[request] = True

    def names(self, count):
        # Some are longer than a request reserves space for.
        filler = "x" * self.rng.choice([0, 0, 20])
        return [f"m-{filler}{next(self.numbers):06d}" for _ in range(count)]

    def change(self):
        rng, now, inventory = self.rng, self.harness.now, self.inventory
        kind = rng.random()
        if kind < 0.25 and len(inventory.machines) < 250:
            request, group = (
                f"b-{next(self.numbers)}-{inventory.context.token_version()}",
                rng.choice(GROUPS),
            )

            def on_stored(n, ok):
                if self.inventory is not inventory:
                    return
                if ok:
                    self.open[request] = True
                    self.cloud[request] = self.names(count)
                else:
                    inventory.record_answer(n, request, [])

            count = rng.randint(1, 20)
            inventory.record_request(now, request, group, count, on_stored)
        elif kind < 0.5 and self.open:
            request = rng.choice(sorted(self.open))
            del self.open[request]
            group = inventory.pending_requests[request][0]
            self.machines.update(dict.fromkeys(self.cloud[request], group))
            inventory.record_answer(now, request, self.cloud[request])
        elif kind < 0.8 and set(inventory.machines) - inventory.up:
            name = rng.choice(sorted(set(inventory.machines) - inventory.up))
            inventory.mark_up(now, name, inventory.machines[name])
        elif kind < 0.97 and inventory.machines:
            name = rng.choice(sorted(inventory.machines))
            self.machines.pop(name, None)
            self.marked.discard(name)
            for names in self.cloud.values():
                if name in names:
                    names.remove(name)
            inventory.remove(now, name)
        elif kind > 0.995:
            self.lead()

    def late(self):
        while self.harness.late and self.rng.random() < 0.1:
            calls = self.harness.late
            self.harness.serve(calls.pop(self.rng.randrange(len(calls))))

    def check(self):
        pending, machines, up = self.harness.truth()
        assert set(self.open) <= set(pending)
        for request, names in self.cloud.items():
            assert request in pending or set(names) & set(self.machines) <= set(machines)
        assert self.marked <= up


@pytest.mark.parametrize("seed", range(6))
def test_random_days_of_an_inventory_lose_no_request_machine_or_mark(seed):
    day = InventoryDay(seed, 32.0)
    for step in range(700):
        if step == 150:
            day.proof = True
        if step == 300:
            # Pages that were stored when values could be larger are split by a successor.
            day.harness.state.set_limits(value_kb=1.2)
            day.lead()
        for _ in range(day.rng.randint(0, 4)):
            day.change()
        day.harness.step(day.inventory)
        if day.inventory.blocked():
            day.lead()
        day.late()
        day.check()
    day.harness.fate = lambda body: "served"
    day.harness.run(day.inventory, 20.0)
    day.check()
    assert day.inventory.paged and "c/fleet" not in day.harness.state.data
    assert day.harness.truth() == (
        day.inventory.pending_requests,
        day.inventory.machines,
        day.inventory.up,
    )
    assert day.harness.state.too_large <= 2


def test_pages_follow_limits_that_drop_unannounced():
    # Guards pages that were filled when values could be larger: without `state.next` only
    # refusals say so, and a page that is refused for ever stores neither requests nor marks.
    harness = StorageHarness()
    inventory = harness.inventory(limits_announced=False, least=32768.0)
    fill(harness, inventory, 400)
    harness.run(inventory, 8.0)
    assert harness.state.largest_value > 4096
    harness.state.set_limits(value_kb=2.0, txn_ops=5)
    refused, sent, marked = harness.state.too_large, [], set()
    inventory.writer.max_writes = 16
    inventory.on_marks_stored = lambda now, names: marked.update(names)
    for number, group in enumerate(GROUPS):
        inventory.record_request(
            harness.now, f"b-9-{number}", group, 3, lambda n, ok: sent.append(ok)
        )
        inventory.mark_up(harness.now, f"m-9{number}", group)
    for name in sorted(n for n in inventory.machines if n.startswith("m-0"))[::7]:
        inventory.remove(harness.now, name)
    truth = harness.truth()
    for _ in range(1200):
        harness.step(inventory)
        _, machines, up = harness.truth()
        # Whichever pages are split on the way, nothing that still exists is forgotten.
        assert set(inventory.machines) & set(truth[1]) <= set(machines)
        assert marked <= up
    assert sent == [True] * len(GROUPS) and {f"m-9{n}" for n in range(len(GROUPS))} <= marked
    assert harness.truth() == (inventory.pending_requests, inventory.machines, inventory.up)
    assert harness.state.too_large - refused <= 12
    # A successor starts from the settings and goes on with the pages as they are.
    successor = harness.inventory(limits_announced=False, least=32768.0)
    successor.mark_up(harness.now, "m-10", GROUPS[0])
    harness.run(successor, 20.0)
    assert "m-10" in harness.truth()[2]


def test_a_page_of_one_item_that_no_value_can_hold_is_not_moved_around_for_ever():
    harness = StorageHarness()
    inventory = harness.inventory(limits_announced=False, least=32768.0)
    harness.state.set_limits(value_kb=0.5)
    sent, pages, request = [], len(inventory.pages), "b" * 600

    def on_done(now, ok):
        sent.append(ok)
        inventory.record_answer(now, request, [])

    inventory.record_request(harness.now, request, GROUPS[0], 1, on_done)
    harness.run(inventory, 10.0)
    # The request fails, is not sent and is dropped; all else has a page.
    assert sent == [False] and len(inventory.pages) <= pages + 1
    assert harness.state.too_large <= 2
    inventory.mark_up(harness.now, "m-1", GROUPS[1])
    harness.run(inventory, 10.0)
    assert "m-1" in harness.truth()[2]


def test_a_page_of_one_item_is_not_moved_by_each_new_leader():
    # Its request reserves more space than a page has: another page would gain nothing.
    harness = StorageHarness()
    place = {"type": "caja-grande", "zone": "monterrey", "spot": True}
    harness.put("c/fleet/0", {"places": [{**place, "booked": {"b-1-1": 300}}]})
    inventory = harness.inventory()
    harness.run(inventory, 4.0)
    assert set(harness.stored().pages) == {0} == set(inventory.pages)

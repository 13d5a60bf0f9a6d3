"""The fleet's records: one record, the move to pages, and pages that limits make small."""

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


def fill(service, inventory, machines=550):
    """Rent in the leader's manner: each place in turn, some 20 a booking; they come up."""
    names = itertools.count(1)
    while len(inventory.machines) < machines:
        place = GROUPS[next(names) % len(GROUPS)]
        count = min(20, machines - len(inventory.machines))
        request, sent = f"b-1-{next(names)}", []
        inventory.record_request(
            service.now, request, place, count, lambda now, ok, s=sent: s.append(ok)
        )
        for _ in range(200):
            if sent:
                break
            service.step(inventory)
        assert sent == [True]
        inventory.record_answer(
            service.now, request, [f"m-{next(names):06d}" for _ in range(count)]
        )
        for name in sorted(set(inventory.machines) - inventory.up)[:20]:
            inventory.mark_up(service.now, name, inventory.machines[name])
    service.run(inventory, 12.0)


def test_a_fleet_of_several_hundred_machines_fits_and_costs_few_writes():
    service = StorageHarness(**COMING)
    inventory = service.inventory()
    marked = set()
    inventory.on_marks_stored = lambda now, names: marked.update(names)
    began, writes = service.now, service.state.writes
    fill(service, inventory)
    state = service.state
    assert inventory.paged and "c/fleet" not in state.data and not inventory.full()
    assert service.truth() == ({}, inventory.machines, inventory.up) and len(inventory.up) == 550
    assert marked | inventory.up == marked | inventory.stored_up == marked
    # A quarter of the budget at most, in values and transactions that are allowed.
    assert state.writes - writes <= (service.now - began) * 15.0 / 4 + 5
    assert (state.too_large, state.too_fast) == (0, 0) and state.largest <= 2048
    assert len(inventory.pages) <= 8
    # One machine less is one write, and not before others could share it.
    before = state.writes
    for name in sorted(inventory.machines)[:3]:
        inventory.remove(service.now, name)
    service.run(inventory, 1.0)
    assert state.writes == before
    service.run(inventory, 6.0)
    assert 1 <= state.writes - before <= 3 and service.truth()[1] == inventory.machines


def test_names_that_do_not_fit_their_page_leave_the_booking_until_they_are_stored():
    service = StorageHarness(**COMING)
    inventory = service.inventory()
    sent = []
    inventory.record_request(service.now, "b-1-1", GROUPS[0], 50, lambda now, ok: sent.append(ok))
    service.run(inventory, 1.0)
    names = [f"machine-with-a-long-name-{n:06d}" for n in range(50)]
    inventory.record_answer(service.now, "b-1-1", names)
    for _ in range(200):
        service.step(inventory)
        booked, places, _ = service.truth()
        assert "b-1-1" in booked or set(names) <= set(places)
    assert service.truth()[:2] == ({}, dict.fromkeys(names, GROUPS[0]))
    assert service.state.largest <= 2048


def old_form(service, machines=400):
    """A fleet as the version in production stores it: one record, larger than the next limits."""
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
    service.put("c/fleet", {"places": places})


@pytest.mark.parametrize("fate", ["answer lost", "never", "late"])
def test_a_leader_may_die_at_each_step_of_the_move(fate):
    # The leader's life ends at its n-th write, whose answer it doesn't see; a successor must know
    # the same fleet at each moment, and late writes of the dead one must change nothing.
    for steps in range(12):
        service = StorageHarness()
        old_form(service)
        truth = service.truth()
        inventory = service.inventory()
        left = iter(["served"] * steps)
        service.fate = lambda body, left=left: next(left, fate)  # type: ignore[misc]
        for _ in range(200):
            service.step(inventory)
            assert service.truth() == truth
        service.fate = lambda body: "served"
        successor = service.inventory()
        assert (successor.pending_requests, successor.machines, successor.up) == truth
        late, service.late = service.late, []
        for call in late:
            assert service.serve(call)[0] == 409
            assert service.truth() == truth
        service.state.drop(**COMING)
        service.run(successor, 12.0)
        assert "c/fleet" not in service.state.data and successor.paged
        assert service.truth() == truth
        # Nothing is left of what the dead one has written.
        assert set(service.stored().pages) == set(successor.pages) and not successor.layout.leftover


def test_pages_of_an_interrupted_move_do_not_count_and_go():
    service = StorageHarness()
    old_form(service, 60)
    for number in range(9):
        service.put(
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
    inventory = service.inventory(all_upgraded=False)
    inventory.mark_up(service.now, "m-new", GROUPS[0])
    service.run(inventory, 3.0)
    assert "m-new" in service.truth()[1] and "m-new" in str(service.state.data["c/fleet"])
    assert len(service.stored().pages) == 9
    inventory = service.inventory()
    service.run(inventory, 12.0)
    assert "x-" not in str(service.stored()) and "m-new" in service.truth()[1]
    assert len(service.stored().pages) == len(inventory.pages) < 9


@pytest.mark.parametrize("limits_announced", [True, False])
def test_a_refused_record_is_proof_of_the_upgrade_only_if_limits_were_announced(limits_announced):
    service = StorageHarness()
    old_form(service)
    inventory = service.inventory(all_upgraded=False, limits_announced=limits_announced)
    service.state.drop(**COMING)
    sent, marked = [], set()
    inventory.on_marks_stored = lambda now, names: marked.update(names)
    inventory.record_request(service.now, "b-9-1", GROUPS[1], 2, lambda now, ok: sent.append(ok))
    inventory.mark_up(service.now, "m-new", GROUPS[0])
    service.run(inventory, 12.0)
    assert ("c/fleet" not in service.state.data) == limits_announced
    assert sent[0] is limits_announced and ("m-new" in marked) == limits_announced
    assert ("m-new" in service.truth()[2]) == limits_announced


def test_a_creation_without_an_answer_holds_the_move_up_until_a_new_term():
    # Applied late, it would bring an old truth back beside the pages.
    service = StorageHarness()
    proof = []
    inventory = service.inventory()
    inventory.single_record.all_upgraded = lambda: bool(proof)
    inventory.single_record.form = InventoryForm.SINGLE_RECORD
    service.fate = lambda body: "late"
    inventory.mark_up(service.now, "m-1", GROUPS[0])
    service.step(inventory)
    service.fate = lambda body: "served"
    inventory.mark_up(service.now, "m-2", GROUPS[0])
    service.run(inventory, 4.0)
    proof.append(True)
    service.run(inventory, 4.0)
    assert inventory.blocked() and "c/fleet" in service.state.data
    successor = service.inventory()
    service.run(successor, 4.0)
    (call,) = service.late
    assert service.serve(call)[0] == 409 and successor.paged and "c/fleet" not in service.state.data


def test_what_two_pages_say_of_a_machine_adds_up_before_either_forgets_it():
    # A leader died while it moved machines from one page to another.
    service = StorageHarness()
    place = {"type": "caja-grande", "zone": "monterrey", "spot": True}
    service.put("c/fleet/0", {"places": [{**place, "fresh": ["m-1", "m-2"]}]})
    service.put("c/fleet/1", {"places": [{**place, "up": ["m-1"], "fresh": ["m-3"]}]})
    truth = service.truth()
    inventory = service.inventory()
    inventory.writer.max_writes = 1
    for _ in range(100):
        service.step(inventory)
        assert service.truth() == truth and truth[2] == {"m-1"}
    assert str(service.state.data).count("'m-1'") == 1


def test_a_page_that_a_late_removal_has_taken_is_written_again():
    # It was left over from a move, its removal had no answer, and then it was taken into use.
    service = StorageHarness()
    inventory = service.inventory()
    inventory.mark_up(service.now, "m-1", GROUPS[0])
    service.run(inventory, 2.0)
    service.state.transaction(
        {"guards": [], "writes": [{"remove": "c/fleet/0"}]}, lambda status, body: None
    )
    inventory.mark_up(service.now, "m-2", GROUPS[0])
    service.run(inventory, 4.0)
    assert service.truth()[2] == {"m-1", "m-2"}


class InventoryDay:
    """A fleet that changes at random while writes are lost, late or unanswered and leaders fall."""

    def __init__(self, seed, value_kb):
        self.rng, self.service = random.Random(seed), StorageHarness(value_kb=value_kb)
        self.proof, self.numbers = False, itertools.count(1)
        # What the cloud has answered to bookings that were sent; machines; marks that count.
        self.cloud, self.machines, self.marked = {}, {}, set()
        if seed % 2:
            old_form(self.service, 60)
            self.machines = dict(self.service.truth()[1])
            self.cloud["b-1-7"] = [f"m-{next(self.numbers) + 900000:06d}" for _ in range(3)]
            self.marked = set(self.machines)
        self.service.fate = lambda body: self.rng.choices(
            ["served", "answer lost", "late", "never"], [20, 1, 1, 1]
        )[0]
        self.lead()

    def lead(self):
        service, rng = self.service, self.rng
        least = 1024 * self.service.state.limits["value_kb"]
        self.inventory = service.inventory(all_upgraded=False, rate=60.0, least=min(least, 2048.0))
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
        # Some are longer than a booking's room was kept for.
        filler = "x" * self.rng.choice([0, 0, 20])
        return [f"m-{filler}{next(self.numbers):06d}" for _ in range(count)]

    def change(self):
        rng, now, inventory = self.rng, self.service.now, self.inventory
        kind = rng.random()
        if kind < 0.25 and len(inventory.machines) < 250:
            request, place = (
                f"b-{next(self.numbers)}-{inventory.context.token_version()}",
                rng.choice(GROUPS),
            )

            def on_done(n, ok):
                if self.inventory is not inventory:
                    return
                if ok:
                    self.open[request] = True
                    self.cloud[request] = self.names(count)
                else:
                    inventory.record_answer(n, request, [])

            count = rng.randint(1, 20)
            inventory.record_request(now, request, place, count, on_done)
        elif kind < 0.5 and self.open:
            request = rng.choice(sorted(self.open))
            del self.open[request]
            place = inventory.pending_requests[request][0]
            self.machines.update(dict.fromkeys(self.cloud[request], place))
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
        while self.service.late and self.rng.random() < 0.1:
            calls = self.service.late
            self.service.serve(calls.pop(self.rng.randrange(len(calls))))

    def check(self):
        booked, places, up = self.service.truth()
        assert set(self.open) <= set(booked)
        for request, names in self.cloud.items():
            assert request in booked or set(names) & set(self.machines) <= set(places)
        assert self.marked <= up


@pytest.mark.parametrize("seed", range(6))
def test_random_days_of_a_fleet_lose_no_booking_machine_or_mark(seed):
    day = InventoryDay(seed, 32.0)
    for step in range(700):
        if step == 150:
            day.proof = True
        if step == 300:
            # Pages that were stored when values could be larger are broken up by a successor.
            day.service.state.drop(value_kb=1.2)
            day.lead()
        for _ in range(day.rng.randint(0, 4)):
            day.change()
        day.service.step(day.inventory)
        if day.inventory.blocked():
            day.lead()
        day.late()
        day.check()
    day.service.fate = lambda body: "served"
    day.service.run(day.inventory, 20.0)
    day.check()
    assert day.inventory.paged and "c/fleet" not in day.service.state.data
    assert day.service.truth() == (
        day.inventory.pending_requests,
        day.inventory.machines,
        day.inventory.up,
    )
    assert day.service.state.too_large <= 2


def test_pages_follow_limits_that_drop_unannounced():
    # Guards a fleet whose pages were filled when values could be larger: without `state.next` only
    # refusals say so, and a page that is refused for ever stores neither bookings nor marks.
    service = StorageHarness()
    inventory = service.inventory(limits_announced=False, least=32768.0)
    fill(service, inventory, 400)
    service.run(inventory, 8.0)
    assert service.state.largest > 4096
    service.state.drop(value_kb=2.0, txn_ops=5)
    refused, sent, marked = service.state.too_large, [], set()
    inventory.writer.max_writes = 16
    inventory.on_marks_stored = lambda now, names: marked.update(names)
    for number, place in enumerate(GROUPS):
        inventory.record_request(
            service.now, f"b-9-{number}", place, 3, lambda n, ok: sent.append(ok)
        )
        inventory.mark_up(service.now, f"m-9{number}", place)
    for name in sorted(n for n in inventory.machines if n.startswith("m-0"))[::7]:
        inventory.remove(service.now, name)
    truth = service.truth()
    for _ in range(1200):
        service.step(inventory)
        _, places, up = service.truth()
        # Whatever breaks up on the way, nothing that is still wanted is forgotten.
        assert set(inventory.machines) & set(truth[1]) <= set(places)
        assert marked <= up
    assert sent == [True] * len(GROUPS) and {f"m-9{n}" for n in range(len(GROUPS))} <= marked
    assert service.truth() == (inventory.pending_requests, inventory.machines, inventory.up)
    assert service.state.too_large - refused <= 12
    # A successor starts from the settings and goes on with the pages as they are.
    successor = service.inventory(limits_announced=False, least=32768.0)
    successor.mark_up(service.now, "m-10", GROUPS[0])
    service.run(successor, 20.0)
    assert "m-10" in service.truth()[2]


def test_a_page_of_one_item_that_no_value_can_hold_is_not_moved_around_for_ever():
    service = StorageHarness()
    inventory = service.inventory(limits_announced=False, least=32768.0)
    service.state.drop(value_kb=0.5)
    sent, pages, request = [], len(inventory.pages), "b" * 600

    def on_done(now, ok):
        sent.append(ok)
        inventory.record_answer(now, request, [])

    inventory.record_request(service.now, request, GROUPS[0], 1, on_done)
    service.run(inventory, 10.0)
    # Its booker is told, may not send it and lets it go; what else there is finds a page.
    assert sent == [False] and len(inventory.pages) <= pages + 1
    assert service.state.too_large <= 2
    inventory.mark_up(service.now, "m-1", GROUPS[1])
    service.run(inventory, 10.0)
    assert "m-1" in service.truth()[2]


def test_a_page_of_one_item_is_not_moved_by_each_new_leader():
    # Its booking keeps more room than a page has: there is nothing to gain from another page.
    service = StorageHarness()
    place = {"type": "caja-grande", "zone": "monterrey", "spot": True}
    service.put("c/fleet/0", {"places": [{**place, "booked": {"b-1-1": 300}}]})
    inventory = service.inventory()
    service.run(inventory, 4.0)
    assert set(service.stored().pages) == {0} == set(inventory.pages)

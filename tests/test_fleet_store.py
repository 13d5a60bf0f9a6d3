"""The fleet's records: one record, the move to pages, and pages that limits make small."""

import itertools
import random

import pytest

from tests.state_service import COMING, Service

PLACES = [
    ("caja-grande", zone, spot)
    for zone in ("monterrey", "guadalajara", "queretaro")
    for spot in (True, False)
]


def fill(service, fleet_store, machines=550):
    """Rent in the leader's manner: each place in turn, some 20 a booking; they come up."""
    names = itertools.count(1)
    while len(fleet_store.places) < machines:
        place = PLACES[next(names) % len(PLACES)]
        count = min(20, machines - len(fleet_store.places))
        request, sent = f"b-1-{next(names)}", []
        fleet_store.book(service.now, request, place, count, lambda now, ok, s=sent: s.append(ok))
        for _ in range(200):
            if sent:
                break
            service.step(fleet_store)
        assert sent == [True]
        fleet_store.ended(service.now, request, [f"m-{next(names):06d}" for _ in range(count)])
        for name in sorted(set(fleet_store.places) - fleet_store.up)[:20]:
            fleet_store.came_up(service.now, name, fleet_store.places[name])
    service.run(fleet_store, 12.0)


def test_a_fleet_of_several_hundred_machines_fits_and_costs_few_writes():
    service = Service(**COMING)
    fleet_store = service.fleet_store()
    marked = set()
    fleet_store.on_stored = lambda now, names: marked.update(names)
    began, writes = service.now, service.state.writes
    fill(service, fleet_store)
    state = service.state
    assert fleet_store.paged and "c/fleet" not in state.data and not fleet_store.full()
    assert (
        service.truth() == ({}, fleet_store.places, fleet_store.up) and len(fleet_store.up) == 550
    )
    assert marked | fleet_store.up == marked | fleet_store.stored == marked
    # A quarter of the budget at most, in values and transactions that are allowed.
    assert state.writes - writes <= (service.now - began) * 15.0 / 4 + 5
    assert (state.too_large, state.too_fast) == (0, 0) and state.largest <= 2048
    assert len(fleet_store.pages) <= 8
    # One machine less is one write, and not before others could share it.
    before = state.writes
    for name in sorted(fleet_store.places)[:3]:
        fleet_store.gone(service.now, name)
    service.run(fleet_store, 1.0)
    assert state.writes == before
    service.run(fleet_store, 6.0)
    assert 1 <= state.writes - before <= 3 and service.truth()[1] == fleet_store.places


def test_names_that_do_not_fit_their_page_leave_the_booking_until_they_are_stored():
    service = Service(**COMING)
    fleet_store = service.fleet_store()
    sent = []
    fleet_store.book(service.now, "b-1-1", PLACES[0], 50, lambda now, ok: sent.append(ok))
    service.run(fleet_store, 1.0)
    names = [f"machine-with-a-long-name-{n:06d}" for n in range(50)]
    fleet_store.ended(service.now, "b-1-1", names)
    for _ in range(200):
        service.step(fleet_store)
        booked, places, _ = service.truth()
        assert "b-1-1" in booked or set(names) <= set(places)
    assert service.truth()[:2] == ({}, dict.fromkeys(names, PLACES[0]))
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
        for i, p in enumerate(PLACES)
    ]
    places[0]["booked"] = {"b-1-7": 3}
    service.put("c/fleet", {"places": places})


@pytest.mark.parametrize("fate", ["answer lost", "never", "late"])
def test_a_leader_may_die_at_each_step_of_the_move(fate):
    # The leader's life ends at its n-th write, whose answer it doesn't see; a successor must know
    # the same fleet at each moment, and late writes of the dead one must change nothing.
    for steps in range(12):
        service = Service()
        old_form(service)
        truth = service.truth()
        fleet_store = service.fleet_store()
        left = iter(["served"] * steps)
        service.fate = lambda body, left=left: next(left, fate)
        for _ in range(200):
            service.step(fleet_store)
            assert service.truth() == truth
        service.fate = lambda body: "served"
        successor = service.fleet_store()
        assert (successor.booked, successor.places, successor.up) == truth
        late, service.late = service.late, []
        for call in late:
            assert service.serve(call)[0] == 409
            assert service.truth() == truth
        service.state.drop(**COMING)
        service.run(successor, 12.0)
        assert "c/fleet" not in service.state.data and successor.paged
        assert service.truth() == truth
        # Nothing is left of what the dead one has written.
        assert set(service.stored().pages) == set(successor.pages) and not successor.leftover


def test_pages_of_an_interrupted_move_do_not_count_and_go():
    service = Service()
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
    fleet_store = service.fleet_store(all_upgraded=False)
    fleet_store.came_up(service.now, "m-new", PLACES[0])
    service.run(fleet_store, 3.0)
    assert "m-new" in service.truth()[1] and "m-new" in str(service.state.data["c/fleet"])
    assert len(service.stored().pages) == 9
    fleet_store = service.fleet_store()
    service.run(fleet_store, 12.0)
    assert "x-" not in str(service.stored()) and "m-new" in service.truth()[1]
    assert len(service.stored().pages) == len(fleet_store.pages) < 9


@pytest.mark.parametrize("limits_drop", [True, False])
def test_a_refused_record_is_proof_of_the_upgrade_only_if_limits_were_announced(limits_drop):
    service = Service()
    old_form(service)
    fleet_store = service.fleet_store(all_upgraded=False, limits_drop=limits_drop)
    service.state.drop(**COMING)
    sent, marked = [], set()
    fleet_store.on_stored = lambda now, names: marked.update(names)
    fleet_store.book(service.now, "b-9-1", PLACES[1], 2, lambda now, ok: sent.append(ok))
    fleet_store.came_up(service.now, "m-new", PLACES[0])
    service.run(fleet_store, 12.0)
    assert ("c/fleet" not in service.state.data) == limits_drop
    assert sent[0] is limits_drop and ("m-new" in marked) == limits_drop
    assert ("m-new" in service.truth()[2]) == limits_drop


def test_a_creation_without_an_answer_holds_the_move_up_until_a_new_term():
    # Applied late, it would bring an old truth back beside the pages.
    service = Service()
    proof = []
    fleet_store = service.fleet_store()
    fleet_store.all_upgraded, fleet_store.paged = lambda: bool(proof), False
    service.fate = lambda body: "late"
    fleet_store.came_up(service.now, "m-1", PLACES[0])
    service.step(fleet_store)
    service.fate = lambda body: "served"
    fleet_store.came_up(service.now, "m-2", PLACES[0])
    service.run(fleet_store, 4.0)
    proof.append(True)
    service.run(fleet_store, 4.0)
    assert fleet_store.stuck() and "c/fleet" in service.state.data
    successor = service.fleet_store()
    service.run(successor, 4.0)
    (call,) = service.late
    assert service.serve(call)[0] == 409 and successor.paged and "c/fleet" not in service.state.data


def test_what_two_pages_say_of_a_machine_adds_up_before_either_forgets_it():
    # A leader died while it moved machines from one page to another.
    service = Service()
    place = {"type": "caja-grande", "zone": "monterrey", "spot": True}
    service.put("c/fleet/0", {"places": [{**place, "fresh": ["m-1", "m-2"]}]})
    service.put("c/fleet/1", {"places": [{**place, "up": ["m-1"], "fresh": ["m-3"]}]})
    truth = service.truth()
    fleet_store = service.fleet_store()
    fleet_store.txn_ops = 1
    for _ in range(100):
        service.step(fleet_store)
        assert service.truth() == truth and truth[2] == {"m-1"}
    assert str(service.state.data).count("'m-1'") == 1


def test_a_page_that_a_late_removal_has_taken_is_written_again():
    # It was left over from a move, its removal had no answer, and then it was taken into use.
    service = Service()
    fleet_store = service.fleet_store()
    fleet_store.came_up(service.now, "m-1", PLACES[0])
    service.run(fleet_store, 2.0)
    service.state.transaction(
        {"guards": [], "writes": [{"remove": "c/fleet/0"}]}, lambda status, body: None
    )
    fleet_store.came_up(service.now, "m-2", PLACES[0])
    service.run(fleet_store, 4.0)
    assert service.truth()[2] == {"m-1", "m-2"}


class FleetDay:
    """A fleet that changes at random while writes are lost, late or unanswered and leaders fall."""

    def __init__(self, seed, value_kb):
        self.rng, self.service = random.Random(seed), Service(value_kb=value_kb)
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
        self.fleet_store = service.fleet_store(
            all_upgraded=False, rate=60.0, least=min(least, 2048.0)
        )
        # What one transaction would cover must hold when it takes several as well.
        self.fleet_store.txn_ops = rng.choice([1, 2, 5])
        self.fleet_store.all_upgraded = lambda: self.proof
        self.fleet_store.on_stored = lambda now, names: self.marked.update(names)
        self.open = {}
        for request in list(self.fleet_store.booked):
            # A successor asks the cloud again, which gives the same answer.
            self.cloud.setdefault(request, self.names(rng.randint(1, 9)))
            self.open[request] = True

    def names(self, count):
        # Some are longer than a booking's room was kept for.
        filler = "x" * self.rng.choice([0, 0, 20])
        return [f"m-{filler}{next(self.numbers):06d}" for _ in range(count)]

    def change(self):
        rng, now, fleet_store = self.rng, self.service.now, self.fleet_store
        kind = rng.random()
        if kind < 0.25 and len(fleet_store.places) < 250:
            request, place = (
                f"b-{next(self.numbers)}-{fleet_store.token_version()}",
                rng.choice(PLACES),
            )

            def on_done(n, ok):
                if self.fleet_store is not fleet_store:
                    return
                if ok:
                    self.open[request] = True
                    self.cloud[request] = self.names(count)
                else:
                    fleet_store.ended(n, request, [])

            count = rng.randint(1, 20)
            fleet_store.book(now, request, place, count, on_done)
        elif kind < 0.5 and self.open:
            request = rng.choice(sorted(self.open))
            del self.open[request]
            place = fleet_store.booked[request][0]
            self.machines.update(dict.fromkeys(self.cloud[request], place))
            fleet_store.ended(now, request, self.cloud[request])
        elif kind < 0.8 and set(fleet_store.places) - fleet_store.up:
            name = rng.choice(sorted(set(fleet_store.places) - fleet_store.up))
            fleet_store.came_up(now, name, fleet_store.places[name])
        elif kind < 0.97 and fleet_store.places:
            name = rng.choice(sorted(fleet_store.places))
            self.machines.pop(name, None)
            self.marked.discard(name)
            for names in self.cloud.values():
                if name in names:
                    names.remove(name)
            fleet_store.gone(now, name)
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
    day = FleetDay(seed, 32.0)
    for step in range(700):
        if step == 150:
            day.proof = True
        if step == 300:
            # Pages that were stored when values could be larger are broken up by a successor.
            day.service.state.drop(value_kb=1.2)
            day.lead()
        for _ in range(day.rng.randint(0, 4)):
            day.change()
        day.service.step(day.fleet_store)
        if day.fleet_store.stuck():
            day.lead()
        day.late()
        day.check()
    day.service.fate = lambda body: "served"
    day.service.run(day.fleet_store, 20.0)
    day.check()
    assert day.fleet_store.paged and "c/fleet" not in day.service.state.data
    assert day.service.truth() == (
        day.fleet_store.booked,
        day.fleet_store.places,
        day.fleet_store.up,
    )
    assert day.service.state.too_large <= 2


def test_pages_follow_limits_that_drop_unannounced():
    # Guards a fleet whose pages were filled when values could be larger: without `state.next` only
    # refusals say so, and a page that is refused for ever stores neither bookings nor marks.
    service = Service()
    fleet_store = service.fleet_store(limits_drop=False, least=32768.0)
    fill(service, fleet_store, 400)
    service.run(fleet_store, 8.0)
    assert service.state.largest > 4096
    service.state.drop(value_kb=2.0, txn_ops=5)
    refused, sent, marked = service.state.too_large, [], set()
    fleet_store.txn_ops = 16
    fleet_store.on_stored = lambda now, names: marked.update(names)
    for number, place in enumerate(PLACES):
        fleet_store.book(service.now, f"b-9-{number}", place, 3, lambda n, ok: sent.append(ok))
        fleet_store.came_up(service.now, f"m-9{number}", place)
    for name in sorted(n for n in fleet_store.places if n.startswith("m-0"))[::7]:
        fleet_store.gone(service.now, name)
    truth = service.truth()
    for _ in range(1200):
        service.step(fleet_store)
        _, places, up = service.truth()
        # Whatever breaks up on the way, nothing that is still wanted is forgotten.
        assert set(fleet_store.places) & set(truth[1]) <= set(places)
        assert marked <= up
    assert sent == [True] * len(PLACES) and {f"m-9{n}" for n in range(len(PLACES))} <= marked
    assert service.truth() == (fleet_store.booked, fleet_store.places, fleet_store.up)
    assert service.state.too_large - refused <= 12
    # A successor starts from the settings and goes on with the pages as they are.
    successor = service.fleet_store(limits_drop=False, least=32768.0)
    successor.came_up(service.now, "m-10", PLACES[0])
    service.run(successor, 20.0)
    assert "m-10" in service.truth()[2]


def test_a_page_of_one_item_that_no_value_can_hold_is_not_moved_around_for_ever():
    service = Service()
    fleet_store = service.fleet_store(limits_drop=False, least=32768.0)
    service.state.drop(value_kb=0.5)
    sent, pages, request = [], len(fleet_store.pages), "b" * 600

    def on_done(now, ok):
        sent.append(ok)
        fleet_store.ended(now, request, [])

    fleet_store.book(service.now, request, PLACES[0], 1, on_done)
    service.run(fleet_store, 10.0)
    # Its booker is told, may not send it and lets it go; what else there is finds a page.
    assert sent == [False] and len(fleet_store.pages) <= pages + 1
    assert service.state.too_large <= 2
    fleet_store.came_up(service.now, "m-1", PLACES[1])
    service.run(fleet_store, 10.0)
    assert "m-1" in service.truth()[2]


def test_a_page_of_one_item_is_not_moved_by_each_new_leader():
    # Its booking keeps more room than a page has: there is nothing to gain from another page.
    service = Service()
    place = {"type": "caja-grande", "zone": "monterrey", "spot": True}
    service.put("c/fleet/0", {"places": [{**place, "booked": {"b-1-1": 300}}]})
    fleet_store = service.fleet_store()
    service.run(fleet_store, 4.0)
    assert set(service.stored().pages) == {0} == set(fleet_store.pages)

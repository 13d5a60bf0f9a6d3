"""Two versions side by side, the move of the fleet's record, and limits that drop unannounced.

The bytes of the version in production were written by running it (`tests/production.py` names its
commit); the stories run it beside this one, from the repository's history.
"""

import itertools
import json
import random

import msgspec
import pytest

from copperpass import peer, wire
from copperpass import settings as settings_module
from copperpass.core.completions import CompletionStore
from copperpass.core.directory import Contact, Entry, Status
from copperpass.core.fleet_store import FleetStore, StoredFleet
from copperpass.core.jobs import JobTable, make_job, pack_done
from copperpass.core.ports import Outbox, Outcome
from copperpass.core.transactions import APPLIED, INVALID, PLAIN, Op, TransactionQueue
from tests import production
from tests.simulation import Simulation, State, job, raw_settings

COMING = {"write_rps": 15.0, "value_kb": 2.0, "txn_ops": 5}
CONTACT = Contact("10.0.0.9:1", 3, 77)
# Frames as the version in production packs them.
FRAMES = [
    (peer.Hello("n1"), "63700301000000026e31"),
    (peer.Heartbeat(7, peer.NEVER), "637003020000000c0000000000000007ffffffff"),
    (peer.PromiseRequest(7, 9), "637003030000001000000000000000070000000000000009"),
    (peer.Promise(7, 9, True), "63700304000000110000000000000007000000000000000901"),
    (peer.RunningCounts({"req-000001": 3}), "637003050000000f0a000000037265712d303030303031"),
    (peer.RelayedReport(7, b"{}"), "6370030600000006000000077b7d"),
    (peer.RelayedAnswer(7, 421, b""), "63700307000000060000000701a5"),
    (
        peer.GrantRequest(3, 1 << 61, 9, 12),
        "637003080000001c0000000000000003200000000000000000000009000000000000000c",
    ),
    (
        peer.Grant(3, 1 << 61, 9, 1400, 55, True, 4, (peer.Share(1, "n2", 7, 90, 12),)),
        "637003090000004200000000000000032000000000000000000000090000057800000000000000370100"
        "0000000000000401026e320100000007000000000000005a000000000000000c",
    ),
    (
        peer.Entries(
            3,
            5,
            0,
            2,
            (
                Entry(
                    "m-1", "box", "a", True, 1, 1 << 45, 2, True, False, True, False, False, CONTACT
                ),
                Entry("m-2", "box", "b", False, 255, 7, gone=True),
            ),
        ),
        "6370030a0000006700000000000000030000000000000005000000000000000000000000000000020002"
        "036d2d3103626f780161010000200000000000028b0a31302e302e302e393a3100000000000000030000"
        "00000000004d036d2d3203626f780162ff00000000000000070020",
    ),
    (
        peer.Statuses(
            3,
            5,
            2,
            3,
            (
                Status("m-1", 1 << 45, True, True, False, True, 1, False, 4.0, CONTACT),
                Status("m-2", 7),
            ),
        ),
        "6370030b0000006100000000000000030000000000000005000000000000000200000000000000030002"
        "036d2d3100002000000000002b01408000000a31302e302e302e393a3100000000000000030000000000"
        "00004d036d2d32000000000000000700ff00000000",
    ),
    (
        peer.MachineRequests(3, 1, 12, (("req-000001", 40, 2.5),)),
        "6370030c00000026000000000000000301000000000000000c00010a7265712d30303030303100000028"
        "40200000",
    ),
]

# Records as it writes them, and what reads them here.
SPEC = (
    '{"id":"req-000002","slot":"quick","desk":"red","form":"batch","urgency":"high","pages":3,'
    '"cpus":4.0,"cards":0.0,"memory_gb":8.0,"master":"img-1","size_gb":0.5,"same_place":false,'
    '"spread":false,"borrowed":true,"runtime_s":8.0,"proof_s":0.0,"flush_s":0.0,"racks":["box"],'
    '"hall":"a","edition_s":null}'
)
RECORDS = [
    ("c/lead", wire.LeadRecord, '{"member":"n0","token":1,"lease":1}'),
    ("c/token", wire.TokenRecord, '{"token":1,"member":"n0"}'),
    ("c/live/req-000002", wire.JobRecord, '{"spec":' + SPEC + ',"at":1100.1}'),
    ("d/job/req-000002", wire.JobRecord, '{"final":"done","count":3}'),
    ("c/ends/0.0", dict[str, str], '{"req-000001":"Bg=="}'),
    (
        "c/types",
        wire.MachineTypes,
        '{"racks":[{"name":"box","cpus":16.0,"memory_gb":64.0,"price":1.0,"startup_s":10.0,'
        '"halls":["a","b","c"],"cards":0.0,"local_gb":20.0,"fetch_gb_per_s":1.0,"low_price":0.4}]}',
    ),
    (
        "c/fleet",
        wire.FleetRecord,
        '{"places":[{"type":"box","zone":"a","spot":true,"booked":{"b-1-1":1},"fresh":["m-000001",'
        '"m-000004","m-000005"]},{"type":"box","zone":"c","spot":true,"up":["m-000003"]}]}',
    ),
]


@pytest.mark.parametrize(("frame", "packed"), FRAMES, ids=lambda v: type(v).__name__)
def test_frames_of_the_version_in_production_go_both_ways(frame, packed):
    assert peer.pack(frame).hex() == packed
    assert peer.Unpacker().feed(bytes.fromhex(packed)) == [frame]


@pytest.mark.parametrize(("key", "kind", "raw"), RECORDS, ids=[r[0] for r in RECORDS])
def test_records_of_the_version_in_production_go_both_ways(key, kind, raw):
    record = wire.decode(raw.encode(), kind)
    assert record is not None
    written = json.loads(wire.encode(record))
    # Whatever it wrote is written back; beside it may stand only what it reads without harm.
    assert written == {**written, **json.loads(raw)}
    old = production.load(production.VERSION_0_2_0)
    theirs = getattr(old.wire, getattr(kind, "__name__", ""), kind)
    again = old.wire.decode(wire.encode(record), theirs)
    assert json.loads(old.wire.encode(again)) == json.loads(
        old.wire.encode(old.wire.decode(raw.encode(), theirs))
    )


def test_coming_limits_are_checked_and_the_lower_of_both_holds():
    state = settings_module.parse(raw_settings(coming=COMING)).cluster.state
    assert (state.least_write_rps, state.least_value_bytes, state.least_txn_ops) == (15, 2048, 5)
    plain = settings_module.parse(raw_settings()).cluster.state
    assert (plain.least_write_rps, plain.least_value_bytes, plain.least_txn_ops) == (60, 32768, 16)
    higher = settings_module.parse(raw_settings(coming={**COMING, "value_kb": 64.0}))
    assert higher.cluster.state.least_value_bytes == 32768
    for field, value in (("write_rps", 0), ("value_kb", -1.0), ("txn_ops", 3), ("txn_ops", "x")):
        with pytest.raises(settings_module.SettingsError, match=f"next.{field}"):
            settings_module.parse(raw_settings(coming={**COMING, field: value}))


class Service:
    """The state service and one writer, without a network."""

    def __init__(self, **limits):
        self.now, self.rng, self.timers = 100.0, random.Random(1), []
        self.state = State(self)
        self.state.drop(**limits)
        self.out = Outbox()
        self.fate = lambda body: "served"
        self.late = []

    def after(self, delay, action):
        """Watches are not followed to their end here."""

    def wrote(self, writes):
        """Part of the simulation's interface."""

    def win(self):
        """A new leader: what it lists, and the version that guards its writes."""
        self.out = Outbox()
        self.put("c/token", {"token": self.state.revision + 1})
        return self.state.data["c/token"][1]

    def put(self, key, value):
        self.state.transaction(
            {"guards": [], "writes": [{"put": key, "value": value}]}, lambda status, body: None
        )
        assert key in self.state.data

    def serve(self, call):
        answers = []
        self.state.handle(call.method, call.path, call.body, lambda *a: answers.append(a))
        return answers[0]

    def stored(self):
        held = StoredFleet()
        for key, (value, version, _) in self.state.data.items():
            held.saw(key, json.dumps(value).encode(), version)
        return held

    def fleet_store(self, proven=True, limits_drop=True, rate=15.0, least=2048.0):
        token = self.win()
        held = self.stored()
        transactions = TransactionQueue(self.out, rate, 5, 1.0)
        made = FleetStore(
            transactions,
            lambda: token,
            32768.0,
            4 / rate,
            12.0,
            least,
            5,
            lambda: proven,
            limits_drop,
        )
        made.load(held.record, held.version, held.pages)
        made.begin(self.now)
        return made

    def step(self, fleet_store):
        """Serve what was asked, bring the watch's news, let a moment pass."""
        calls, self.out.calls = self.out.calls, []
        for call in calls:
            fate = self.fate(json.loads(call.body))
            answer = self.serve(call) if fate in ("served", "answer lost") else (0, b"")
            if fate == "late":
                self.late.append(call)
            call.then(self.now, Outcome(*answer) if fate == "served" else Outcome(0))
        before, held = getattr(self, "seen", {}), self.stored()
        fleet_store.saw(held.version)
        for number in {*held.pages, *before}:
            version = held.pages[number][1] if number in held.pages else self.state.revision
            fleet_store.saw_page(number, version, number in held.pages)
        self.seen = dict(held.pages)
        self.now += 0.05
        fleet_store.transactions.pump(self.now)
        fleet_store.tick(self.now)

    def run(self, fleet_store, seconds):
        for _ in range(int(seconds / 0.05)):
            self.step(fleet_store)

    def truth(self):
        """What a successor would know: bookings, machines, and which of them are up."""
        held = self.stored()
        reader = FleetStore(
            TransactionQueue(Outbox(), 15.0, 5, 1.0), lambda: 0, 32768.0, 1.0, 1.0, 2048.0, 5
        )
        reader.load(held.record, held.version, held.pages)
        return (dict(reader.booked), dict(reader.places), set(reader.up))


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
    fleet_store = service.fleet_store(proven=False)
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
    fleet_store = service.fleet_store(proven=False, limits_drop=limits_drop)
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
    fleet_store.proven, fleet_store.paged = lambda: bool(proof), False
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
        self.fleet_store = service.fleet_store(proven=False, rate=60.0, least=min(least, 2048.0))
        # What one transaction would cover must hold when it takes several as well.
        self.fleet_store.txn_ops = rng.choice([1, 2, 5])
        self.fleet_store.proven = lambda: self.proof
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

            def then(n, ok):
                if self.fleet_store is not fleet_store:
                    return
                if ok:
                    self.open[request] = True
                    self.cloud[request] = self.names(count)
                else:
                    fleet_store.ended(n, request, [])

            count = rng.randint(1, 20)
            fleet_store.book(now, request, place, count, then)
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


# -- the transaction queue -----------------------------------------------------------------


def test_refused_batches_go_one_by_one_within_the_budgets_and_teach_the_limit():
    service = Service(txn_ops=5)
    transactions = TransactionQueue(service.out, 60.0, 16, 1.0)
    ends = []
    for n in range(120):
        value = "x" * 40000 if n == 33 else n
        transactions.submit(
            service.now,
            Op(
                {},
                [wire.put(f"k/{n}", value)],
                lambda now, how, rev, n=n: ends.append((n, how)),
                999.0,
            ),
        )
    for _ in range(400):
        calls, service.out.calls = service.out.calls, []
        assert transactions.in_flight == len(calls) <= TransactionQueue.IN_FLIGHT
        for call in calls:
            call.then(service.now, Outcome(*service.serve(call)))
        service.now += 0.05
        transactions.pump(service.now)
    assert sorted(ends) == [(n, INVALID if n == 33 else APPLIED) for n in range(120)]
    assert (
        transactions.txn_ops <= 5 and service.state.too_large <= 12 and service.state.too_fast == 0
    )


def test_refusals_for_the_rate_slow_the_ledger_down_and_drop_nothing():
    service = Service(write_rps=5.0)
    transactions = TransactionQueue(service.out, 60.0, 16, 1.0)
    ends, sent = [], 0
    for n in range(150):
        transactions.submit(
            service.now,
            Op({}, [wire.put(f"k/{n}", n)], lambda now, how, rev: ends.append(how), 999.0, PLAIN),
        )
    for _ in range(1200):
        calls, service.out.calls = service.out.calls, []
        sent += len(calls)
        for call in calls:
            call.then(service.now, Outcome(*service.serve(call)))
        service.now += 0.05
        transactions.pump(service.now)
        if len(ends) == 150:
            break
    assert ends == [APPLIED] * 150
    # Batches of up to 16 never fit into 5 a second: the pace finds what does, without a storm.
    assert service.state.too_fast < 0.2 * sent + 60
    slow = transactions.budget.rate
    service.state.drop(write_rps=60.0)
    transactions.budget.take(service.now + 120.0, 0.0)
    assert slow < 20.0 and transactions.budget.rate == transactions.budget.full_rate


# -- ends ------------------------------------------------------------------------------------


def ended_jobs(service, sizes):
    """Live jobs, by their numbers of tasks."""
    table = JobTable()
    for n, tasks in enumerate(sizes, 1):
        record = wire.JobRecord(spec=msgspec.convert(job(n, tasks=tasks), wire.Spec))
        made = make_job(record, 1, service.now)
        table.jobs[made.spec.id] = made
    return table


def see_ends(service, table, versions):
    for key, (value, version, _) in service.state.data.items():
        if key.startswith("c/ends/"):
            table.saw_completions(key, json.dumps(value).encode())
            versions[key] = version


def writer(service, table):
    versions = {}
    see_ends(service, table, versions)
    service.out.calls.clear()
    token = service.state.data["c/token"][1]
    return CompletionStore(
        table,
        TransactionQueue(service.out, 60.0, 5, 1.0),
        lambda: token,
        versions,
        0,
        0.8 * 2048,
        0.1,
        12.0,
        0.8 * 32768,
    )


def gather(service, progress, seconds=3.0):
    """Let the writer of ends write; no end that is stored may be forgotten on the way."""
    for _ in range(int(seconds / 0.05)):
        calls, service.out.calls = service.out.calls, []
        for call in calls:
            before = ends_stored(service, progress.jobs.jobs)
            call.then(service.now, Outcome(*service.serve(call)))
            after = ends_stored(service, progress.jobs.jobs)
            assert all(before[i] <= after[i] for i in before)
        service.now += 0.05
        progress.transactions.pump(service.now)
        progress.tick(service.now)


def ends_stored(service, jobs):
    """What a successor would know of each job's ends."""
    table = ended_jobs(service, [j.spec.tasks for j in jobs.values()])
    see_ends(service, table, {})
    return {i: {n for n in range(j.spec.tasks) if j.is_done(n)} for i, j in table.jobs.items()}


def test_pages_of_ends_that_are_too_large_are_broken_up_and_no_end_is_lost():
    service = Service()
    service.win()
    table = ended_jobs(service, [900] * 30)
    service.put("c/ends/0.0", {i: pack_done(bytearray(b"\xff" * 112)) for i in table.jobs})
    progress = writer(service, table)
    first = table.jobs["req-000001"]
    for some in table.jobs.values():
        some.finished.add(899)
        progress.note(service.now, some)
    gather(service, progress)
    stored = ends_stored(service, table.jobs)
    assert all(899 in ends and len(ends) == 897 for ends in stored.values())
    assert not first.finished
    pages = {k: v[0] for k, v in service.state.data.items() if k.startswith("c/ends/")}
    assert max(len(json.dumps(v)) for v in pages.values()) <= 2048
    assert sorted(i for v in pages.values() for i in v) == sorted(table.jobs)


def test_a_mask_that_fits_no_page_is_cut_once_the_limits_have_dropped():
    service = Service()
    service.win()
    table = ended_jobs(service, [100_000, 40])
    big, small = table.jobs.values()
    big.finished.update(range(0, 100_000, 7))
    small.finished.add(3)
    progress = writer(service, table)
    for some in table.jobs.values():
        progress.note(service.now, some)
    gather(service, progress)
    # Until then it is stored as older versions do, which read it so.
    assert big.spec.id in str(service.state.data["c/ends/0.0"][0]) and not big.finished
    service.state.drop(**COMING)
    progress = writer(service, table)
    big.finished.add(99_999)
    progress.note(service.now, big)
    gather(service, progress, 6.0)
    expected = {*range(0, 100_000, 7), 99_999}
    assert ends_stored(service, table.jobs) == {big.spec.id: expected, small.spec.id: {3}}
    pages = {k: v[0] for k, v in service.state.data.items() if k.startswith("c/ends/")}
    assert max(len(json.dumps(v)) for v in pages.values()) <= 2048
    # A successor goes on with the parts as they are; one more end is one more write.
    table = ended_jobs(service, [100_000, 40])
    progress = writer(service, table)
    gather(service, progress, 1.0)
    big, writes = table.jobs["req-000001"], service.state.writes
    big.finished.add(50_001)
    progress.note(service.now, big)
    gather(service, progress, 6.0)
    assert ends_stored(service, table.jobs)[big.spec.id] == {*expected, 50_001}
    assert service.state.writes - writes <= len(pages) and not big.finished
    # An older version takes no harm from the parts: it knows no such jobs, and keeps the pages.
    old = production.load(production.VERSION_0_2_0)
    theirs = old.core.JobTable()
    for key, value in pages.items():
        theirs.saw_ends(key, json.dumps(value).encode())
    assert not theirs.jobs


# -- submissions and the offer -----------------------------------------------------------------


def test_a_submission_that_no_value_can_hold_is_refused_for_good_and_others_are_not():
    simulation = Simulation(coming=COMING)
    simulation.run_until(simulation.leader)
    simulation.state.drop(**COMING)
    padded = simulation.submit(
        job(1, racks=["box"] * 500 + [f"no-such-type-{n}" for n in range(90)])
    )
    endless = simulation.submit(job(2, master="i" * 3000))
    large = simulation.submit(job(3, master="i" * 1500))
    simulation.run(1.0)
    assert [padded.status, endless.status, large.status] == [201, 422, 201]
    assert simulation.state.data["c/live/req-000001"][0]["spec"]["racks"] == ["box"]
    assert simulation.state.too_large == 0
    # Small enough by our count and too large by the service's own.
    size = len(wire.encode(simulation.state.data["c/live/req-000003"][0]))
    narrow = simulation.submit(job(4, master="i" * (1500 + 2048 - 10 - size)))
    simulation.run(1.0)
    assert narrow.status == 422 and simulation.state.too_large == 1
    again = simulation.submit(job(1, master="i" * 3000))
    simulation.run(1.0)
    assert again.status == 200


def test_an_offer_that_no_value_can_hold_is_not_stored():
    simulation = Simulation(coming=COMING)
    one = dict(simulation.cloud.offer[0])
    simulation.cloud.offer = [{**one, "name": f"box-{n}"} for n in range(20)] + [one]
    simulation.run_until(simulation.leader)
    simulation.submit(job(1))
    calls = []
    handle = simulation.cloud.handle
    simulation.cloud.handle = lambda method, path, *rest: (
        calls.append(path),
        handle(method, path, *rest),
    )
    simulation.run(20.0)
    assert "c/types" not in simulation.state.data and calls.count("/machine_types") <= 6
    assert not simulation.broken


# -- both versions at once ---------------------------------------------------------------------


def rolled(order, seed, coming=COMING, parted=False):
    """A simulation in which every member runs the version in production, and jobs run."""
    old = production.load(production.VERSION_0_2_0)
    simulation = Simulation(seed, coming=coming, parted=parted, versions=dict.fromkeys(order, old))
    simulation.run_until(simulation.leader)
    for n in range(1, 5):
        simulation.submit(job(n, team="red" if n % 2 else "blue", tasks=3, run_s=30.0))
    simulation.run(12.0)
    return simulation


def turn(simulation, name, back_after=1.5):
    """A member's process is killed and comes back new."""
    simulation.versions.pop(name)
    simulation.crash(name, back_after)


def settle(simulation, numbers, seconds=150.0):
    """All jobs end, none is forgotten, no rule is broken, and the pages alone are the truth."""
    ids = [f"req-{n:06d}" for n in numbers]
    simulation.run_until(lambda: all(f"d/job/{i}" in simulation.state.data for i in ids), seconds)
    simulation.run_until(lambda: "c/fleet" not in simulation.state.data, 30.0)
    simulation.run(3.0)
    for i in ids:
        poll = simulation.poll(i)
        simulation.run(1.0)
        assert poll.status == 200 and poll.body["status"] == "done"
    assert any(k.startswith("c/fleet/") for k in simulation.state.data)
    assert not simulation.broken
    simulation.check_sums()


@pytest.mark.parametrize("order", list(itertools.permutations(["n0", "n1", "n2"])), ids="-".join)
def test_a_roll_in_each_order_while_jobs_run_and_limits_that_drop_after_the_last_turn(order):
    simulation = rolled(order, seed=sum(map(ord, order[0])) + 7 * int(order[1][1]))
    for number, name in enumerate(order, 5):
        simulation.submit(job(number, tasks=3, run_s=20.0))
        turn(simulation, name)
        simulation.run(5.0)
        if len(simulation.versions):
            # Not proven by all: the one record counts, as the older version wrote it.
            assert "c/fleet" in simulation.state.data
            assert not any(k.startswith("c/fleet/") for k in simulation.state.data)
    simulation.state.drop(**COMING)
    settle(simulation, range(1, 8))
    assert simulation.state.too_large <= 3


def test_processes_that_die_before_and_after_their_turn_and_leaders_of_both_versions():
    simulation = rolled(["n0", "n1", "n2"], seed=3, parted=True)
    led, rng = set(), random.Random(5)
    for number, name in enumerate(["n1", "n2", "n0"], 5):
        # Before its turn it comes back old; after it, new, whoever leads meanwhile.
        simulation.crash(name, 1.0)
        simulation.run(4.0)
        turn(simulation, name, 3.0)
        simulation.submit(job(number, team="blue", tasks=3, run_s=20.0))
        simulation.run(4.0)
        for _ in range(2):
            leader = simulation.leader()
            if leader:
                led.add((leader, leader in simulation.versions))
                simulation.crash(leader, rng.uniform(0.5, 3.0))
            simulation.run(5.0)
        simulation.cut("n0", "n1")
        simulation.run(2.0)
        simulation.heal()
    simulation.state.drop(**COMING)
    assert {old for _, old in led} == {True, False}
    settle(simulation, range(1, 8))


def test_proof_is_a_key_of_each_member_and_anything_less_means_old():
    simulation = rolled(["n0", "n1", "n2"], seed=4)
    for name in ("n0", "n1", "n2"):
        simulation.versions.pop(name)
    # Two are new, the third's key is doubtful: whoever leads keeps to the old form.
    simulation.state.data["v/n2"] = ({"format": 0, "version": "?"}, 1, None)
    simulation.crash("n0", 1.0)
    simulation.crash("n1", 1.0)
    simulation.run(8.0)
    assert {"v/n0", "v/n1"} <= set(simulation.state.data)
    leader = simulation.leader()
    if leader != "n2":
        node = simulation.nodes[leader]
        assert node.proven(leader) and not node.proven("n2")
    assert "c/fleet" in simulation.state.data
    simulation.crash("n2", 1.0)
    settle(simulation, range(1, 5))
    assert simulation.nodes[simulation.leader()].proven("n2")


@pytest.mark.parametrize("step", range(4))
@pytest.mark.parametrize("applied", [True, False], ids=["applied", "refused"])
def test_limits_drop_in_mid_move_and_the_leader_dies_there(step, applied):
    simulation = rolled(["n0", "n1", "n2"], seed=10 + step)
    seen, handle = [], simulation.state.transaction

    def transaction(txn, reply):
        pages = [
            w
            for w in txn["writes"]
            if w.get("put", w.get("remove", "")).startswith("c/fleet/")
            or w.get("remove") == "c/fleet"
        ]
        if pages and "c/fleet" in simulation.state.data:
            seen.append(pages)
            if len(seen) == 1:
                simulation.state.drop(**COMING)
            if len(seen) == step + 1:
                leader = simulation.leader()
                if applied:
                    handle(txn, lambda status, body: None)
                simulation.after(0.0, lambda: simulation.crash(leader, 2.0))
                return
        handle(txn, reply)

    simulation.state.transaction = transaction
    for name in ("n2", "n0", "n1"):
        turn(simulation, name)
        simulation.run(4.0)
    settle(simulation, range(1, 5))
    assert seen

"""The state service with one writer and no network, for tests of what is written there."""

import json
import random

from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome, Outbox
from copperpass.core.storage.cached_inventory import CachedInventory
from copperpass.core.storage.inventory_writer import InventoryContext
from copperpass.core.storage.machine_inventory import MachineInventory
from tests.fakes.state import KeyValueStore

# Limits that the settings announce under `state.next`.
COMING = {"write_rps": 15.0, "value_kb": 2.0, "txn_ops": 5}


class StorageHarness:
    """The state service and one writer, without a network."""

    def __init__(self, **limits):
        self.now, self.rng, self.timers = 100.0, random.Random(1), []
        self.state = KeyValueStore(self)
        self.state.set_limits(**limits)
        self.out = Outbox()
        self.fate = lambda body: "served"
        self.late = []

    def after(self, delay, action):
        """Watches are not followed to their end here."""

    def on_writes(self, writes):
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
        cached = CachedInventory()
        for key, (value, version, _) in self.state.data.items():
            cached.on_watch_event(key, json.dumps(value).encode(), version)
        return cached

    def inventory(self, all_upgraded=True, limits_announced=True, rate=15.0, least=2048.0):
        token = self.win()
        cached = self.stored()
        context = InventoryContext(
            transactions=TransactionQueue(self.out, rate, 5, 1.0),
            token_version=lambda: token,
            record_bytes=32768.0,
            least_value_bytes=least,
            max_writes=5,
            write_gap_s=4 / rate,
            deadline_s=12.0,
            all_upgraded=lambda: all_upgraded,
            limits_announced=limits_announced,
        )
        made = MachineInventory(context)
        made.load(cached.record, cached.version, cached.pages)
        made.begin(self.now)
        return made

    def step(self, inventory):
        """Serve what was asked, bring the events of the watch, let a moment pass."""
        calls, self.out.calls = self.out.calls, []
        for call in calls:
            fate = self.fate(json.loads(call.body))
            answer = self.serve(call) if fate in ("served", "answer lost") else (0, b"")
            if fate == "late":
                self.late.append(call)
            call.on_done(self.now, CallOutcome(*answer) if fate == "served" else CallOutcome(0))
        former, cached = getattr(self, "events", {}), self.stored()
        inventory.on_record_event(cached.version)
        for number in {*cached.pages, *former}:
            version = (
                cached.pages[number].version if number in cached.pages else self.state.revision
            )
            inventory.on_page_event(number, version, number in cached.pages)
        self.events = dict(cached.pages)
        self.now += 0.05
        inventory.context.transactions.send_due(self.now)
        inventory.tick(self.now)

    def run(self, inventory, seconds):
        for _ in range(int(seconds / 0.05)):
            self.step(inventory)

    def truth(self):
        """What a successor would know: pending requests, machines, and which of them are up."""
        cached = self.stored()
        context = InventoryContext(
            transactions=TransactionQueue(Outbox(), 15.0, 5, 1.0),
            token_version=lambda: 0,
            record_bytes=32768.0,
            least_value_bytes=2048.0,
            max_writes=5,
            write_gap_s=1.0,
            deadline_s=1.0,
        )
        reader = MachineInventory(context)
        reader.load(cached.record, cached.version, cached.pages)
        return (dict(reader.pending_requests), dict(reader.machines), set(reader.up))

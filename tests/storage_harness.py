"""A fake key-value store with one writer and no network, for tests of the stored records."""

import json
import random

from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome, Outbox
from copperpass.core.storage.cached_inventory import CachedInventory
from copperpass.core.storage.inventory_writer import InventoryContext
from copperpass.core.storage.machine_inventory import MachineInventory
from tests.fakes.state import KeyValueStore

# Lower limits that the settings announce under `state.next`.
ANNOUNCED_LIMITS = {"write_rps": 15.0, "value_kb": 2.0, "txn_ops": 5}


class StorageHarness:
    """A fake key-value store and one leader that writes to it, without a network."""

    def __init__(self, **limits):
        self.now, self.rng, self.timers = 100.0, random.Random(1), []
        self.state = KeyValueStore(self)
        self.state.set_limits(**limits)
        self.out = Outbox()
        # What happens to a call: "served"; "answer lost": it is served and gets no answer; "late":
        # it gets no answer and is kept in `delayed_calls`; anything else: it is lost.
        self.delivery = lambda body: "served"
        self.delayed_calls = []

    def after(self, delay, action):
        """Ignore timers, which the fake store sets only to end watch requests."""

    def on_writes(self, writes):
        """Ignore the notification, which the fake store sends to a simulation."""

    def start_term(self):
        """Elect a new leader; returns the token version that guards its writes."""
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

    def stored_inventory(self):
        cached = CachedInventory()
        for key, (value, version, _) in self.state.data.items():
            cached.on_watch_event(key, json.dumps(value).encode(), version)
        return cached

    def start_inventory(
        self, all_upgraded=True, limits_announced=True, write_rps=15.0, least_value_bytes=2048.0
    ):
        """Elect a new leader; returns its inventory, loaded from the store and ready to write."""
        token_version = self.start_term()
        cached = self.stored_inventory()
        context = InventoryContext(
            transactions=TransactionQueue(self.out, write_rps, 5, 1.0),
            token_version=lambda: token_version,
            max_value_bytes=32768.0,
            least_value_bytes=least_value_bytes,
            max_writes=5,
            write_interval_s=4 / write_rps,
            deadline_s=12.0,
            all_upgraded=lambda: all_upgraded,
            limits_announced=limits_announced,
        )
        inventory = MachineInventory(context)
        inventory.load(cached.record, cached.version, cached.pages)
        inventory.begin(self.now)
        return inventory

    def step(self, inventory):
        """Answer the calls, deliver the watch events, and advance the time by 0.05 s."""
        calls, self.out.calls = self.out.calls, []
        for call in calls:
            delivery = self.delivery(json.loads(call.body))
            answer = self.serve(call) if delivery in ("served", "answer lost") else (0, b"")
            if delivery == "late":
                self.delayed_calls.append(call)
            call.on_done(self.now, CallOutcome(*answer) if delivery == "served" else CallOutcome(0))
        former, cached = getattr(self, "former_pages", {}), self.stored_inventory()
        inventory.on_record_event(cached.version)
        for number in {*cached.pages, *former}:
            version = (
                cached.pages[number].version if number in cached.pages else self.state.revision
            )
            inventory.on_page_event(number, version, number in cached.pages)
        self.former_pages = dict(cached.pages)
        self.now += 0.05
        inventory.context.transactions.send_due(self.now)
        inventory.tick(self.now)

    def run(self, inventory, seconds):
        for _ in range(int(seconds / 0.05)):
            self.step(inventory)

    def successor_view(self):
        """Return what a successor loads: pending requests, machines, and names marked as up."""
        cached = self.stored_inventory()
        context = InventoryContext(
            transactions=TransactionQueue(Outbox(), 15.0, 5, 1.0),
            token_version=lambda: 0,
            max_value_bytes=32768.0,
            least_value_bytes=2048.0,
            max_writes=5,
            write_interval_s=1.0,
            deadline_s=1.0,
        )
        reader = MachineInventory(context)
        reader.load(cached.record, cached.version, cached.pages)
        return (dict(reader.pending_requests), dict(reader.machines), set(reader.up))

"""Priorities of writes, the single record of the inventory, and replayed watch events."""

import json

from copperpass.core.autoscaling.machine_groups import MachineGroup
from copperpass.core.kvstore.operations import Operation, Priority
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.kvstore.watch_cache import WatchCache
from copperpass.core.ports import CallOutcome, Outbox
from copperpass.core.storage.inventory_writer import InventoryContext
from copperpass.core.storage.machine_inventory import MachineInventory
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import PutKey
from copperpass.protocol.records import InventoryRecord


def test_urgent_operations_do_not_queue_behind_batched_ones():
    out, order = Outbox(), []
    transactions = TransactionQueue(out, write_rps=10.0, max_writes=4, timeout_s=1.0)
    for n in range(30):
        transactions.submit(
            0.0,
            Operation(
                {},
                [PutKey(f"g/{n}", 1)],
                lambda *a, n=n: order.append(f"g{n}"),
                99.0,
                Priority.BATCHED,
            ),
        )
    transactions.submit(
        0.0,
        Operation({}, [PutKey("u/1", 1)], lambda *a: order.append("user"), 99.0, Priority.URGENT),
    )
    now = 0.0
    while "user" not in order and now < 5.0:
        calls, out.calls = out.calls, []
        for call in calls:
            call.on_done(now, CallOutcome(200, b'{"issue":1}'))
        now += 0.05
        transactions.send_due(now)
    assert "user" in order and now < 0.5 and len(order) < 20


def make_inventory(version=0, record=None):
    out = Outbox()
    transactions = TransactionQueue(out, 60.0, 16, 1.0)
    context = InventoryContext(
        transactions=transactions,
        token_version=lambda: 7,
        max_value_bytes=32768.0,
        least_value_bytes=32768.0,
        max_writes=4,
        write_interval_s=0.1,
        deadline_s=10.0,
    )
    inventory = MachineInventory(context)
    inventory.load(record, version)
    return inventory, out


def test_request_is_stored_before_it_is_sent_and_its_machines_after_the_answer():
    inventory, out = make_inventory()
    sent, group = [], MachineGroup("box", "a", True)
    inventory.record_request(0.0, "b-1-1", group, 2, lambda now, ok: sent.append(ok))
    (write,) = out.calls
    body = json.loads(write.body)
    assert not sent and body["writes"][0]["value"]["places"][0]["booked"] == {"b-1-1": 2}
    assert {g["path"] for g in body["guards"]} == {"c/token", "c/fleet"}
    write.on_done(0.1, CallOutcome(200, b'{"issue":5}'))
    assert sent == [True]
    # A successor repeats a request that it finds stored, but not one whose machines are stored.
    record = decode(json.dumps(body["writes"][0]["value"]).encode(), InventoryRecord)
    successor, _ = make_inventory(5, record)
    assert successor.pending_requests == {"b-1-1": (group, 2)}
    successor.record_answer(0.2, "b-1-1", ["m-1", "m-2"])
    assert not successor.pending_requests and set(successor.machines) == {"m-1", "m-2"}


def test_machine_mark_is_stored_only_after_its_write_is_applied():
    inventory, out = make_inventory()
    marked = []
    inventory.on_marks_stored = lambda now, names: marked.extend(names)
    inventory.mark_up(0.0, "m-1", MachineGroup("box", "a", True))
    inventory.mark_up(0.0, "m-2", MachineGroup("box", "a", True))
    (first,) = out.calls
    out.calls.clear()
    first.on_done(0.1, CallOutcome(0))
    assert not marked
    inventory.on_record_event(9)
    inventory.tick(2.0)
    (second,) = out.calls
    guards = json.loads(second.body)["guards"]
    assert {"path": "c/fleet", "stamp": 9} in guards
    second.on_done(2.1, CallOutcome(200, b'{"issue":10}'))
    assert sorted(marked) == ["m-1", "m-2"]


def test_a_replayed_deletion_does_not_delete_a_newer_key():
    # The list request read the key at version 10. The watch then starts from an older revision and
    # replays the deletion of the key, which came before its latest creation.
    out, seen = Outbox(), {}
    watch_cache = WatchCache(out, lambda now, key, raw, version: seen.update({key: raw}), 1.0, 1.0)
    watch_cache.tick(0.0)
    page = {"items": [{"path": "c/x", "value": 1, "stamp": 10}], "truncated": False, "issue": 6}
    out.calls.pop().on_done(0.0, CallOutcome(200, json.dumps(page).encode()))
    news = {
        "issue": 10,
        "news": [{"remove": "c/x", "stamp": 7}, {"put": "c/x", "value": 1, "stamp": 10}],
    }
    out.calls.pop().on_done(0.1, CallOutcome(200, json.dumps(news).encode()))
    assert seen["c/x"] is not None

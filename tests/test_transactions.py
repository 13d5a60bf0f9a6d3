"""The transaction queue when the limits of the key-value store are lowered unannounced."""

from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome
from copperpass.protocol.kvstore import PutKey
from tests.storage_harness import StorageHarness


def test_refused_batches_are_resent_one_by_one_and_reduce_max_writes():
    harness = StorageHarness(txn_ops=5)
    transactions = TransactionQueue(harness.out, 60.0, 16, 1.0)
    outcomes = []
    for n in range(120):
        value = "x" * 40000 if n == 33 else n
        transactions.submit(
            harness.now,
            Operation(
                {},
                [PutKey(f"k/{n}", value)],
                lambda now, outcome, revision, n=n: outcomes.append((n, outcome)),
                999.0,
            ),
        )
    for _ in range(400):
        calls, harness.out.calls = harness.out.calls, []
        assert transactions.in_flight == len(calls) <= TransactionQueue.MAX_IN_FLIGHT
        for call in calls:
            call.on_done(harness.now, CallOutcome(*harness.serve(call)))
        harness.now += 0.05
        transactions.send_due(harness.now)
    assert sorted(outcomes) == [
        (n, TransactionOutcome.INVALID if n == 33 else TransactionOutcome.APPLIED)
        for n in range(120)
    ]
    assert (
        transactions.max_writes <= 5
        and harness.state.too_large <= 12
        and harness.state.too_fast == 0
    )


def test_rate_refusals_slow_the_queue_without_losing_operations():
    harness = StorageHarness(write_rps=5.0)
    transactions = TransactionQueue(harness.out, 60.0, 16, 1.0)
    outcomes, sent = [], 0
    for n in range(150):
        transactions.submit(
            harness.now,
            Operation(
                {},
                [PutKey(f"k/{n}", n)],
                lambda now, outcome, revision: outcomes.append(outcome),
                999.0,
                Priority.NORMAL,
            ),
        )
    for _ in range(1200):
        calls, harness.out.calls = harness.out.calls, []
        sent += len(calls)
        for call in calls:
            call.on_done(harness.now, CallOutcome(*harness.serve(call)))
        harness.now += 0.05
        transactions.send_due(harness.now)
        if len(outcomes) == 150:
            break
    assert outcomes == [TransactionOutcome.APPLIED] * 150
    # Batches of up to 16 writes exceed a limit of 5 writes per second: the queue finds a rate that
    # the store accepts without many refused requests.
    assert harness.state.too_fast < 0.2 * sent + 60
    reduced_rate = transactions.budget.rate
    harness.state.set_limits(write_rps=60.0)
    transactions.budget.take(harness.now + 120.0, 0.0)
    assert reduced_rate < 20.0 and transactions.budget.rate == transactions.budget.configured_rate

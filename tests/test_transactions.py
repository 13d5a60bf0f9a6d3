"""The transaction queue when the state service's limits drop unannounced."""

from copperpass.core.kvstore.operations import Operation, Priority, TransactionOutcome
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome
from copperpass.protocol.kvstore import PutKey
from tests.storage_harness import StorageHarness


def test_refused_batches_go_one_by_one_within_the_budgets_and_teach_the_limit():
    service = StorageHarness(txn_ops=5)
    transactions = TransactionQueue(service.out, 60.0, 16, 1.0)
    ends = []
    for n in range(120):
        value = "x" * 40000 if n == 33 else n
        transactions.submit(
            service.now,
            Operation(
                {},
                [PutKey(f"k/{n}", value)],
                lambda now, outcome, revision, n=n: ends.append((n, outcome)),
                999.0,
            ),
        )
    for _ in range(400):
        calls, service.out.calls = service.out.calls, []
        assert transactions.in_flight == len(calls) <= TransactionQueue.IN_FLIGHT
        for call in calls:
            call.on_done(service.now, CallOutcome(*service.serve(call)))
        service.now += 0.05
        transactions.pump(service.now)
    assert sorted(ends) == [
        (n, TransactionOutcome.INVALID if n == 33 else TransactionOutcome.APPLIED)
        for n in range(120)
    ]
    assert (
        transactions.max_writes <= 5
        and service.state.too_large <= 12
        and service.state.too_fast == 0
    )


def test_refusals_for_the_rate_slow_the_ledger_down_and_drop_nothing():
    service = StorageHarness(write_rps=5.0)
    transactions = TransactionQueue(service.out, 60.0, 16, 1.0)
    ends, sent = [], 0
    for n in range(150):
        transactions.submit(
            service.now,
            Operation(
                {},
                [PutKey(f"k/{n}", n)],
                lambda now, outcome, revision: ends.append(outcome),
                999.0,
                Priority.NORMAL,
            ),
        )
    for _ in range(1200):
        calls, service.out.calls = service.out.calls, []
        sent += len(calls)
        for call in calls:
            call.on_done(service.now, CallOutcome(*service.serve(call)))
        service.now += 0.05
        transactions.pump(service.now)
        if len(ends) == 150:
            break
    assert ends == [TransactionOutcome.APPLIED] * 150
    # Batches of up to 16 never fit into 5 a second: the pace finds what does, without a storm.
    assert service.state.too_fast < 0.2 * sent + 60
    slow = transactions.budget.rate
    service.state.drop(write_rps=60.0)
    transactions.budget.take(service.now + 120.0, 0.0)
    assert slow < 20.0 and transactions.budget.rate == transactions.budget.full_rate

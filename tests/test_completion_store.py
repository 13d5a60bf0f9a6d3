"""Pages of completed tasks: those that become too large, and masks that fit no page."""

import json

import msgspec

from copperpass.core.jobs.completion_mask import pack_mask
from copperpass.core.jobs.job import make_job
from copperpass.core.jobs.job_table import JobTable
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome
from copperpass.core.storage.completions import CompletionContext, CompletionStore
from copperpass.protocol.records import JobRecord
from copperpass.protocol.users import JobSpec
from tests import earlier_versions
from tests.request_bodies import job
from tests.storage_harness import COMING, StorageHarness


def live_jobs(harness, sizes):
    """Live jobs, by their numbers of tasks."""
    table = JobTable()
    for n, tasks in enumerate(sizes, 1):
        record = JobRecord(spec=msgspec.convert(job(n, tasks=tasks), JobSpec))
        made = make_job(record, 1, harness.now)
        assert made is not None
        table.jobs[made.spec.id] = made
    return table


def watch_completions(harness, table, versions):
    for key, (value, version, _) in harness.state.data.items():
        if key.startswith("c/ends/"):
            table.on_completions_event(key, json.dumps(value).encode())
            versions[key] = version


def make_store(harness, table):
    versions = {}
    watch_completions(harness, table, versions)
    harness.out.calls.clear()
    token = harness.state.data["c/token"][1]
    context = CompletionContext(
        job_table=table,
        transactions=TransactionQueue(harness.out, 60.0, 5, 1.0),
        token_version=lambda: token,
        versions=versions,
        shard=0,
        page_bytes=0.8 * 2048,
        interval_s=0.1,
        deadline_s=12.0,
        max_page_bytes=0.8 * 32768,
    )
    return CompletionStore(context)


def run_store(harness, store, seconds=3.0):
    """Let the store write; no completion that is stored may be forgotten on the way."""
    for _ in range(int(seconds / 0.05)):
        calls, harness.out.calls = harness.out.calls, []
        for call in calls:
            before = stored_completions(harness, store.job_table.jobs)
            call.on_done(harness.now, CallOutcome(*harness.serve(call)))
            after = stored_completions(harness, store.job_table.jobs)
            assert all(before[i] <= after[i] for i in before)
        harness.now += 0.05
        store.context.transactions.send_due(harness.now)
        store.tick(harness.now)


def stored_completions(harness, jobs):
    """What a successor would know of each job's completed tasks."""
    table = live_jobs(harness, [j.spec.tasks for j in jobs.values()])
    watch_completions(harness, table, {})
    return {i: {n for n in range(j.spec.tasks) if j.is_completed(n)} for i, j in table.jobs.items()}


def test_pages_that_are_too_large_are_split_and_no_completion_is_lost():
    harness = StorageHarness()
    harness.win()
    table = live_jobs(harness, [900] * 30)
    harness.put("c/ends/0.0", {i: pack_mask(bytearray(b"\xff" * 112)) for i in table.jobs})
    store = make_store(harness, table)
    first = table.jobs["req-000001"]
    for some in table.jobs.values():
        some.unstored.add(899)
        store.record(harness.now, some)
    run_store(harness, store)
    stored = stored_completions(harness, table.jobs)
    assert all(899 in ends and len(ends) == 897 for ends in stored.values())
    assert not first.unstored
    pages = {k: v[0] for k, v in harness.state.data.items() if k.startswith("c/ends/")}
    assert max(len(json.dumps(v)) for v in pages.values()) <= 2048
    assert sorted(i for v in pages.values() for i in v) == sorted(table.jobs)


def test_a_mask_that_fits_no_page_is_cut_once_the_limits_have_dropped():
    harness = StorageHarness()
    harness.win()
    table = live_jobs(harness, [100_000, 40])
    big, small = table.jobs.values()
    big.unstored.update(range(0, 100_000, 7))
    small.unstored.add(3)
    store = make_store(harness, table)
    for some in table.jobs.values():
        store.record(harness.now, some)
    run_store(harness, store)
    # Until then it is stored as older versions do, which read it so.
    assert big.spec.id in str(harness.state.data["c/ends/0.0"][0]) and not big.unstored
    harness.state.set_limits(**COMING)
    store = make_store(harness, table)
    big.unstored.add(99_999)
    store.record(harness.now, big)
    run_store(harness, store, 6.0)
    expected = {*range(0, 100_000, 7), 99_999}
    assert stored_completions(harness, table.jobs) == {big.spec.id: expected, small.spec.id: {3}}
    pages = {k: v[0] for k, v in harness.state.data.items() if k.startswith("c/ends/")}
    assert max(len(json.dumps(v)) for v in pages.values()) <= 2048
    # A successor goes on with the parts as they are; one more completion is one more write.
    table = live_jobs(harness, [100_000, 40])
    store = make_store(harness, table)
    run_store(harness, store, 1.0)
    big, writes = table.jobs["req-000001"], harness.state.write_count
    big.unstored.add(50_001)
    store.record(harness.now, big)
    run_store(harness, store, 6.0)
    assert stored_completions(harness, table.jobs)[big.spec.id] == {*expected, 50_001}
    assert harness.state.write_count - writes <= len(pages) and not big.unstored
    # An older version takes no harm from the parts: it knows no such jobs, and keeps the pages.
    old = earlier_versions.load(earlier_versions.VERSION_0_2_0)
    theirs = old.core.JobTable()
    for key, value in pages.items():
        theirs.saw_ends(key, json.dumps(value).encode())
    assert not theirs.jobs


def late_segments(harness, same_term):
    """An earlier owner's segments of job 1 arrive while a new owner cuts job 2 into segments.

    Returns the new owner's jobs once it has written all it knows.
    """
    harness.state.set_limits(**COMING)
    tasks = [40_000, 40_000]
    before = live_jobs(harness, tasks)
    earlier = make_store(harness, before)
    earlier.max_page_bytes = earlier.context.page_bytes
    first = before.jobs["req-000001"]
    first.unstored.update(range(0, 20_000, 3))
    earlier.record(harness.now, first)
    earlier.tick(harness.now + 1.0)
    late, harness.out.calls = harness.out.calls, []
    assert late
    if not same_term:
        harness.win()
    table = live_jobs(harness, tasks)
    owner = make_store(harness, table)
    owner.max_page_bytes = owner.context.page_bytes
    second = table.jobs["req-000002"]
    second.unstored.update(range(0, 40_000, 5))
    owner.record(harness.now, second)
    refused = [harness.serve(call)[0] for call in late]
    watch_completions(harness, table, owner.context.versions)
    run_store(harness, owner, 6.0)
    return table, refused


def test_segments_that_an_earlier_owner_writes_late_are_not_overwritten():
    # An owner may follow another under the same token, which then refuses nothing: the completions
    # that the watch shows as stored must not be lost, or a later owner would run those tasks again.
    harness = StorageHarness()
    harness.win()
    table, refused = late_segments(harness, same_term=True)
    assert 200 in refused
    seen = {i: {n for n in range(40_000) if j.is_completed(n)} for i, j in table.jobs.items()}
    assert seen["req-000001"] and len(seen["req-000002"]) == 8000
    assert stored_completions(harness, table.jobs) == seen


def test_completions_of_an_earlier_term_are_refused_when_they_come_late():
    # Guards the token in pages of completions. The versions of their keys alone would let such a
    # write in wherever the new owner has not written yet.
    harness = StorageHarness()
    harness.win()
    table, refused = late_segments(harness, same_term=False)
    assert set(refused) == {409}
    assert not stored_completions(harness, table.jobs)["req-000001"]


def test_a_page_that_an_earlier_owner_writes_late_goes_only_when_it_is_stored_elsewhere():
    # As above, with whole masks: the late page says more of a job than the page it has by now.
    harness = StorageHarness()
    harness.win()
    table = live_jobs(harness, [40, 40])
    owner = make_store(harness, table)
    first, second = table.jobs.values()
    first.unstored.add(1)
    owner.record(harness.now, first)
    run_store(harness, owner, 1.0)
    harness.put("c/ends/0.1", {first.spec.id: "IA=="})
    watch_completions(harness, table, owner.context.versions)
    assert first.is_completed(5)
    page = owner.layout.page("c/ends/0.1")
    owner.layout.put(second, page)
    second.unstored.add(2)
    owner.record(harness.now, second)
    run_store(harness, owner, 3.0)
    assert stored_completions(harness, table.jobs) == {first.spec.id: {1, 5}, second.spec.id: {2}}
    # Nothing waits for anything any more: further completions are stored as ever.
    first.unstored.add(7)
    owner.record(harness.now, first)
    run_store(harness, owner, 2.0)
    assert (
        stored_completions(harness, table.jobs)[first.spec.id] == {1, 5, 7} and not first.unstored
    )

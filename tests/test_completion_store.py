"""Pages of completed tasks: oversized pages, masks that fit no page, and late writes."""

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
from tests.storage_harness import ANNOUNCED_LIMITS, StorageHarness


def live_jobs(harness, sizes):
    """Return a table of live jobs with these numbers of tasks."""
    table = JobTable()
    for n, tasks in enumerate(sizes, 1):
        record = JobRecord(spec=msgspec.convert(job(n, tasks=tasks), JobSpec))
        live_job = make_job(record, 1, harness.now)
        assert live_job is not None
        table.jobs[live_job.spec.id] = live_job
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
    token_version = harness.state.data["c/token"][1]
    context = CompletionContext(
        job_table=table,
        transactions=TransactionQueue(harness.out, 60.0, 5, 1.0),
        token_version=lambda: token_version,
        versions=versions,
        shard=0,
        page_bytes=0.8 * 2048,
        interval_s=0.1,
        deadline_s=12.0,
        max_page_bytes=0.8 * 32768,
    )
    return CompletionStore(context)


def run_store(harness, store, seconds=3.0):
    """Let the store write for some seconds, and check that no write loses stored completions."""
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
    """Return the completed tasks of each job that a successor loads, by job id."""
    table = live_jobs(harness, [j.spec.tasks for j in jobs.values()])
    watch_completions(harness, table, {})
    return {i: {n for n in range(j.spec.tasks) if j.is_completed(n)} for i, j in table.jobs.items()}


def test_oversized_pages_are_split_without_losing_completions():
    harness = StorageHarness()
    harness.start_term()
    table = live_jobs(harness, [900] * 30)
    harness.put("c/ends/0.0", {i: pack_mask(bytearray(b"\xff" * 112)) for i in table.jobs})
    store = make_store(harness, table)
    first = table.jobs["req-000001"]
    for live_job in table.jobs.values():
        live_job.unstored.add(899)
        store.record(harness.now, live_job)
    run_store(harness, store)
    stored = stored_completions(harness, table.jobs)
    assert all(899 in completed and len(completed) == 897 for completed in stored.values())
    assert not first.unstored
    pages = {k: v[0] for k, v in harness.state.data.items() if k.startswith("c/ends/")}
    assert max(len(json.dumps(v)) for v in pages.values()) <= 2048
    assert sorted(i for v in pages.values() for i in v) == sorted(table.jobs)


def test_mask_that_fits_no_page_is_split_after_limits_are_lowered():
    harness = StorageHarness()
    harness.start_term()
    table = live_jobs(harness, [100_000, 40])
    big, small = table.jobs.values()
    big.unstored.update(range(0, 100_000, 7))
    small.unstored.add(3)
    store = make_store(harness, table)
    for live_job in table.jobs.values():
        store.record(harness.now, live_job)
    run_store(harness, store)
    # Until then the mask is stored on a page of its own, which older versions can read.
    assert big.spec.id in str(harness.state.data["c/ends/0.0"][0]) and not big.unstored
    harness.state.set_limits(**ANNOUNCED_LIMITS)
    store = make_store(harness, table)
    big.unstored.add(99_999)
    store.record(harness.now, big)
    run_store(harness, store, 6.0)
    expected = {*range(0, 100_000, 7), 99_999}
    assert stored_completions(harness, table.jobs) == {big.spec.id: expected, small.spec.id: {3}}
    pages = {k: v[0] for k, v in harness.state.data.items() if k.startswith("c/ends/")}
    assert max(len(json.dumps(v)) for v in pages.values()) <= 2048
    # A successor keeps the segments as they are. One more completion costs at most one write per
    # page.
    table = live_jobs(harness, [100_000, 40])
    store = make_store(harness, table)
    run_store(harness, store, 1.0)
    big, writes = table.jobs["req-000001"], harness.state.write_count
    big.unstored.add(50_001)
    store.record(harness.now, big)
    run_store(harness, store, 6.0)
    assert stored_completions(harness, table.jobs)[big.spec.id] == {*expected, 50_001}
    assert harness.state.write_count - writes <= len(pages) and not big.unstored
    # An older version ignores the segments: their entries are not ids of jobs that it knows.
    old = earlier_versions.load(earlier_versions.VERSION_0_2_0)
    old_table = old.core.JobTable()
    for key, value in pages.items():
        old_table.saw_ends(key, json.dumps(value).encode())
    assert not old_table.jobs


def late_segments(harness, same_term):
    """Apply an earlier owner's segments of job 1 after a new owner has split the mask of job 2.

    Returns the new owner's jobs after its writes, and the answers to the late writes.
    """
    harness.state.set_limits(**ANNOUNCED_LIMITS)
    tasks = [40_000, 40_000]
    before = live_jobs(harness, tasks)
    earlier = make_store(harness, before)
    earlier.max_page_bytes = earlier.context.page_bytes
    first = before.jobs["req-000001"]
    first.unstored.update(range(0, 20_000, 3))
    earlier.record(harness.now, first)
    earlier.tick(harness.now + 1.0)
    late_calls, harness.out.calls = harness.out.calls, []
    assert late_calls
    if not same_term:
        harness.start_term()
    table = live_jobs(harness, tasks)
    owner = make_store(harness, table)
    owner.max_page_bytes = owner.context.page_bytes
    second = table.jobs["req-000002"]
    second.unstored.update(range(0, 40_000, 5))
    owner.record(harness.now, second)
    late_statuses = [harness.serve(call)[0] for call in late_calls]
    watch_completions(harness, table, owner.context.versions)
    run_store(harness, owner, 6.0)
    return table, late_statuses


def test_late_segments_of_earlier_owner_are_not_overwritten():
    # A shard can change owners under the same token, which then refuses no late write. Guards
    # against losing completions that the watch has shown as stored: a later owner would run those
    # tasks again.
    harness = StorageHarness()
    harness.start_term()
    table, late_statuses = late_segments(harness, same_term=True)
    assert 200 in late_statuses
    watched = {i: {n for n in range(40_000) if j.is_completed(n)} for i, j in table.jobs.items()}
    assert watched["req-000001"] and len(watched["req-000002"]) == 8000
    assert stored_completions(harness, table.jobs) == watched


def test_late_completions_of_earlier_term_are_refused():
    # Guards against writes of completion pages without a guard on the token. With only the versions
    # of the pages as guards, a late write would be applied to any page that the new owner has not
    # written yet.
    harness = StorageHarness()
    harness.start_term()
    table, late_statuses = late_segments(harness, same_term=False)
    assert set(late_statuses) == {409}
    assert not stored_completions(harness, table.jobs)["req-000001"]


def test_late_entry_of_earlier_owner_is_removed_only_after_it_is_stored_elsewhere():
    # As above, with whole masks: a late write stores completions of a job that the job's current
    # page does not hold.
    harness = StorageHarness()
    harness.start_term()
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
    # The migration has ended: further completions are stored.
    first.unstored.add(7)
    owner.record(harness.now, first)
    run_store(harness, owner, 2.0)
    assert (
        stored_completions(harness, table.jobs)[first.spec.id] == {1, 5, 7} and not first.unstored
    )

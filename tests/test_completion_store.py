"""The records of ends: pages that become too large, and masks that fit no page."""

import json

import msgspec

from copperpass.core.jobs.job_table import JobTable, make_job, pack_done
from copperpass.core.kvstore.transactions import TransactionQueue
from copperpass.core.ports import CallOutcome
from copperpass.core.storage.completions import CompletionContext, CompletionStore
from copperpass.protocol.records import JobRecord
from copperpass.protocol.users import JobSpec
from tests import earlier_versions
from tests.request_bodies import job
from tests.storage_harness import COMING, StorageHarness


def ended_jobs(service, sizes):
    """Live jobs, by their numbers of tasks."""
    table = JobTable()
    for n, tasks in enumerate(sizes, 1):
        record = JobRecord(spec=msgspec.convert(job(n, tasks=tasks), JobSpec))
        made = make_job(record, 1, service.now)
        assert made is not None
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
    context = CompletionContext(
        job_table=table,
        transactions=TransactionQueue(service.out, 60.0, 5, 1.0),
        token_version=lambda: token,
        versions=versions,
        shard=0,
        page_bytes=0.8 * 2048,
        interval_s=0.1,
        deadline_s=12.0,
        max_page_bytes=0.8 * 32768,
    )
    return CompletionStore(context)


def gather(service, store, seconds=3.0):
    """Let the writer of ends write; no end that is stored may be forgotten on the way."""
    for _ in range(int(seconds / 0.05)):
        calls, service.out.calls = service.out.calls, []
        for call in calls:
            before = ends_stored(service, store.job_table.jobs)
            call.on_done(service.now, CallOutcome(*service.serve(call)))
            after = ends_stored(service, store.job_table.jobs)
            assert all(before[i] <= after[i] for i in before)
        service.now += 0.05
        store.context.transactions.pump(service.now)
        store.tick(service.now)


def ends_stored(service, jobs):
    """What a successor would know of each job's ends."""
    table = ended_jobs(service, [j.spec.tasks for j in jobs.values()])
    see_ends(service, table, {})
    return {i: {n for n in range(j.spec.tasks) if j.is_done(n)} for i, j in table.jobs.items()}


def test_pages_of_ends_that_are_too_large_are_broken_up_and_no_end_is_lost():
    service = StorageHarness()
    service.win()
    table = ended_jobs(service, [900] * 30)
    service.put("c/ends/0.0", {i: pack_done(bytearray(b"\xff" * 112)) for i in table.jobs})
    store = writer(service, table)
    first = table.jobs["req-000001"]
    for some in table.jobs.values():
        some.finished.add(899)
        store.record(service.now, some)
    gather(service, store)
    stored = ends_stored(service, table.jobs)
    assert all(899 in ends and len(ends) == 897 for ends in stored.values())
    assert not first.finished
    pages = {k: v[0] for k, v in service.state.data.items() if k.startswith("c/ends/")}
    assert max(len(json.dumps(v)) for v in pages.values()) <= 2048
    assert sorted(i for v in pages.values() for i in v) == sorted(table.jobs)


def test_a_mask_that_fits_no_page_is_cut_once_the_limits_have_dropped():
    service = StorageHarness()
    service.win()
    table = ended_jobs(service, [100_000, 40])
    big, small = table.jobs.values()
    big.finished.update(range(0, 100_000, 7))
    small.finished.add(3)
    store = writer(service, table)
    for some in table.jobs.values():
        store.record(service.now, some)
    gather(service, store)
    # Until then it is stored as older versions do, which read it so.
    assert big.spec.id in str(service.state.data["c/ends/0.0"][0]) and not big.finished
    service.state.drop(**COMING)
    store = writer(service, table)
    big.finished.add(99_999)
    store.record(service.now, big)
    gather(service, store, 6.0)
    expected = {*range(0, 100_000, 7), 99_999}
    assert ends_stored(service, table.jobs) == {big.spec.id: expected, small.spec.id: {3}}
    pages = {k: v[0] for k, v in service.state.data.items() if k.startswith("c/ends/")}
    assert max(len(json.dumps(v)) for v in pages.values()) <= 2048
    # A successor goes on with the parts as they are; one more end is one more write.
    table = ended_jobs(service, [100_000, 40])
    store = writer(service, table)
    gather(service, store, 1.0)
    big, writes = table.jobs["req-000001"], service.state.writes
    big.finished.add(50_001)
    store.record(service.now, big)
    gather(service, store, 6.0)
    assert ends_stored(service, table.jobs)[big.spec.id] == {*expected, 50_001}
    assert service.state.writes - writes <= len(pages) and not big.finished
    # An older version takes no harm from the parts: it knows no such jobs, and keeps the pages.
    old = earlier_versions.load(earlier_versions.VERSION_0_2_0)
    theirs = old.core.JobTable()
    for key, value in pages.items():
        theirs.saw_ends(key, json.dumps(value).encode())
    assert not theirs.jobs


def late_segments(service, same_term):
    """An earlier owner's segments of job 1 arrive while a new owner cuts job 2 into segments.

    Returns the new owner's jobs once it has written all it knows.
    """
    service.state.drop(**COMING)
    tasks = [40_000, 40_000]
    before = ended_jobs(service, tasks)
    earlier = writer(service, before)
    earlier.max_page_bytes = earlier.context.page_bytes
    first = before.jobs["req-000001"]
    first.finished.update(range(0, 20_000, 3))
    earlier.record(service.now, first)
    earlier.tick(service.now + 1.0)
    late, service.out.calls = service.out.calls, []
    assert late
    if not same_term:
        service.win()
    table = ended_jobs(service, tasks)
    owner = writer(service, table)
    owner.max_page_bytes = owner.context.page_bytes
    second = table.jobs["req-000002"]
    second.finished.update(range(0, 40_000, 5))
    owner.record(service.now, second)
    refused = [service.serve(call)[0] for call in late]
    see_ends(service, table, owner.context.versions)
    gather(service, owner, 6.0)
    return table, refused


def test_segments_that_an_earlier_owner_writes_late_are_not_overwritten():
    # An owner may follow another under the same token, which then refuses nothing: the ends that
    # the watch shows as stored must not go, or a later owner would run those tasks again.
    service = StorageHarness()
    service.win()
    table, refused = late_segments(service, same_term=True)
    assert 200 in refused
    seen = {i: {n for n in range(40_000) if j.is_done(n)} for i, j in table.jobs.items()}
    assert seen["req-000001"] and len(seen["req-000002"]) == 8000
    assert ends_stored(service, table.jobs) == seen


def test_ends_of_an_earlier_term_are_refused_when_they_come_late():
    # Guards the token in the records of ends. Their keys' versions alone would let such a write in
    # wherever the new owner has not written yet.
    service = StorageHarness()
    service.win()
    table, refused = late_segments(service, same_term=False)
    assert set(refused) == {409}
    assert not ends_stored(service, table.jobs)["req-000001"]


def test_a_page_that_an_earlier_owner_writes_late_goes_only_when_its_ends_are_stored_elsewhere():
    # As above, with whole masks: the late page says more of a job than the page it has by now.
    service = StorageHarness()
    service.win()
    table = ended_jobs(service, [40, 40])
    owner = writer(service, table)
    first, second = table.jobs.values()
    first.finished.add(1)
    owner.record(service.now, first)
    gather(service, owner, 1.0)
    service.put("c/ends/0.1", {first.spec.id: "IA=="})
    see_ends(service, table, owner.context.versions)
    assert first.is_done(5)
    page = owner.layout.page("c/ends/0.1")
    owner.layout.put(second, page)
    second.finished.add(2)
    owner.record(service.now, second)
    gather(service, owner, 3.0)
    assert ends_stored(service, table.jobs) == {first.spec.id: {1, 5}, second.spec.id: {2}}
    # Nothing waits for anything any more: further ends are stored as ever.
    first.finished.add(7)
    owner.record(service.now, first)
    gather(service, owner, 2.0)
    assert ends_stored(service, table.jobs)[first.spec.id] == {1, 5, 7} and not first.finished

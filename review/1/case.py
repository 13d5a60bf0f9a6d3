"""Case 1: a job that was submitted with a mistake stops all controllers."""

# ruff: noqa: ANN001, ANN201

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import CaseError, main

# The pages: a job about which no question is answered for 75 s counts as forgotten.
UNANSWERED_S = 75.0
# The pages: users poll roughly every 5 s and wait 2 s for each response.
POLL_EVERY_S, POLL_TIMEOUT_S = 5.0, 2.0
MAX_PAGES = 100_000


async def scenario(cluster, trouble):
    """Submit a usual job, then a job with or without the mistake; poll the usual one."""
    cluster.runtime_s = lambda page, spec: 3.0 if page.startswith("req-000001") else 30.0
    await cluster.start()
    usual = cluster.job(1, pages=2, runtime_s=3.0)
    await cluster.submit(usual)
    await cluster.until(
        lambda: any(worker.tasks for worker in cluster.cloud.workers()), 30.0, "a task on a machine"
    )
    # The mistake: the amounts of a task are left at 0.
    amounts = {"cpus": 0.0, "memory_gb": 0.0} if trouble else {}
    other = cluster.job(2, desk="equipo-pacifico", pages=MAX_PAGES, runtime_s=30.0, **amounts)
    # Not through the leader, which may stop before it has answered.
    follower = next(name for name in cluster.names if name != cluster.leader())
    status = await cluster.submit(other, follower)
    cluster.record.write("the other job was answered with", status)
    cluster.spawn(cancel(cluster, other["id"]))
    answered_at, due = time.monotonic(), time.monotonic() + UNANSWERED_S + 15.0
    while time.monotonic() < due:
        for name in cluster.names:
            poll_at = time.monotonic()
            status, value = await cluster.user(
                name, "GET", f"/api/jobs/{usual['id']}", timeout_s=POLL_TIMEOUT_S
            )
            if status == 200:
                answered_at = time.monotonic()
                cluster.record.write("answered:", value)
        if time.monotonic() - answered_at >= UNANSWERED_S:
            cluster.break_rule(
                "forgotten",
                f"no node has answered a question about {usual['id']}, which was accepted, for"
                f" {time.monotonic() - answered_at:.0f} s",
            )
            return
        await asyncio.sleep(max(0.0, POLL_EVERY_S - (time.monotonic() - poll_at)))


async def cancel(cluster, job_id):
    """The user of the mistaken job calls it off 10 s later, as the pages expect."""
    await asyncio.sleep(10.0)
    try:
        state = await cluster.cancel(job_id)
    except CaseError as error:
        cluster.record.write("cancellation:", error)
    else:
        cluster.record.write("cancellation answered with", state)


main(scenario, Path(__file__).parent)

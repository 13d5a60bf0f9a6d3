"""Case 5: a job is called running after its user was told that it is cancelled."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib2"))

from cluster import MEMBERS, Cluster, main
from site_settings import SAMACHAR
from web import Client

# How long the state service takes for two answers to one controller.
SLOW_S = 0.3


async def case(cluster: Cluster, trouble: bool) -> None:
    """Cancel a job at one controller while a question about it is under way at another."""
    for member in MEMBERS:
        cluster.start(member)
    leader = await cluster.healthy()
    asked, other = (member for member in MEMBERS if member != leader)
    slow_until = 0.0

    async def answer_slowly(member: str, path: str) -> None:
        # The answer to the read for the question is slow, and that to the watch of this moment.
        nonlocal slow_until
        now = time.monotonic()
        if member != asked:
            return
        if path.startswith("/kv/c/live/") and not slow_until:
            slow_until = now + SLOW_S
            cluster.record(f"the answer to a read of {asked} takes {SLOW_S} s")
            await asyncio.sleep(SLOW_S)
        elif path.startswith("/follow") and now < slow_until:
            delay_s = slow_until + 0.02 - now
            cluster.record(f"the answer to the watch of {asked} takes {delay_s:.3f} s")
            await asyncio.sleep(delay_s)

    job = cluster.job(1, runtime_s=60.0)
    await cluster.submit(job, [other])
    await cluster.until(lambda: cluster.rules.starts == 1, 20.0, "the job runs")
    await asyncio.sleep(3.0)
    if trouble:
        cluster.state.after = answer_slowly
    # One user: it asks for the state, and cancels the job before the answer is there.
    question = asyncio.create_task(cluster.ask("poll", job["id"], asked, client=Client()))
    await asyncio.sleep(0.05)
    await cluster.repeat("cancel", job["id"], [other])
    await question
    await asyncio.sleep(2.0)


main(case, Path(__file__).resolve().parent, "went_back", site=SAMACHAR)

"""Case 5: a job is called running after its user was told that it is cancelled."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib2"))

from cluster import MEMBERS, Cluster, main
from site_settings import SAMACHAR
from web import Client

# How long the state service takes for its answers to one controller.
SLOW_S = 0.3


async def case(cluster: Cluster, trouble: bool) -> None:
    """Cancel jobs at one controller while a question about them is under way at another."""
    for member in MEMBERS:
        cluster.start(member)
    leader = await cluster.healthy()
    asked, other = (member for member in MEMBERS if member != leader)

    async def answer_slowly(member: str, path: str) -> None:
        if member == asked and path.startswith(("/kv/", "/follow")):
            await asyncio.sleep(SLOW_S)

    jobs = [cluster.job(number, runtime_s=60.0) for number in range(1, 6)]
    for job in jobs:
        await cluster.submit(job, [other])
    await cluster.until(lambda: cluster.rules.starts == len(jobs), 20.0, "the jobs run")
    if trouble:
        cluster.state.after = answer_slowly
        cluster.record(f"the state service takes {SLOW_S} s for its answers to {asked}")
        await asyncio.sleep(3.0)
    for job in jobs:
        # One user: it asks for the state, and cancels the job before the answer is there.
        question = asyncio.create_task(cluster.ask("poll", job["id"], asked, client=Client()))
        await asyncio.sleep(0.05)
        await cluster.repeat("cancel", job["id"], [other])
        await question
        await asyncio.sleep(1.0)


main(case, Path(__file__).resolve().parent, site=SAMACHAR)

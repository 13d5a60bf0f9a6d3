"""Case 3: a leader that is cut off starts tasks of a job whose cancellation is confirmed."""

# ruff: noqa: ANN001, ANN201

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import main

# The leader is cut off this long before the user asks to cancel.
CANCEL_AFTER_S = 0.3
# How long the leader is cut off; the pages' days have 30 to 37.5 s.
CUT_S = 30.0
# Commands that a worker receives sooner than this after the confirmation count as in flight.
IN_FLIGHT_S = 0.5


async def scenario(cluster, trouble):
    """Run a large array, cut the leader off, cancel the array through another controller."""
    cluster.runtime_s = lambda page, spec: spec["runtime_s"]
    await cluster.start()
    job = cluster.job(1, pages=2000, cpus=4.0, runtime_s=2.0)
    await cluster.submit(job)
    await cluster.until(lambda: len(cluster.results) > 60, 40.0, "tasks completing")
    leader = cluster.leader()
    other = next(name for name in cluster.names if name != leader)
    if trouble:
        cluster.record.write("CUT:", leader, "loses the state service and the other controllers")
        cluster.state.cut.add(leader)
        for pair, proxy in cluster.peer.items():
            if leader in pair:
                proxy.hold()
    await asyncio.sleep(CANCEL_AFTER_S)
    status = await cluster.cancel(job["id"], other)
    told_at = time.monotonic()
    cluster.record.write("the user was told:", status)
    await asyncio.sleep(CUT_S)
    late = [
        (received_at - told_at, key, name)
        for received_at, key, name in cluster.accepted_runs
        if received_at - told_at > IN_FLIGHT_S
    ]
    cluster.check_cancelled()
    if status == "withdrawn" and late:
        cluster.break_rule(
            "started_after_cancel",
            f"{len(late)} tasks of {job['id']} were started by commands that workers received"
            f" {late[0][0]:.2f} to {late[-1][0]:.2f} s after its user was told that it is"
            " cancelled",
        )
    cluster.state.cut.clear()
    for proxy in cluster.peer.values():
        proxy.release()


main(scenario, Path(__file__).parent)

"""Case 4: a worker gets the commands of another machine."""

from __future__ import annotations

import asyncio
import json
import struct
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib2"))

from cluster import MEMBERS, Cluster, NotRunError, Proxy, main
from site_settings import SAMACHAR
from worker import Worker

ZONES = SAMACHAR.zones
# One machine in the first zone, and three in each of the others.
CAPACITY = {(ZONES[0], False): 1, (ZONES[1], False): 3, (ZONES[2], False): 3}
HEADER = struct.Struct("!2sBBI")
RELAYED_REPORT = 6


class LateLink:
    """The traffic from one controller to another, on a proxy.

    From a chosen report on, the rest of its connection comes late: after the sender was started
    again, just before a report that the new process passes on under the same number.
    """

    def __init__(self, cluster: Cluster, proxy: Proxy) -> None:
        self.cluster, self.machine = cluster, None
        self.buffers, self.held_connection, self.number, self.seen = {}, None, 0, []
        self.held, self.released = asyncio.Event(), asyncio.Event()
        proxy.tap = self.pass_on

    async def pass_on(self, connection: int, data: bytes) -> Any:
        """Return the data, or hold it back."""
        if connection < 0:
            return data
        if connection == self.held_connection:
            await self.released.wait()
            return data
        buffer = self.buffers.get(connection, b"") + data
        while len(buffer) >= HEADER.size:
            _, _, kind, length = HEADER.unpack_from(buffer)
            if len(buffer) < HEADER.size + length:
                break
            payload, buffer = (
                buffer[HEADER.size : HEADER.size + length],
                buffer[HEADER.size + length :],
            )
            if kind == RELAYED_REPORT:
                await self.on_report(connection, payload)
        self.buffers[connection] = buffer
        return data

    async def on_report(self, connection: int, payload: bytes) -> None:
        """Note a report that is passed on; hold back the chosen one."""
        number, report = struct.unpack("!I", payload[:4])[0], json.loads(payload[4:])
        self.cluster.record(f"link {connection}: report {number} of {report['press']}")
        self.seen.append(report["press"])
        if self.held_connection is None:
            if report["press"] == self.machine:
                self.held_connection, self.number = connection, number
                self.cluster.record("from here on the old connection is late")
                self.held.set()
                await self.released.wait()
        elif number == self.number and not self.released.is_set():
            self.cluster.record("the old connection's packets arrive")
            self.released.set()
            await asyncio.sleep(0.02)


async def case(cluster: Cluster, trouble: bool) -> None:
    """The leader loses the workers; the other controllers crash, and one is back at once."""
    for member in MEMBERS:
        cluster.start(member)
    leader = await cluster.healthy()
    first, second = (member for member in MEMBERS if member != leader)
    # A worker may try the controllers in any order; this one is fixed by its zone.
    cluster.orders = {zone: [leader, second, first] for zone in ZONES}
    cluster.orders[ZONES[0]] = [leader, first, second]
    long = {"cpus": 10.0, "runtime_s": 100.0, "borrowed": False}
    # Six machines, then the one in the first zone: its token is the highest.
    await cluster.submit(cluster.job(1, pages=3, hall=ZONES[1], **long))
    await cluster.submit(cluster.job(2, pages=3, hall=ZONES[2], **long))
    await cluster.until(lambda: cluster.rules.starts == 6, 20.0, "six tasks run")
    await cluster.submit(cluster.job(3, pages=1, hall=ZONES[0], **long))
    await cluster.until(lambda: cluster.rules.starts == 7, 20.0, "seven tasks run")
    await asyncio.sleep(3.0)
    workers = [machine["worker"] for machine in cluster.cloud.machines.values()]
    alone = next(worker for worker in workers if worker.hall == ZONES[0])
    for worker in workers:
        cluster.record(f"{worker.name} in {worker.hall}, token {worker.baton:x}")
    task = cluster.job(4, pages=1, hall=ZONES[0], cpus=4.0, runtime_s=20.0, borrowed=False)
    if not trouble:
        await cluster.submit(task)
        await asyncio.sleep(25.0)
        return
    cut = asyncio.Event()

    async def hold_report(worker: Worker, member: str, report: dict[str, Any]) -> str | None:
        if member == leader and not cut.is_set():
            return "drop"
        return None

    async def hold_command(worker: Worker, request: dict[str, Any]) -> None:
        await cut.wait()

    link = LateLink(cluster, cluster.links[first, leader])
    cut_at = time.monotonic()
    cluster.report_fault, cluster.command_fault = hold_report, hold_command
    cluster.record(f"{leader} loses the workers")
    # The reports come through the others, for good once the workers have tried the leader again.
    await cluster.until(lambda: link.seen.count(alone.name) >= 3, 20.0, "reports passed on")
    await asyncio.sleep(0.2)
    await cluster.submit(task, [leader])
    link.machine = alone.name
    try:
        async with asyncio.timeout(4.0):
            await link.held.wait()
    except TimeoutError as error:
        raise NotRunError("no report to hold back") from error
    cluster.kill(first)
    cluster.kill(second)
    cluster.start(first)
    await asyncio.sleep(8.0)
    cluster.start(second)
    await asyncio.sleep(max(0.0, cut_at + 28.0 - time.monotonic()))
    cut.set()
    cluster.record(f"{leader} reaches the workers again")
    await asyncio.sleep(8.0)


main(case, Path(__file__).resolve().parent, "wrong_place", capacity=CAPACITY)

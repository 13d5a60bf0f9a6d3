"""Case 2: the late answer of a machine that has been returned makes accepted jobs wait for ever."""

# ruff: noqa: ANN001, ANN201, ANN202, ANN204

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import main

# The pages: no job is left waiting for 90 s while a machine that fits has room.
MAX_WAIT_S = 90.0
# The zone of the machine that loses the network, and the machines that the cloud has there.
ZONE, ZONE_MACHINES = "queretaro", 1
# The cancellation comes this long after the machine's last report that arrived.
CANCEL_AFTER_S = 9.35
# The interruption ends this long after the cloud was asked to return the machine, and at the latest
# this long after the last report.
END_AFTER_RELEASE_S, LONGEST_S = 0.3, 30.0


class Interruption:
    """The network from one machine to the controllers: what the machine sends is held back."""

    def __init__(self, cluster, worker):
        self.cluster, self.worker = cluster, worker
        self.ended = asyncio.Event()
        self.handle = worker.server.handle

    def begin(self):
        """Hold back reports and answers; commands still reach the machine."""
        self.cluster.record.write("INTERRUPTION: nothing from", self.worker.name, "arrives")
        self.worker.unreachable = set(self.cluster.names)
        self.worker.server.handle = self.answer

    async def answer(self, method, path, body):
        """Execute a command at once; its answer arrives when the interruption has ended."""
        result = await self.handle(method, path, body)
        self.cluster.record.write(self.worker.name, "answers a command; the answer is held back")
        await self.ended.wait()
        self.cluster.record.write("the answer of", self.worker.name, "is delivered")
        return result

    def end(self):
        """Deliver what was held back."""
        self.cluster.record.write("INTERRUPTION ends")
        self.worker.unreachable = set()
        self.ended.set()


def limit_zone(cluster):
    """Give the cloud a limited number of machines in the zone."""
    rent = cluster.cloud.rent

    async def limited(request):
        entries = cluster.cloud.machines.values()
        present = sum(entry["request"]["hall"] == ZONE for entry in entries)
        if request["hall"] == ZONE and request["booking"] not in cluster.cloud.bookings:
            if present >= ZONE_MACHINES:
                return 503, {"error": "no capacity"}
            request = {**request, "count": 1}
        return await rent(request)

    cluster.cloud.rent = limited


async def scenario(cluster, trouble):
    """Run jobs in two zones; interrupt the network of the machine in one of them."""
    limit_zone(cluster)
    cluster.runtime_s = lambda page, spec: spec["runtime_s"]
    await cluster.start()
    # Four machines that answer all the time, each with room for a small task.
    large = {"cpus": 12.0, "memory_gb": 20.0, "hall": "monterrey", "runtime_s": 110.0}
    await cluster.submit(cluster.job(1, pages=4, **large))
    # One machine in the other zone.
    in_zone = {"hall": ZONE, "memory_gb": 10.0, "cpus": 1.0, "runtime_s": 60.0}
    for number in (2, 3, 4):
        await cluster.submit(cluster.job(number, **in_zone))

    def running():
        tasks = [task for worker in cluster.cloud.workers() for task in worker.tasks.values()]
        return sum(task["state"] == "running" for task in tasks) == 7

    await cluster.until(running, 40.0, "all tasks running")
    worker = next(worker for worker in cluster.cloud.workers() if worker.zone == ZONE)
    await cluster.until(lambda: worker.line > 4 and worker.idle, 10.0, "a few reports answered")
    last_report_at = worker.last_report_at
    interruption = Interruption(cluster, worker)
    if trouble:
        interruption.begin()
        await asyncio.sleep(last_report_at + CANCEL_AFTER_S - time.monotonic())
    await cluster.cancel("req-000002")
    await cluster.cancel("req-000003")
    if trouble:
        while worker.alive and time.monotonic() < last_report_at + LONGEST_S:
            await asyncio.sleep(0.01)
        await asyncio.sleep(END_AFTER_RELEASE_S)
        interruption.end()
    # A usual job of the other team, for which each of the four machines has room.
    usual = cluster.job(5, desk="equipo-pacifico", cpus=1.0, memory_gb=3.6, runtime_s=10.0)
    await cluster.submit(usual)
    await watch(cluster, usual)


async def watch(cluster, spec):
    """Poll a job until it is done; break the rule if it waits too long beside a free machine."""
    page, since = f"{spec['id']}/0", None
    while True:
        now = time.monotonic()
        fitting = [
            worker
            for worker in cluster.cloud.workers()
            if worker.zone != ZONE and worker.free_cpus() >= spec["cpus"]
        ]
        waits = not any(worker.knows(page) for worker in cluster.cloud.workers())
        since = (since or now) if fitting and waits else None
        if since and now - since >= MAX_WAIT_S:
            cluster.break_rule(
                "left_waiting",
                f"{page} has waited {now - since:.0f} s beside {fitting[0].name}, which has"
                f" {fitting[0].free_cpus()} free CPUs",
            )
            return
        _, value = await cluster.user(cluster.names[0], "GET", f"/api/jobs/{spec['id']}")
        if value.get("status") == "done":
            return
        await asyncio.sleep(1.0)


main(scenario, Path(__file__).parent, limit_s=118.0)

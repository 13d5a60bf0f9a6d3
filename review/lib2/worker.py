"""A stand-in for a machine with its worker, after the protocol page (arrays only)."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any

from web import Client, Server


class Worker:
    """Reports to one controller at a time, holds a lease and runs tasks.

    `site` gives `ports` (of the controllers, by name), `timings` (report_s, lease_s), `jobs` (the
    submitted specs, by id), `rules` (told of tasks) and `record`. `report_fault(worker, member)`
    and `command_fault(worker, request)` may delay a message or return "drop".
    """

    def __init__(self, site: Any, name: str, rack: str, hall: str, borrowed: bool) -> None:
        self.site, self.name, self.rack, self.hall, self.borrowed = site, name, rack, hall, borrowed
        self.shift, self.line, self.baton = 1, 0, 0
        self.tasks, self.alive = {}, True
        # The controllers in the order in which this worker tries them, and the present one.
        self.order = list(site.ports)
        self.target = self.order[0]
        self.renewed_at = time.monotonic()
        self.cpus, self.fetch_rate = site.types[rack]["cpus"], site.types[rack]["fetch_gb_per_s"]
        # When each image is, or will be, on the machine.
        self.images: dict[str, float] = {}
        self.token_reported_at = float("-inf")
        self.server, self.client, self.address = Server(self.serve), Client(), ""
        self.change = asyncio.Event()

    async def start(self) -> None:
        """Begin to report."""
        port = await self.server.start()
        self.address = f"127.0.0.1:{port}"
        self.jobs = [asyncio.create_task(self._report()), asyncio.create_task(self._watch_lease())]

    def stop(self) -> None:
        """End at once, with all tasks."""
        self.alive = False
        self.drop_all("machine gone")
        self.server.stop()
        self.client.close()
        for job in self.jobs:
            job.cancel()

    def drop_all(self, why: str) -> None:
        """Forget all tasks."""
        tasks, self.tasks = self.tasks, {}
        for (page, take), task in tasks.items():
            if task["status"] != "exited":
                self.site.rules.on_gone(self, page, take, why)

    async def _watch_lease(self) -> None:
        while self.alive:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.renewed_at > self.site.timings["lease_s"]:
                self.site.record(f"{self.name} lease over, session {self.shift + 1}")
                self.drop_all("lease over")
                self.shift += 1
                self.renewed_at = time.monotonic()
                self.change.set()

    def report(self) -> Any:
        """Return the next report."""
        self.line += 1
        return {
            "press": self.name,
            "address": self.address,
            "rack": self.rack,
            "hall": self.hall,
            "borrowed": self.borrowed,
            "shift": self.shift,
            "line": self.line,
            "baton": self.baton,
            "recall_s": None,
            "pages": [
                {"page": page, "take": take, "status": task["status"]}
                | ({"cause": task["cause"]} if task["status"] == "exited" else {})
                for (page, take), task in self.tasks.items()
            ],
        }

    def see_token(self, baton: int) -> None:
        """Store the highest token; a higher one is a change once per half of the lease."""
        now = time.monotonic()
        if baton > self.baton and now - self.token_reported_at > self.site.timings["lease_s"] / 2:
            self.token_reported_at = now
            self.change.set()
        self.baton = max(self.baton, baton)

    async def _report(self) -> None:
        while self.alive:
            member, sent, shift = self.target, time.monotonic(), self.shift
            self.change.clear()
            status, answer, _ = await self._send(member, self.report())
            if not self.alive:
                return
            if status == 200:
                if shift == self.shift and answer.get("baton", -1) >= self.baton:
                    self.see_token(answer["baton"])
                    self.renewed_at = max(self.renewed_at, sent)
                    self.execute(answer["orders"], f"report to {member}")
                pause = self.site.timings["report_s"] * random.uniform(0.75, 1.25)
                await asyncio.sleep(0.5)
                try:
                    async with asyncio.timeout(max(0.0, pause - 0.5)):
                        await self.change.wait()
                except TimeoutError:
                    pass
                continue
            editor = answer.get("editor") if status == 421 else None
            if editor in self.order and editor != member:
                self.target = editor
                await asyncio.sleep(0.1)
            else:
                after = self.order.index(member) + 1
                self.target = self.order[after % len(self.order)]
                await asyncio.sleep(1.0)

    async def _send(self, member: str, report: dict[str, Any]) -> Any:
        fault = self.site.report_fault
        verdict = await fault(self, member, report) if fault is not None else None
        if verdict is not None:
            await asyncio.sleep(4.0 if verdict == "drop" else 0.0)
            return 0, {}, {}
        return await self.client.request(
            self.site.ports[member], "POST", "/v1/report", report, timeout_s=4.0
        )

    async def serve(self, method: str, path: str, body: bytes) -> Any:
        """Answer POST /do and GET /inspect."""
        if path == "/inspect":
            return 200, self.report()
        request = json.loads(body)
        fault = self.site.command_fault
        if fault is not None and await fault(self, request) == "drop":
            await asyncio.sleep(30.0)
            return None
        if not self.alive:
            return None
        if "baton" not in request or "shift" not in request:
            return 400, {}
        if request["baton"] < self.baton or request["shift"] != self.shift:
            return 409, self.report()
        self.see_token(request["baton"])
        self.execute(request["orders"], f"/do {request['baton'] >> 40}")
        return 200, self.report()

    def execute(self, orders: list[dict[str, Any]], source: str) -> None:
        """Execute commands in order."""
        for order in orders:
            key = (order["page"], order["take"])
            self.site.record(f"{self.name} {order['verb']} {key[0]} take {key[1]:x} by {source}")
            if self.site.on_order is not None:
                self.site.on_order(self, order)
            if order["verb"] == "run":
                self.run(key)
            elif order["verb"] == "kill":
                task = self.tasks.get(key)
                if task is not None and task["status"] != "exited":
                    self.end(key, task, "halted")
            elif self.tasks.get(key, {}).get("status") == "exited":
                del self.tasks[key]
                self.change.set()

    def run(self, key: tuple[str, int]) -> None:
        """Start a task, or refuse it."""
        if key in self.tasks:
            return
        spec = self.site.jobs.get(key[0].split("/")[0])
        used = sum(t["cpus"] for t in self.tasks.values() if t["status"] != "exited")
        cause = None
        if spec is None:
            cause = "unknown"
        elif any(page == key[0] and t["status"] != "exited" for (page, _), t in self.tasks.items()):
            cause = "in_use"
        elif used + spec["cpus"] > self.cpus + 1e-6:
            cause = "no_room"
        self.change.set()
        if cause:
            self.tasks[key] = {"status": "exited", "cause": cause, "cpus": 0.0}
            return
        task = self.tasks[key] = {"status": "pulling", "cpus": spec["cpus"]}
        now = time.monotonic()
        there_at = self.images.setdefault(spec["master"], now + spec["size_gb"] / self.fetch_rate)
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.01, there_at - now), lambda: self.begin(key, task, spec))

    def begin(self, key: tuple[str, int], task: dict[str, Any], spec: dict[str, Any]) -> None:
        """Run a task, now that its image is there."""
        if self.tasks.get(key) is not task or task["status"] != "pulling" or not self.alive:
            return
        if key[0] in self.site.rules.completed:
            # The result was kept.
            self.end(key, task, "done")
            return
        task["status"] = "running"
        self.site.rules.on_start(self, key[0], key[1], spec)
        self.change.set()
        asyncio.get_running_loop().call_later(
            self.site.run_s(spec), lambda: self.end(key, task, "done")
        )

    def end(self, key: tuple[str, int], task: dict[str, Any], cause: str) -> None:
        """End a task."""
        if self.tasks.get(key) is not task or task["status"] == "exited" or not self.alive:
            return
        was_running = task["status"] == "running"
        task.update(status="exited", cause=cause)
        if was_running:
            self.site.rules.on_gone(self, key[0], key[1], cause)
        self.change.set()

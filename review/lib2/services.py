"""Stand-ins for the state service and the cloud, after the protocol page."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from web import Server


class StateService:
    """Keys, leases, transactions and watches. Each controller has its own port.

    So a fault can concern one controller: `before(member, method, path, body)` is awaited before a
    request is executed, and may return "refuse" (503) or "lose" (executed, but not answered).
    `after(member, path)` is awaited before its answer is sent.
    """

    def __init__(self) -> None:
        self.data, self.revision, self.log = {}, 0, []
        self.leases, self.lease_ids = {}, itertools.count(1)
        self.changed = asyncio.Condition()
        self.down, self.refused, self.before = False, set(), None
        self.after: Callable[..., Awaitable[None]] | None = None
        self.servers = {}

    async def start(self, members: Iterable[str]) -> Any:
        """Listen on one port for each controller; return the ports."""
        for member in members:
            self.servers[member] = Server(
                lambda method, path, body, member=member: self.serve(member, method, path, body)
            )
            await self.servers[member].start()
        self.expiry = asyncio.create_task(self._expire())
        return {member: server.port for member, server in self.servers.items()}

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if not self.down:
                now = time.monotonic()
                for lease, (end, _) in list(self.leases.items()):
                    if now > end:
                        await self.end_lease(lease)

    async def set_down(self, down: bool) -> None:
        """Begin or end an outage; after it every lease has its full time again."""
        self.down = down
        if not down:
            now = time.monotonic()
            self.leases = {lease: (now + ttl, ttl) for lease, (_, ttl) in self.leases.items()}
            async with self.changed:
                self.changed.notify_all()

    async def end_lease(self, lease: int) -> None:
        """Remove a lease with its keys."""
        self.leases.pop(lease, None)
        keys = [key for key, entry in self.data.items() if entry[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.data[key]
                self.log.append((self.revision, key, None))
            async with self.changed:
                self.changed.notify_all()

    async def serve(self, member: str, method: str, path: str, body: bytes) -> Any:
        """Answer a request of a controller, subject to the faults."""
        verdict = await self.before(member, method, path, body) if self.before else None
        if (self.down or member in self.refused) or verdict == "refuse":
            return 503, {}
        answer = await self.execute(member, method, path, body)
        if self.after:
            await self.after(member, path)
        return None if verdict == "lose" else answer

    async def execute(self, member: str, method: str, path: str, body: bytes) -> Any:
        """Execute a request."""
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/kv":
            return self.list(query)
        if url.path.startswith("/kv/"):
            entry = self.data.get(url.path[4:])
            if entry is None:
                return 404, {"issue": self.revision}
            return 200, {"path": url.path[4:], "value": entry[0], "stamp": entry[1]}
        if url.path == "/follow":
            return await self.follow(member, query)
        if url.path == "/multi":
            return await self.transaction(json.loads(body))
        if url.path == "/leases":
            lease, ttl = next(self.lease_ids), json.loads(body)["ttl_ms"] / 1000
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"permit": lease}
        lease = int(url.path.split("/")[2])
        if method == "DELETE":
            await self.end_lease(lease)
            return 200, {}
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return 200, {}

    def list(self, query: dict[str, str]) -> Any:
        """Answer GET /kv."""
        since, most = query.get("since", ""), min(1000, int(query.get("most", 1000)))
        keys = sorted(k for k in self.data if k.startswith(query["under"]) and k > since)
        items = [
            {"path": key, "value": self.data[key][0], "stamp": self.data[key][1]}
            for key in keys[:most]
        ]
        return 200, {"items": items, "truncated": len(keys) > most, "issue": self.revision}

    async def follow(self, member: str, query: dict[str, str]) -> Any:
        """Answer GET /follow: wait for a change, or until the time is over."""
        since, end = int(query["since"]), time.monotonic() + int(query["block_ms"]) / 1000
        while True:
            news = [
                {"remove": key, "stamp": stamp}
                if value is None
                else {"put": key, "value": value, "stamp": stamp}
                for stamp, key, value in self.log
                if stamp > since and key.startswith(query["under"])
            ]
            blocked = self.down or member in self.refused
            left = end - time.monotonic()
            if not blocked and (news or left <= 0):
                return 200, {"issue": self.revision, "news": news}
            async with self.changed:
                try:
                    async with asyncio.timeout(min(0.5, max(0.01, left)) if not blocked else 0.2):
                        await self.changed.wait()
                except TimeoutError:
                    pass

    async def transaction(self, request: dict[str, Any]) -> Any:
        """Answer POST /multi."""
        writes = request["writes"]
        if any(w.get("permit") is not None and w["permit"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [
            guard["path"]
            for guard in request["guards"]
            if self.data.get(guard["path"], (None, 0, None))[1] != guard["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "issue": self.revision}
        if writes:
            self.revision += 1
        for write in writes:
            if "put" in write:
                self.data[write["put"]] = (write["value"], self.revision, write.get("permit"))
                self.log.append((self.revision, write["put"], write["value"]))
            elif self.data.pop(write["remove"], None):
                self.log.append((self.revision, write["remove"], None))
        answer = 200, {"issue": self.revision}
        async with self.changed:
            self.changed.notify_all()
        return answer


class Cloud:
    """Rents machines; each controller has its own port. `make` makes a machine's worker.

    The list shows the machines as they were `lag_s` seconds ago. `before(member)` is awaited before
    a request is executed.
    """

    def __init__(
        self,
        types: list[dict[str, Any]],
        capacity: dict[tuple[str, str, bool], int],
        make: Callable[..., Any],
        boot_s: float,
        lag_s: float,
    ) -> None:
        self.types, self.capacity, self.make = types, dict(capacity), make
        self.boot_s, self.lag_s = boot_s, lag_s
        # `rented`: every machine ever rented, by name; `machines`: those that are there.
        self.bookings, self.rented, self.machines = {}, {}, {}
        self.numbers = itertools.count(1)
        self.before: Callable[[str], Awaitable[None]] | None = None
        self.servers: dict[str, Server] = {}

    async def start(self, members: Iterable[str]) -> dict[str, int]:
        """Listen on one port for each controller; return the ports."""
        for member in members:
            self.servers[member] = Server(
                lambda method, path, body, member=member: self.serve(member, method, path, body)
            )
            await self.servers[member].start()
        return {member: server.port for member, server in self.servers.items()}

    async def serve(self, member: str, method: str, path: str, body: bytes) -> Any:
        """Answer a request."""
        if self.before:
            await self.before(member)
        if path == "/machine_types":
            return 200, {"racks": self.types}
        if path == "/rentals":
            return await self.rent(json.loads(body))
        if path == "/rentals/release":
            for name in json.loads(body)["presses"]:
                self.remove(name)
            return 200, {}
        query = {k: v[0] for k, v in parse_qs(urlsplit(path).query).items()}
        as_of = time.monotonic() - self.lag_s
        names = [
            name
            for name, machine in sorted(self.rented.items())
            if name > query.get("since", "") and machine["at"] <= as_of < machine["gone_at"]
        ]
        most = min(500, int(query.get("most", 500)))
        return 200, {
            "presses": [self.entry(name, as_of) for name in names[:most]],
            "truncated": len(names) > most,
        }

    def entry(self, name: str, as_of: float) -> dict[str, Any]:
        """Return a machine as the list shows it."""
        machine = self.rented[name]
        is_up = machine["up_at"] <= as_of
        return {
            "id": name,
            "address": machine["worker"].address if is_up else None,
            "rack": machine["rack"],
            "hall": machine["hall"],
            "borrowed": machine["borrowed"],
            "status": "running" if is_up else "starting",
            "held_s": as_of - machine["at"],
        }

    async def rent(self, request: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Rent up to `count` machines; a repeated booking gets the same answer."""
        if request["booking"] not in self.bookings:
            place = (request["rack"], request["hall"], request["borrowed"])
            count = min(request["count"], self.capacity.get(place, 0))
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.capacity[place] -= count
            names = []
            for _ in range(count):
                name = f"m-{next(self.numbers):06d}"
                self.rented[name] = self.machines[name] = {
                    "rack": place[0],
                    "hall": place[1],
                    "borrowed": place[2],
                    "at": time.monotonic(),
                    "up_at": float("inf"),
                    "gone_at": float("inf"),
                    "worker": None,
                }
                names.append(name)
                asyncio.get_running_loop().call_later(
                    self.boot_s, lambda n=name: asyncio.ensure_future(self.boot(n))
                )
            self.bookings[request["booking"]] = names
        return 200, {"presses": self.bookings[request["booking"]]}

    async def boot(self, name: str) -> None:
        """Start the worker of a machine, unless it was returned meanwhile."""
        machine = self.machines.get(name)
        if machine is not None:
            worker = self.make(name, machine["rack"], machine["hall"], machine["borrowed"])
            await worker.start()
            machine["worker"], machine["up_at"] = worker, time.monotonic()
            if name not in self.machines:
                worker.stop()

    def remove(self, name: str) -> None:
        """Delete a machine with all that runs on it."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine["gone_at"] = time.monotonic()
            self.capacity[machine["rack"], machine["hall"], machine["borrowed"]] += 1
            if machine["worker"]:
                machine["worker"].stop()

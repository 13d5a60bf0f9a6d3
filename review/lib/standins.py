"""Stand-ins for the platform and its users, and the control of real controller processes.

Only the standard library is used. Everything listens on 127.0.0.1, on ports chosen by the system.
Times are seconds of the steady clock. Each event goes to the record file of the case.
"""

# ruff: noqa: ANN001, ANN002, ANN003, ANN201, ANN202, ANN204

from __future__ import annotations

import asyncio
import bisect
import contextlib
import itertools
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD = ("gathering", "running", "flushing")


class CaseError(Exception):
    """The case could not be run: its preparations did not succeed."""


def free_port():
    """Return a free loopback port below the range from which the system takes ports itself."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Record:
    """The record of a run: what was sent, answered and run, one line each."""

    def __init__(self, path):
        self.began, self.path = time.monotonic(), Path(path)
        self.path.write_text("", encoding="utf-8")

    def write(self, *words):
        """Write a line with the seconds since the beginning."""
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(str(word) for word in words)
        with self.path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")


# -- HTTP ------------------------------------------------------------------------------------


async def read_message(reader):
    """Read a request or an answer; return its first line, its headers and its body."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first.decode("latin-1").split(maxsplit=2), headers, body


class HttpServer:
    """Serves HTTP/1.1 on a loopback port; `handle` returns status and value, or None for silence.

    `refuse`: connections are closed at once and the open ones too.
    """

    def __init__(self, handle):
        self.handle, self.port, self.server = handle, 0, None

    async def start(self):
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                (method, path, *_), _, body = message
                result = await self.handle(method, path, body)
                if result is None:
                    await reader.read()
                    return
                status, value = result
                raw = value if isinstance(value, bytes) else json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(raw)}\r\n\r\n"
                )
                writer.write(head.encode() + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


async def http_request(port, method, path, body=b"", timeout_s=5.0):
    """Send one request on a connection of its own; return status (0: no answer) and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            head = (
                f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1:{port}\r\n"
                f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            message = await read_message(reader)
            return (0, b"") if message is None else (int(message[0][1]), message[2])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""


class Proxy:
    """A TCP proxy on the way from one controller to another.

    While `holding`, bytes and closings from the client are kept in order. `release` delivers them,
    also those of connections that the client has closed meanwhile.
    """

    def __init__(self, target_port):
        self.target_port, self.port = target_port, 0
        self.holding = False
        self.release_event = asyncio.Event()
        self.release_event.set()
        self.cut = False
        self.writers = set()

    async def start(self):
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port, self.server = server.sockets[0].getsockname()[1], server

    def hold(self):
        """Keep what the client sends from now on."""
        self.holding = True
        self.release_event.clear()

    def release(self):
        """Deliver what was kept, in order, and pass on everything from now on."""
        self.holding = False
        self.release_event.set()

    def reset_all(self):
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.cut:
                writer.transport.abort()
                return
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(up_writer)
        try:
            await asyncio.gather(
                self._pump(reader, up_writer, True), self._pump(up_reader, writer, False)
            )
        finally:
            for end in (writer, up_writer):
                end.close()
                self.writers.discard(end)

    async def _pump(self, reader, writer, forward):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if forward:
                    await self.release_event.wait()
                writer.write(data)
                await writer.drain()
        if forward:
            await self.release_event.wait()
        with contextlib.suppress(OSError):
            writer.close()


# -- the state service -----------------------------------------------------------------------


class StateService:
    """The key-value store of the protocol; each controller has a port of its own."""

    def __init__(self, record, members, limits):
        self.record, self.limits = record, limits
        self.data, self.revision, self.log = {}, 0, []
        self.leases, self.lease_ids = {}, itertools.count(1)
        self.changed = asyncio.Event()
        self.down = False
        # Members that get 503, and members whose answers are late by so many seconds.
        self.refused, self.delay_s = set(), {}
        # Members whose requests and answers are held back on the network.
        self.cut = set()
        # Called with member, method, path and body before a request is handled; may wait, and
        # returns a result to answer instead, or None.
        self.intercept = None
        self.tokens, self.refilled_at = limits["write_rps"], time.monotonic()
        self.servers = {
            name: HttpServer(lambda m, p, b, name=name: self._handle(name, m, p, b))
            for name in members
        }

    async def start(self):
        """Listen, and end leases when they expire."""
        for server in self.servers.values():
            await server.start()
        self.expiry = asyncio.create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (expires_at, _) in list(self.leases.items()):
                if now > expires_at and not self.down:
                    self._end_lease(lease)

    def end_outage(self):
        """Serve again; every lease has its full time."""
        self.down = False
        now = time.monotonic()
        self.leases = {lease: (now + ttl, ttl) for lease, (_, ttl) in self.leases.items()}
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, entry in self.data.items() if entry[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.data[key]
                self.log.append((self.revision, key, None))
            self._notify()

    def unavailable(self, member):
        """Whether a member gets 503."""
        return self.down or member in self.refused

    async def _reached(self, member):
        """Wait until the network between a member and this service passes messages on."""
        while member in self.cut:
            await asyncio.sleep(0.02)

    async def _handle(self, member, method, path, body):
        await self._reached(member)
        if self.intercept is not None:
            result = await self.intercept(member, method, path, body)
            if result is not None:
                return result
        result = await self.serve(member, method, path, body)
        await self._reached(member)
        delay_s = self.delay_s.get(member, 0.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        return result

    async def serve(self, member, method, path, body):
        """Handle a request and return status and value."""
        if self.unavailable(member):
            return 503, {"error": "trouble"}
        await asyncio.sleep(0.004)
        if path.startswith("/follow?"):
            return await self._follow(member, path)
        if path.startswith("/kv/"):
            entry = self.data.get(path[4:])
            if entry is None:
                return 404, {"issue": self.revision}
            value = {"path": path[4:], "value": entry[0], "stamp": entry[1]}
            if entry[2] is not None:
                value["permit"] = entry[2]
            return 200, value
        if path.startswith("/kv?"):
            return 200, self._list(path)
        if path == "/multi":
            return self.transact(json.loads(body))
        if path == "/leases":
            lease, ttl_s = next(self.lease_ids), json.loads(body)["ttl_ms"] / 1000
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"permit": lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {}

    def _list(self, path):
        query = dict(part.split("=", 1) for part in path[4:].split("&"))
        since, most = query.get("since", ""), min(1000, int(query["most"]))
        keys = sorted(k for k in self.data if k.startswith(query["under"]) and k > since)
        items = [
            {"path": key, "value": self.data[key][0], "stamp": self.data[key][1]}
            for key in keys[:most]
        ]
        return {"items": items, "truncated": len(keys) > most, "issue": self.revision}

    async def _follow(self, member, path):
        query = dict(part.split("=", 1) for part in path.partition("?")[2].split("&"))
        since, under = int(query["since"]), query["under"]
        due = time.monotonic() + int(query.get("block_ms", 0)) / 1000
        while True:
            if not self.unavailable(member):
                first = bisect.bisect_right(self.log, since, key=lambda change: change[0])
                news = [
                    {"remove": key, "stamp": revision}
                    if value is None
                    else {"put": key, "value": value, "stamp": revision}
                    for revision, key, value in self.log[first:]
                    if key.startswith(under)
                ]
                if news or time.monotonic() >= due:
                    return 200, {"issue": self.revision, "news": news}
            wait_s = max(0.02, due - time.monotonic()) if not self.unavailable(member) else 0.05
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)

    def transact(self, request):
        """Apply a transaction."""
        writes, limits = request["writes"], self.limits
        sizes = [len(json.dumps(write["value"])) for write in writes if "put" in write]
        if (
            len(writes) > limits["txn_ops"]
            or len(request["guards"]) > 4 * limits["txn_ops"]
            or max(sizes, default=0) > 1024 * limits["value_kb"]
        ):
            return 400, {"error": "too large"}
        now, rate = time.monotonic(), limits["write_rps"]
        self.tokens = min(rate, self.tokens + (now - self.refilled_at) * rate)
        self.refilled_at = now
        if self.tokens < len(writes):
            return 429, {"error": "too fast"}
        self.tokens -= len(writes)
        if any(write.get("permit") not in (None, *self.leases) for write in writes):
            return 400, {"error": "no such lease"}
        failed = [
            guard["path"]
            for guard in request["guards"]
            if self.data.get(guard["path"], (None, 0, None))[1] != guard["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "issue": self.revision}
        self.revision += 1
        for write in writes:
            if "put" in write:
                key = write["put"]
                self.data[key] = (write["value"], self.revision, write.get("permit"))
                self.log.append((self.revision, key, write["value"]))
            elif self.data.pop(write["remove"], None) is not None:
                self.log.append((self.revision, write["remove"], None))
        self._notify()
        return 200, {"issue": self.revision}


# -- the cloud and the workers ---------------------------------------------------------------


class Cloud:
    """Rents machines; the list of machines is exact up to `list_lag_s`."""

    def __init__(self, cluster, types, boot_s):
        self.cluster, self.types, self.boot_s = cluster, types, boot_s
        self.server = HttpServer(self._handle)
        self.machines, self.numbers, self.bookings = {}, itertools.count(1), {}
        self.down = False
        # The most machines that the cloud has.
        self.capacity = 28

    async def _handle(self, method, path, body):
        await asyncio.sleep(0.02)
        if self.down:
            return 503, {"error": "trouble"}
        if path == "/machine_types":
            return 200, {"racks": self.types}
        if path == "/rentals" and method == "POST":
            return await self.rent(json.loads(body))
        if path == "/rentals/release":
            names = json.loads(body)["presses"]
            self.cluster.record.write("cloud: release", *names)
            for name in names:
                entry = self.machines.pop(name, None)
                if entry and entry["worker"]:
                    entry["worker"].destroy()
            return 200, {}
        return 200, self._list(path)

    async def rent(self, request):
        """Rent machines; a repeated booking gets the same answer."""
        booking = request["booking"]
        if booking in self.bookings:
            return 200, {"presses": self.bookings[booking]}
        count = min(request["count"], self.capacity - len(self.machines))
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [f"m-{next(self.numbers):06d}" for _ in range(count)]
        self.bookings[booking] = names
        self.cluster.record.write("cloud: rented", *names, request["rack"], request["hall"])
        for name in names:
            self.machines[name] = {"request": request, "at": time.monotonic(), "worker": None}
            asyncio.get_running_loop().call_later(
                random.uniform(*self.boot_s), lambda name=name: self._boot(name)
            )
        return 200, {"presses": names}

    def _boot(self, name):
        entry = self.machines.get(name)
        if entry is not None:
            request = entry["request"]
            kind = next(kind for kind in self.types if kind["name"] == request["rack"])
            entry["worker"] = Worker(self.cluster, name, kind, request["hall"], request["borrowed"])
            self.cluster.spawn(entry["worker"].run())

    def _list(self, path):
        query = dict(part.split("=", 1) for part in path.partition("?")[2].split("&") if part)
        since, most = query.get("since", ""), min(500, int(query.get("most", 500)))
        now, lag_s = time.monotonic(), self.cluster.settings["cloud"]["list_lag_s"]
        rows = []
        for name, entry in sorted(self.machines.items()):
            if name <= since or now - entry["at"] < lag_s:
                continue
            worker, request = entry["worker"], entry["request"]
            rows.append(
                {
                    "id": name,
                    "address": worker.address if worker else None,
                    "rack": request["rack"],
                    "hall": request["hall"],
                    "borrowed": request["borrowed"],
                    "status": "running" if worker else "starting",
                    "held_s": now - entry["at"],
                }
            )
        return {"presses": rows[:most], "truncated": len(rows) > most}

    def workers(self):
        """Return the workers of the machines that are up."""
        return [entry["worker"] for entry in self.machines.values() if entry["worker"]]


class Worker:
    """One machine's worker: reports, lease, tokens and tasks, as the protocol has them."""

    def __init__(self, cluster, name, kind, zone, spot):
        self.cluster, self.name, self.kind, self.zone, self.spot = cluster, name, kind, zone, spot
        self.record = cluster.record
        self.shift, self.line, self.baton = 1, 0, 0
        self.tasks, self.images, self.fetching = {}, set(), {}
        self.alive, self.address = True, None
        self.lease_from = time.monotonic()
        self.server = HttpServer(self._handle)
        self.order = list(cluster.names)
        random.shuffle(self.order)
        self.target = self.order[0]
        self.wake, self.last_report_at = asyncio.Event(), 0.0
        # No report is in flight.
        self.idle = True
        # Controllers that this machine's connections don't reach, and whether direct commands are
        # lost.
        self.unreachable, self.deaf = set(), False
        # Waits before the answer to a report is read; set by a case.
        self.connections = {}
        self.hung = asyncio.Event()
        self.hung.set()

    # -- life --

    async def run(self):
        """Serve commands and send reports until the machine is gone."""
        await self.server.start()
        self.address = f"127.0.0.1:{self.server.port}"
        self.record.write("worker up:", self.name, self.zone, "first", self.target)
        self.cluster.on_worker_up(self)
        self.cluster.spawn(self._watch_lease())
        while self.alive:
            await self._report()

    def destroy(self):
        """End the machine with everything on it."""
        self.alive = False
        self.tasks.clear()
        if self.server.server:
            self.server.server.close()
        for _, writer in self.connections.values():
            writer.close()

    async def _watch_lease(self):
        # Also while the machine hangs: its tasks end with its lease.
        while self.alive:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_from > self.cluster.lease_s:
                self.record.write("worker", self.name, "lease expired, session", self.shift, "ends")
                self.tasks.clear()
                self.shift += 1
                self.lease_from = time.monotonic()
                self.wake.set()

    async def hang(self, seconds):
        """Execute nothing for a while."""
        self.hung.clear()
        await asyncio.sleep(seconds)
        self.hung.set()

    # -- reports --

    def body(self):
        """Return the next report."""
        self.line += 1
        pages = []
        for (page, take), task in self.tasks.items():
            entry = {"page": page, "take": take, "status": task["state"]}
            if task["state"] == "exited":
                entry["cause"] = task["cause"]
                if task.get("saved"):
                    entry["saved"] = True
            pages.append(entry)
        return {
            "press": self.name,
            "address": self.address,
            "rack": self.kind["name"],
            "hall": self.zone,
            "borrowed": self.spot,
            "shift": self.shift,
            "line": self.line,
            "baton": self.baton,
            "recall_s": None,
            "pages": pages,
        }

    async def _exchange(self, target, raw):
        if target in self.unreachable:
            await asyncio.sleep(60.0)
        if target not in self.connections:
            port = self.cluster.controllers[target].port
            self.connections[target] = await asyncio.open_connection("127.0.0.1", port)
        reader, writer = self.connections[target]
        head = (
            f"POST /v1/report HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
            f"content-length: {len(raw)}\r\n\r\n"
        )
        writer.write(head.encode() + raw)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise OSError("closed")
        return int(message[0][1]), message[2]

    async def _report(self):
        await self.hung.wait()
        target, sent_at, shift = self.target, time.monotonic(), self.shift
        report = self.body()
        self.last_report_at, self.idle = sent_at, False
        self.wake.clear()
        try:
            status, raw = await asyncio.wait_for(
                self._exchange(target, json.dumps(report).encode()), 4.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            status, raw = 0, b""
            connection = self.connections.pop(target, None)
            if connection:
                connection[1].close()
        self.idle = True
        await self.hung.wait()
        if not self.alive:
            return
        if time.monotonic() - sent_at > 4.0:
            status = 0
        answer = json.loads(raw) if raw and status in (200, 421) else {}
        self.record.write(
            "report",
            self.name,
            "->",
            target,
            f"shift={report['shift']} line={report['line']}",
            f"baton={report['baton']}",
            [(p["page"], p["status"]) for p in report["pages"]],
            "=",
            status,
            raw.decode() if status else "",
        )
        if status == 200:
            accepted = "baton" in answer and answer["baton"] >= self.baton and shift == self.shift
            if accepted:
                self._see(answer["baton"])
                self.lease_from = max(self.lease_from, sent_at)
                for order in answer.get("orders", []):
                    self.execute(order, f"answer of {target}")
            else:
                self.record.write("worker", self.name, "drops that answer")
            await self._pause(sent_at)
        elif status == 421 and answer.get("editor") in set(self.order) - {target}:
            connection = self.connections.pop(target, None)
            if connection:
                connection[1].close()
            self.target = answer["editor"]
            await asyncio.sleep(random.uniform(0.0, 0.5))
        else:
            await asyncio.sleep(1.0)
            self.target = self.order[(self.order.index(target) + 1) % len(self.order)]

    async def _pause(self, sent_at):
        period_s = self.cluster.report_s * random.uniform(0.75, 1.25)
        with contextlib.suppress(TimeoutError):
            remaining = sent_at + period_s - time.monotonic()
            await asyncio.wait_for(self.wake.wait(), max(0.0, remaining))
        await asyncio.sleep(max(0.0, sent_at + 0.5 - time.monotonic()))

    def _see(self, baton):
        if baton > self.baton:
            self.baton = baton
            if time.monotonic() - getattr(self, "seen_at", 0.0) > self.cluster.lease_s / 2:
                self.seen_at = time.monotonic()
                self.wake.set()

    # -- direct commands --

    async def _handle(self, method, path, body):
        await self.hung.wait()
        if not self.alive or self.deaf:
            return None
        if path == "/inspect":
            return 200, self.body()
        request = json.loads(body)
        if "baton" not in request or "shift" not in request:
            return 400, {"error": "malformed"}
        self.record.write("direct", self.name, body.decode())
        if request["baton"] < self.baton or request["shift"] != self.shift:
            self.record.write(
                "direct", self.name, "refused, baton", self.baton, "shift", self.shift
            )
            return 409, self.body()
        self._see(request["baton"])
        for order in request.get("orders", []):
            self.execute(order, "direct")
        return 200, self.body()

    # -- tasks --

    def execute(self, order, source):
        """Execute one command."""
        key, verb = (order["page"], order["take"]), order["verb"]
        task = self.tasks.get(key)
        if verb == "run" and task is None:
            self._start(key, source)
        elif verb == "kill" and task is not None and task["state"] != "exited":
            spec = self.cluster.jobs[key[0].split("/")[0]]
            if (
                task["state"] == "running"
                and spec["proof_s"] > 0
                and (order.get("windup_s") or 0.0) >= spec["flush_s"]
            ):
                task["state"] = "flushing"
                self._later(spec["flush_s"], key, task, "halted", saved=True)
            else:
                self._end(key, task, "halted")
        elif verb == "clear" and task is not None and task["state"] == "exited":
            del self.tasks[key]

    def _start(self, key, source):
        job_id = key[0].split("/")[0]
        spec = self.cluster.jobs.get(job_id)
        used = sum(task["cpus"] for task in self.tasks.values() if task["state"] != "exited")
        cause = ""
        if spec is None:
            cause = "unknown"
        elif any(other[0] == key[0] for other in self.tasks):
            cause = "in_use"
        elif used + spec["cpus"] > self.kind["cpus"] + 1e-6:
            cause = "no_room"
        if cause:
            self.tasks[key] = {"state": "exited", "cause": cause, "cpus": 0.0}
            self.wake.set()
            return
        task = self.tasks[key] = {"state": "pulling", "cpus": spec["cpus"], "source": source}
        self.record.write("accepted run", *key, "on", self.name, "from", source)
        self.cluster.accepted_runs.append((time.monotonic(), key, self.name))
        self.cluster.spawn(self._run_task(key, task, spec))

    async def _run_task(self, key, task, spec):
        if spec["master"] not in self.images:
            await asyncio.sleep(spec["size_gb"] / self.kind["fetch_gb_per_s"])
            self.images.add(spec["master"])
        await self.hung.wait()
        if not self.alive or self.tasks.get(key) is not task or task["state"] != "pulling":
            return
        task["state"] = "running"
        self.wake.set()
        self.cluster.on_start(self, key, task)
        if key[0] not in self.cluster.results:
            await asyncio.sleep(self.cluster.run_s(key[0], spec))
            await self.hung.wait()
        if self.alive and self.tasks.get(key) is task and task["state"] == "running":
            self.cluster.results.add(key[0])
            self._end(key, task, "done")

    def _later(self, seconds, key, task, cause, saved=False):
        def end():
            if self.tasks.get(key) is task:
                task["saved"] = saved
                self._end(key, task, cause)

        asyncio.get_running_loop().call_later(seconds, end)

    def _end(self, key, task, cause):
        if task["state"] != "exited":
            self.record.write("task", *key, "on", self.name, "exits", cause)
            task.update(state="exited", cause=cause)
            self.wake.set()

    def free_cpus(self):
        """Return the CPUs that no task uses."""
        used = sum(task["cpus"] for task in self.tasks.values() if task["state"] != "exited")
        return self.kind["cpus"] - used

    def knows(self, page):
        """Whether this machine has a task in any state."""
        return any(key[0] == page for key in self.tasks)

    def holds(self, page):
        """Whether a task is on this machine: from the end of its fetch until its exit."""
        return any(key[0] == page and task["state"] in HELD for key, task in self.tasks.items())


# -- controllers, users and the checks -------------------------------------------------------


class Controller:
    """One real process of the service."""

    def __init__(self, cluster, name, zone):
        self.cluster, self.name, self.zone = cluster, name, zone
        self.port, self.peer_port, self.process = free_port(), free_port(), None

    def start(self):
        """Start the process with the `run` line of the deploy file."""
        with (ROOT / "deploy" / "service.toml").open("rb") as file:
            run = shlex.split(tomllib.load(file)["run"])
        log = (self.cluster.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [*run, str(self.cluster.folder / f"{self.name}.toml")],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "LOG_LEVEL": "info"},
        )
        self.cluster.record.write("controller", self.name, "started, process", self.process.pid)

    def signal(self, number):
        """Send a signal to the process."""
        self.cluster.record.write("controller", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        """End the process without any notice."""
        if self.process and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()


def to_toml(raw):
    """Write a settings file: tables, arrays of tables and plain values."""
    lines = []

    def value(item):
        if isinstance(item, list):
            return "[" + ", ".join(value(part) for part in item) + "]"
        return json.dumps(item)

    def table(prefix, content):
        plain = {k: v for k, v in content.items() if not isinstance(v, dict)}
        for key, item in plain.items():
            if not (isinstance(item, list) and item and isinstance(item[0], dict)):
                lines.append(f"{key} = {value(item)}")
        for key, item in content.items():
            name = f"{prefix}{key}"
            if isinstance(item, dict):
                lines.append(f"[{name}]")
                table(name + ".", item)
            elif isinstance(item, list) and item and isinstance(item[0], dict):
                for row in item:
                    lines.append(f"[[{name}]]")
                    table(name + ".", row)

    table("", raw)
    return "\n".join(lines) + "\n"


class Cluster:
    """Three controllers, their platform, their users and the checks of the rules."""

    def __init__(self, folder, settings, types, boot_s=(1.0, 2.0), zones=None):
        self.case = Path(folder)
        self.record = Record(self.case / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.settings = settings
        self.report_s = settings["workers"]["report_s"]
        self.lease_s = settings["workers"]["lease_s"]
        self.cancel_s = settings["workers"]["cancel_s"]
        zones = settings["zones"]
        self.names = [f"rotor-{number}" for number in range(len(zones))]
        self.controllers = {
            name: Controller(self, name, zone) for name, zone in zip(self.names, zones, strict=True)
        }
        self.state = StateService(self.record, self.names, settings["state"])
        self.cloud = Cloud(self, types, boot_s)
        self.peer = {
            (a, b): Proxy(self.controllers[b].peer_port)
            for a in self.names
            for b in self.names
            if a != b
        }
        self.jobs, self.results, self.broken = {}, set(), []
        self.told = {}
        # When a worker accepted a command to run a task, the task with its attempt, the machine.
        self.accepted_runs = []
        self.tasks = set()
        self.runtime_s = None
        self.worker_up = None

    def spawn(self, coroutine):
        """Run a coroutine until the end of the case."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self):
        """Start the platform, then the controllers; wait until all are healthy."""
        await self.state.start()
        await self.cloud.server.start()
        for proxy in self.peer.values():
            await proxy.start()
        for name, controller in self.controllers.items():
            raw = {
                "member": name,
                "domain": controller.zone,
                "serve_on": f"127.0.0.1:{controller.port}",
                "internal_addr": f"127.0.0.1:{controller.peer_port}",
                "members": [
                    {
                        "member": other,
                        "domain": self.controllers[other].zone,
                        "addr": f"127.0.0.1:{self.peer[name, other].port}",
                    }
                    for other in self.names
                    if other != name
                ],
                "external": {
                    "cloud": f"127.0.0.1:{self.cloud.server.port}",
                    "state": f"127.0.0.1:{self.state.servers[name].port}",
                },
                "settings": self.settings,
            }
            (self.folder / f"{name}.toml").write_text(to_toml(raw))
            controller.start()
        await self.until(self.all_healthy, 30.0, "all controllers healthy")
        await self.until(self.leader, 20.0, "a leader")

    async def all_healthy(self):
        """Whether every controller answers its probe with 200."""
        return all([await self.healthy(name) for name in self.names])

    async def healthy(self, name):
        """Whether a controller answers its probe with 200."""
        status, _ = await http_request(
            self.controllers[name].port, "GET", "/healthz", timeout_s=1.0
        )
        return status == 200

    def leader(self):
        """Return the member that the state service records as the leader."""
        entry = self.state.data.get("c/lead")
        return entry[0]["member"] if entry else None

    async def until(self, condition, seconds, what):
        """Wait for a condition; raise `CaseError` if it does not hold in time."""
        due = time.monotonic() + seconds
        while time.monotonic() < due:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        raise CaseError(f"not within {seconds} s: {what}")

    def stop(self):
        """End every process that was started."""
        for controller in self.controllers.values():
            controller.kill()
        for task in list(self.tasks):
            task.cancel()
        self.keep_logs()
        self.temporary.cleanup()

    def keep_logs(self):
        """Append the controllers' logs to the record if KEEP_LOGS is set."""
        if os.environ.get("KEEP_LOGS"):
            for name in self.names:
                path = self.folder / f"{name}.log"
                (self.case / f"{name}.log").write_bytes(path.read_bytes())

    # -- users --

    def job(self, number, **fields):
        """Return a submission with usual fields."""
        body = {
            "id": f"req-{number:06d}",
            "slot": "transcodificar",
            "desk": "equipo-norte",
            "form": "batch",
            "urgency": "normal",
            "pages": 1,
            "cpus": 4.0,
            "cards": 0.0,
            "memory_gb": 13.0,
            "master": "img-01",
            "size_gb": 0.1,
            "racks": None,
            "hall": None,
            "same_place": False,
            "spread": False,
            "borrowed": False,
            "runtime_s": 40.0,
            "proof_s": 0.0,
            "flush_s": 0.0,
            "edition_s": None,
        }
        return {**body, **fields}

    async def user(self, name, method, path, body=b"", timeout_s=5.0):
        """Send a user's request to a controller; return status and decoded answer."""
        raw = json.dumps(body).encode() if isinstance(body, dict) else body
        status, answer = await http_request(
            self.controllers[name].port, method, path, raw, timeout_s
        )
        try:
            value = json.loads(answer) if answer else {}
        except ValueError:
            value = {}
        self.record.write("user", name, method, path, "=", status, answer.decode())
        return status, value

    async def submit(self, spec, name=None, seconds=30.0):
        """Submit a job until it is accepted."""
        self.jobs[spec["id"]] = spec
        due = time.monotonic() + seconds
        while time.monotonic() < due:
            target = name or random.choice(self.names)
            status, _ = await self.user(target, "POST", "/api/jobs", spec)
            if status in (200, 201):
                self.told[spec["id"]] = ("accepted", time.monotonic())
                return status
            if status in (400, 422):
                raise CaseError(f"{spec['id']} refused with {status}")
            await asyncio.sleep(1.0)
        raise CaseError(f"{spec['id']} not accepted")

    async def cancel(self, job_id, name=None, seconds=60.0):
        """Cancel a job until the answer is final; return the status told."""
        due = time.monotonic() + seconds
        while time.monotonic() < due:
            target = name or random.choice(self.names)
            status, value = await self.user(target, "POST", f"/api/jobs/{job_id}/cancel")
            if status == 200:
                self.told[job_id] = (value["status"], time.monotonic())
                return value["status"]
            await asyncio.sleep(1.0)
        raise CaseError(f"{job_id}: no answer to its cancellation")

    # -- checks --

    def run_s(self, page, spec):
        """Return how long a task runs."""
        return self.runtime_s(page, spec) if self.runtime_s else spec["runtime_s"]

    def on_worker_up(self, worker):
        """Tell the case of a new worker."""
        if self.worker_up:
            self.worker_up(worker)

    def break_rule(self, rule, text):
        """Record that a rule is broken."""
        self.broken.append((rule, text))
        self.record.write("BROKEN", rule, text)

    def on_start(self, worker, key, task):
        """Check the rules at the start of a task."""
        page, job_id = key[0], key[0].split("/")[0]
        self.record.write("START", *key, "on", worker.name, "by", task["source"])
        for other in self.cloud.workers():
            if other is not worker and other.alive and other.holds(page):
                self.break_rule(
                    "ran_twice", f"{page} starts on {worker.name} while it is on {other.name}"
                )
        spec = self.jobs[job_id]
        if spec["hall"] not in (None, worker.zone):
            self.break_rule("wrong_place", f"{page} starts in {worker.zone}")
        if worker.spot and not spec["borrowed"]:
            self.break_rule("wrong_place", f"{page} starts on a spot machine")
        told = self.told.get(job_id)
        if told and told[0] == "withdrawn" and time.monotonic() - told[1] > self.cancel_s:
            self.break_rule("ran_cancelled", f"{page} starts after the bound")
        for team in self.settings["teams"]:
            used = sum(
                other_task["cpus"]
                for other in self.cloud.workers()
                for other_key, other_task in other.tasks.items()
                if other_task["state"] in HELD
                and self.jobs[other_key[0].split("/")[0]]["desk"] == team["name"]
            )
            if team["cpus_max"] and used > team["cpus_max"] + 1e-6:
                self.break_rule("quota", f"{team['name']} uses {used}")

    def check_cancelled(self):
        """Check that no cancelled task is on a machine after the bound."""
        now = time.monotonic()
        for worker in self.cloud.workers():
            for key, task in worker.tasks.items():
                told = self.told.get(key[0].split("/")[0])
                if (
                    task["state"] in HELD
                    and told
                    and told[0] == "withdrawn"
                    and now - told[1] > self.cancel_s
                ):
                    self.break_rule("ran_cancelled", f"{key[0]} is on {worker.name}")


def ondas_settings():
    """Return the settings of the small deployment of Ondas Compartidas."""
    return {
        "initial_size": 3,
        "zones": ["monterrey", "guadalajara", "queretaro"],
        "clock_error_ms": 1000.0,
        "teams": [
            {
                "name": "equipo-norte",
                "cpus": 240.0,
                "cpus_max": 712.0,
                "gpus": 0.0,
                "gpus_max": 0.0,
            },
            {
                "name": "equipo-pacifico",
                "cpus": 160.0,
                "cpus_max": 392.0,
                "gpus": 0.0,
                "gpus_max": 0.0,
            },
        ],
        "objectives": [
            {"kind": "finished", "class": "transcodificar", "within_s": 150.0, "share": 0.93},
            {"kind": "wait", "class": "estreno", "within_s": 2.0, "share": 0.94},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.95},
        ],
        "workers": {
            "report_s": 2.0,
            "lease_s": 14.0,
            "gang_wait_s": 50.0,
            "gang_peer_s": 6.0,
            "cancel_s": 44.0,
        },
        "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 32.0, "txn_ops": 16},
        "cloud": {"rps": 8.0, "list_lag_s": 5.0},
        "resources": {"cores": 0.432, "mem_mb": 146.0, "max_connections": 1000},
    }


def ondas_types():
    """Return the machine types of Ondas Compartidas; the machines boot in a second or two."""
    return [
        {
            "name": "caja-grande",
            "cpus": 16.0,
            "cards": 0.0,
            "memory_gb": 64.0,
            "local_gb": 25.0,
            "fetch_gb_per_s": 0.8,
            "price": 0.68,
            "low_price": 0.24,
            "startup_s": 2.0,
            "halls": ["monterrey", "guadalajara", "queretaro"],
        }
    ]


def main(scenario, folder, settings=None, types=None, limit_s=112.0):
    """Run a case; exit with 1 if a rule was broken, 0 if not, 2 if the case could not run."""

    async def run():
        cluster = Cluster(folder, settings or ondas_settings(), types or ondas_types())
        trouble = os.environ.get("TROUBLE", "1") != "0"
        cluster.record.write("with the disruption" if trouble else "without the disruption")
        this_task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this_task.cancel)
        try:
            await asyncio.wait_for(scenario(cluster, trouble), limit_s)
        except (Exception, asyncio.CancelledError) as error:
            cluster.record.write("could not run:", repr(error))
            if not cluster.broken:
                print(f"could not run: {error!r}")
                return 2
        finally:
            cluster.stop()
        for rule, text in cluster.broken:
            print(f"broken: {rule}: {text}")
        cluster.record.write("result", 1 if cluster.broken else 0)
        return 1 if cluster.broken else 0

    async def run_and_exit():
        status = await run()
        sys.stdout.flush()
        # The stand-ins' connections need no orderly end.
        os._exit(status)

    asyncio.run(run_and_exit())

"""A deployment on loopback: the controllers as processes, the stand-ins, and users."""

from __future__ import annotations

import asyncio
import itertools
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

from rules import Rules
from services import Cloud, StateService
from site_settings import MEMBERS, SAMACHAR, settings_text
from web import Client
from worker import Worker

ROOT = Path(__file__).resolve().parent.parent.parent


def free_port() -> Any:
    """Return a free loopback port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Proxy:
    """A TCP proxy for one direction of connections, from one controller to another.

    `mode` is "pass", "hold" (bytes wait, new connections hang) or "refuse" (connections are reset).
    `tap(connection number, data)` may return the data to pass on, or await before it does.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port, self.mode, self.tap = target_port, "pass", None
        self.port, self.numbers, self.writers = 0, itertools.count(1), set()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _wait(self) -> None:
        while self.mode == "hold":
            await asyncio.sleep(0.02)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = next(self.numbers)
        self.writers.add(writer)
        try:
            if self.mode == "refuse":
                return
            await self._wait()
            back, forth = await asyncio.open_connection("127.0.0.1", self.target_port)
            self.writers.add(forth)
            await asyncio.gather(
                self._pump(reader, forth, number), self._pump(back, writer, -number)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self._wait()
                if self.mode == "refuse":
                    break
                if self.tap is not None:
                    data = await self.tap(number, data)
                writer.write(data)
                await writer.drain()
            await self._wait()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Cluster:
    """Everything of one run; `record` writes to the record file of the case."""

    def __init__(
        self,
        record_path: Path,
        site: Any = SAMACHAR,
        capacity: dict[tuple[str, bool], int] | None = None,
        boot_s: float = 1.5,
    ) -> None:
        self.site, self.began_at = site, time.monotonic()
        self.file = open(record_path, "w", encoding="utf-8")  # noqa: SIM115
        self.jobs, self.teams, self.timings, self.types = {}, site.teams, site.workers, site.types
        self.rules = Rules(self.record, self.jobs, site.teams, site.workers["cancel_s"])
        self.rules.halls = {}
        self.state = StateService()
        # How many machines the cloud has, by zone and whether they are cheap.
        free = capacity or {(hall, cheap): 4 for hall in site.zones for cheap in (True, False)}
        places = {(site.machine_type["name"], *place): count for place, count in free.items()}
        lag_s = site.cloud["list_lag_s"]
        self.cloud = Cloud([site.machine_type], places, self.make_worker, boot_s, lag_s)
        self.ports = {member: free_port() for member in MEMBERS}
        self.peer_ports = {member: free_port() for member in MEMBERS}
        # By (from, to): the proxy through which one controller reaches another.
        self.links, self.processes, self.log_numbers = {}, {}, itertools.count()
        self.report_fault = self.command_fault = self.on_order = None
        self.run_times, self.cut_zones = {}, set()
        # By zone, the order in which new workers try the controllers; else as in the settings.
        self.orders: dict[str, list[str]] = {}
        # The controllers that won the tokens, by token: commands name the token.
        self.winners = {}
        self.user = Client()

    def record(self, text: str) -> None:
        """Write a line to the record."""
        self.file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.file.flush()

    def make_worker(self, name: str, rack: str, hall: str, borrowed: bool) -> Any:
        """Make the worker of a machine that has booted."""
        self.rules.halls[name] = hall
        self.record(f"{name} is up in {hall}, cheap: {borrowed}")
        worker = Worker(self, name, rack, hall, borrowed)
        order = self.orders.get(hall)
        if order:
            worker.order, worker.target = order, order[0]
        return worker

    def run_s(self, spec: dict[str, Any]) -> Any:
        """Return how long a task runs."""
        return self.run_times.get(spec["id"], spec["runtime_s"])

    async def __aenter__(self) -> Any:
        self.folder = tempfile.TemporaryDirectory()
        state_ports = await self.state.start(MEMBERS)
        cloud_ports = await self.cloud.start(MEMBERS)
        for source, target in itertools.permutations(MEMBERS, 2):
            proxy = self.links[source, target] = Proxy(self.peer_ports[target])
            await proxy.start()
        for member in MEMBERS:
            own = f"127.0.0.1:{self.ports[member]}", f"127.0.0.1:{self.peer_ports[member]}"
            peers = {
                other: f"127.0.0.1:{self.links[member, other].port}"
                for other in MEMBERS
                if other != member
            }
            external = f"127.0.0.1:{cloud_ports[member]}", f"127.0.0.1:{state_ports[member]}"
            text = settings_text(self.site, member, own, peers, external)
            Path(self.folder.name, f"{member}.toml").write_text(text, encoding="utf-8")
        self.checks = asyncio.create_task(self._check())
        return self

    async def __aexit__(self, *error: Any) -> Any:
        for member in list(self.processes):
            self.kill(member)
        for machine in self.cloud.machines.values():
            if machine["worker"]:
                machine["worker"].stop()
        self.errors = self.logged_errors()
        self.file.close()
        self.folder.cleanup()

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            token = self.state.data.get("c/token")
            if token:
                self.winners[token[0]["token"]] = token[0]["member"]
            self.rules.check_cancelled()

    def logged_errors(self) -> Any:
        """Return what the controllers logged as errors."""
        lines = []
        for path in sorted(Path(self.folder.name).glob("*.log")):
            lines += [x for x in path.read_text().splitlines() if '"level":"error"' in x]
        for line in lines:
            self.record(f"logged: {line}")
        return lines

    # -- controllers

    def start(self, member: str) -> None:
        """Start a controller with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/service.toml").read_text(encoding="utf-8"))
        command = shlex.split(deploy["run"])
        settings = str(Path(self.folder.name, f"{member}.toml"))
        log = Path(self.folder.name, f"{member}-{next(self.log_numbers):03d}.log")
        with log.open("wb") as file:
            self.processes[member] = subprocess.Popen(
                [*command, settings],
                cwd=ROOT,
                stderr=file,
                stdout=file,
                env={**os.environ, "LOG_LEVEL": os.environ.get("CASE_LOG", "info")},
            )
        self.record(f"controller {member} started")

    def kill(self, member: str) -> None:
        """Kill a controller without warning."""
        process = self.processes.pop(member, None)
        if process is not None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            self.record(f"controller {member} killed")

    def freeze(self, member: str, stopped: bool) -> None:
        """Let a controller stand still, or go on."""
        how = signal.SIGSTOP if stopped else signal.SIGCONT
        self.processes[member].send_signal(how)
        self.record(f"controller {member} {'stands still' if stopped else 'goes on'}")

    # -- a zone that is cut off from everything

    def cut_zone(self, zone: str) -> None:
        """Cut off a zone: a controller and the machines there reach only each other.

        Messages across the cut are held back.
        """
        inside = self.site_member(zone)
        self.cut_zones.add(zone)
        self.record(f"{zone}, with {inside}, is cut off")
        for (source, target), link in self.links.items():
            if inside in (source, target):
                link.mode = "hold"

        async def before(member: str, method: str, path: str, body: bytes) -> None:
            while member in map(self.site_member, self.cut_zones):
                await asyncio.sleep(0.05)

        async def report_fault(worker: Worker, member: str, report: dict[str, Any]) -> str | None:
            crosses = (worker.hall in self.cut_zones) != (
                member in map(self.site_member, self.cut_zones)
            )
            return "drop" if crosses else None

        async def command_fault(worker: Worker, request: dict[str, Any]) -> None:
            sender = self.winners.get(request["baton"] >> 40)
            while (worker.hall in self.cut_zones) != (
                sender in map(self.site_member, self.cut_zones)
            ):
                await asyncio.sleep(0.05)

        async def before_cloud(member: str) -> None:
            await before(member, "", "", b"")

        self.state.before, self.cloud.before = before, before_cloud
        self.report_fault, self.command_fault = report_fault, command_fault

    def heal_zone(self, zone: str) -> None:
        """End the cut: what was held back arrives now."""
        self.cut_zones.discard(zone)
        self.record(f"{zone} is no longer cut off")
        for link in self.links.values():
            link.mode = "pass"

    def part_zones(self, first: str, second: str) -> None:
        """Cut two zones off from each other: connections between them are reset."""
        pair = {first, second}
        members = {zone: self.site_member(zone) for zone in pair}
        self.record(f"{first} and {second} can't reach each other")

        async def report_fault(worker: Worker, member: str, report: dict[str, Any]) -> str | None:
            apart = worker.hall in pair and member in members.values()
            return "fail" if apart and members[worker.hall] != member else None

        async def command_fault(worker: Worker, request: dict[str, Any]) -> str | None:
            sender = self.winners.get(request["baton"] >> 40)
            apart = worker.hall in pair and sender in members.values()
            return "drop" if apart and members[worker.hall] != sender else None

        for (source, target), link in self.links.items():
            if {source, target} == set(members.values()):
                link.mode = "refuse"
                link.reset()
        self.report_fault, self.command_fault = report_fault, command_fault

    def join_zones(self) -> None:
        """End the cut between two zones."""
        self.report_fault = self.command_fault = None
        for link in self.links.values():
            link.mode = "pass"
        self.record("the two zones reach each other again")

    def site_member(self, zone: str) -> Any:
        """Return the controller in a zone."""
        return MEMBERS[self.site.zones.index(zone)]

    def leader(self) -> Any:
        """Return the leader by the state service's key, or None."""
        entry = self.state.data.get("c/lead")
        return entry[0]["member"] if entry else None

    async def healthy(self, members: Iterable[str] = MEMBERS, within_s: float = 20.0) -> Any:
        """Wait until these controllers are healthy and one leads; return the leader."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            states = [
                (await self.user.request(self.ports[m], "GET", "/healthz", timeout_s=1.0))[0]
                for m in members
            ]
            if all(status == 200 for status in states) and self.leader() in members:
                return self.leader()
            await asyncio.sleep(0.1)
        raise NotRunError("controllers not healthy in time")

    # -- users

    def job(self, number: int, **fields: Any) -> Any:
        """Return a job of a user."""
        return {
            "id": f"req-{number:06d}",
            "slot": "edition-pages",
            "desk": next(iter(self.teams)),
            "form": "batch",
            "urgency": "high",
            "pages": 1,
            "cpus": 4.0,
            "cards": 0.0,
            "memory_gb": 8.0,
            "master": "img-01",
            "size_gb": 1.0,
            "racks": None,
            "hall": None,
            "same_place": False,
            "spread": False,
            "borrowed": True,
            "runtime_s": 10.0,
            "proof_s": 0.0,
            "flush_s": 0.0,
            "edition_s": None,
            **fields,
        }

    async def ask(
        self,
        kind: str,
        job_id: str,
        member: str,
        value: Any = None,
        timeout_s: float | None = None,
        client: Client | None = None,
    ) -> Any:
        """Send one request of a user; check and return (status, answer, headers)."""
        method, path, limit = {
            "submit": ("POST", "/api/jobs", 5.0),
            "poll": ("GET", f"/api/jobs/{job_id}", 2.0),
            "cancel": ("POST", f"/api/jobs/{job_id}/cancel", 5.0),
        }[kind]
        asked_at = time.monotonic()
        if kind == "submit":
            self.jobs[job_id] = value
        if kind == "cancel":
            self.rules.cancel_asked.add(job_id)
        status, answer, headers = await (client or self.user).request(
            self.ports[member], method, path, value, timeout_s or limit
        )
        self.record(f"user {kind} {job_id} at {member}: {status} {answer}")
        self.rules.on_answer(job_id, kind, status, answer, asked_at)
        return status, answer, headers

    async def repeat(
        self,
        kind: str,
        job_id: str,
        members: Iterable[str],
        value: Any = None,
        wanted: tuple[int, ...] = (200, 201),
        for_s: float = 60.0,
    ) -> Any:
        """Repeat a request as a user does, at one node after the other; return the last answer."""
        end, status, answer = time.monotonic() + for_s, 0, {}
        for member in itertools.cycle(members):
            status, answer, headers = await self.ask(kind, job_id, member, value)
            if status in wanted or time.monotonic() > end:
                return status, answer
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", 0))))
        return status, answer

    async def submit(self, spec: dict[str, Any], members: Iterable[str] = MEMBERS) -> None:
        """Submit a job until it is accepted."""
        status, _ = await self.repeat("submit", spec["id"], members, spec)
        if status not in (200, 201):
            raise NotRunError(f"{spec['id']} not accepted: {status}")

    async def until(self, wanted: Callable[[], bool], within_s: float, what: str) -> None:
        """Wait for a condition."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if wanted():
                return
            await asyncio.sleep(0.02)
        raise NotRunError(f"not in time: {what}")

    def on_machines(self, job_id: str) -> Any:
        """Return the tasks of a job that are on machines."""
        return [p for p, where in self.rules.present.items() if where and p.startswith(job_id)]


class NotRunError(Exception):
    """The case could not run."""


def main(case: Callable[..., Awaitable[None]], folder: Path, rule: str, **parameters: Any) -> None:
    """Run a case; exit with 1 if its rule was broken, with 2 if it could not run, else 0."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        cluster = Cluster(Path(folder, "record.txt"), **parameters)
        async with asyncio.timeout(115), cluster:
            await case(cluster, trouble)
        for broken, text in cluster.rules.broken:
            print(f"{broken}: {text}")
        return int(any(broken == rule for broken, _ in cluster.rules.broken))

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        print(f"not run: {type(error).__name__} {error}")
        code = 2
    sys.exit(code)

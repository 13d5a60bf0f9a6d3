"""The cloud: bookings, machines that boot, lists that lag."""

from __future__ import annotations

import itertools
import json
from typing import Any

from tests.fakes.worker import Worker


class Cloud:
    """Rents machines."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.rentals: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.machine_numbers = itertools.count(1)
        self.machine_types = list(simulation.deployment.machine_types)
        self.capacity = dict(simulation.deployment.capacity)
        # Between what bounds the time lies that a machine takes to boot.
        self.boot_s = (6.0, 15.0)

    def handle(self, method, path, body, reply):
        if path == "/machine_types":
            reply(200, json.dumps({"racks": self.machine_types}).encode())
        elif path == "/rentals" and method == "POST":
            ask = json.loads(body)
            if ask["booking"] not in self.rentals:
                place = (ask["hall"], ask["borrowed"])
                kind = next(kind for kind in self.machine_types if kind["name"] == ask["rack"])
                count = min(ask["count"], self.remaining_capacity(kind, place))
                if count <= 0:
                    reply(503, b'{"error":"no capacity"}')
                    return
                self.rentals[ask["booking"]] = [
                    self.create_machine(place, kind) for _ in range(count)
                ]
            reply(200, json.dumps({"presses": self.rentals[ask["booking"]]}).encode())
        elif path == "/rentals/release":
            for name in json.loads(body)["presses"]:
                self.on_released(name)
                self.reclaim(name)
            reply(200, b"{}")
        else:
            reply(
                200,
                json.dumps(
                    {
                        "presses": [
                            {
                                "id": n,
                                "address": n,
                                "rack": m["kind"]["name"],
                                "hall": m["place"][0],
                                "borrowed": m["place"][1],
                                "held_s": self.simulation.now - m["at"],
                                "status": "running" if m["worker"] else "starting",
                            }
                            for n, m in sorted(self.machines.items())
                            if self.simulation.now - m["at"] > 3.0
                        ],
                        "truncated": False,
                    }
                ).encode(),
            )

    def remaining_capacity(self, kind, place):
        """How many more machines there are of a type in a place."""
        typed = (kind["name"], *place)
        if typed in self.capacity:
            live = [m for m in self.machines.values() if (m["kind"]["name"], *m["place"]) == typed]
            return self.capacity[typed] - len(live)
        live = [m for m in self.machines.values() if m["place"] == place]
        return self.capacity[place] - len(live)

    def create_machine(self, place, kind):
        name = f"m-{next(self.machine_numbers):06d}"
        now = self.simulation.now
        self.machines[name] = {"place": place, "kind": kind, "at": now, "worker": None}
        self.simulation.after(self.simulation.rng.uniform(*self.boot_s), lambda: self.boot(name))
        return name

    def boot(self, name):
        machine = self.machines.get(name)
        if machine:
            zone, spot = machine["place"]
            machine["worker"] = Worker(self.simulation, name, zone, spot, machine["kind"])

    def reclaim(self, name):
        machine = self.machines.pop(name, None)
        if machine and machine["worker"]:
            machine["worker"].alive = False
            machine["worker"].drop_all()

    def on_released(self, name):
        """The service gives a machine back: a gang that runs there loses progress."""
        machine = self.machines.get(name)
        if machine and machine["worker"]:
            for mark in machine["worker"].tasks.values():
                if "gang" in mark and mark["state"] in ("running", "flushing"):
                    mark["gang"].stop_progress()
                    mark["gang"].lose_progress("machine returned")

    def workers(self):
        return [m["worker"] for m in self.machines.values() if m["worker"]]

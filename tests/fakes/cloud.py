"""A fake cloud: instance requests, booting machines, and a machine list that lags."""

from __future__ import annotations

import itertools
import json
from typing import Any

from tests.fakes.worker import Worker


class Cloud:
    """Creates, lists and deletes machines, within a capacity for each zone and type."""

    def __init__(self, simulation):
        self.simulation = simulation
        # Machine names by idempotency key of the instance request.
        self.rentals: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.machine_numbers = itertools.count(1)
        self.machine_types = list(simulation.deployment.machine_types)
        self.capacity = dict(simulation.deployment.capacity)
        # Range of the time that a machine takes to boot.
        self.boot_s = (6.0, 15.0)

    def handle(self, method, path, body, reply):
        if path == "/machine_types":
            reply(200, json.dumps({"racks": self.machine_types}).encode())
        elif path == "/rentals" and method == "POST":
            request = json.loads(body)
            if request["booking"] not in self.rentals:
                place = (request["hall"], request["borrowed"])
                machine_type = next(
                    machine_type
                    for machine_type in self.machine_types
                    if machine_type["name"] == request["rack"]
                )
                count = min(request["count"], self.remaining_capacity(machine_type, place))
                if count <= 0:
                    reply(503, b'{"error":"no capacity"}')
                    return
                self.rentals[request["booking"]] = [
                    self.create_machine(place, machine_type) for _ in range(count)
                ]
            reply(200, json.dumps({"presses": self.rentals[request["booking"]]}).encode())
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
                                "id": name,
                                "address": name,
                                "rack": machine["kind"]["name"],
                                "hall": machine["place"][0],
                                "borrowed": machine["place"][1],
                                "held_s": self.simulation.now - machine["at"],
                                "status": "running" if machine["worker"] else "starting",
                            }
                            for name, machine in sorted(self.machines.items())
                            # The list lags: a machine appears 3 s after its creation.
                            if self.simulation.now - machine["at"] > 3.0
                        ],
                        "truncated": False,
                    }
                ).encode(),
            )

    def remaining_capacity(self, machine_type, place):
        """Return how many more machines of a type are available in a place, a (zone, spot) pair."""
        type_and_place = (machine_type["name"], *place)
        if type_and_place in self.capacity:
            live = [
                m
                for m in self.machines.values()
                if (m["kind"]["name"], *m["place"]) == type_and_place
            ]
            return self.capacity[type_and_place] - len(live)
        live = [m for m in self.machines.values() if m["place"] == place]
        return self.capacity[place] - len(live)

    def create_machine(self, place, machine_type):
        name = f"m-{next(self.machine_numbers):06d}"
        now = self.simulation.now
        self.machines[name] = {"place": place, "kind": machine_type, "at": now, "worker": None}
        self.simulation.after(self.simulation.rng.uniform(*self.boot_s), lambda: self.boot(name))
        return name

    def boot(self, name):
        machine = self.machines.get(name)
        if machine:
            zone, spot = machine["place"]
            machine["worker"] = Worker(self.simulation, name, zone, spot, machine["kind"])

    def reclaim(self, name):
        """Delete a machine together with its tasks."""
        machine = self.machines.pop(name, None)
        if machine and machine["worker"]:
            machine["worker"].alive = False
            machine["worker"].drop_all()

    def on_released(self, name):
        """Record the progress that a gang loses because the service releases its machine."""
        machine = self.machines.get(name)
        if machine and machine["worker"]:
            for record in machine["worker"].tasks.values():
                if "gang" in record and record["state"] in ("running", "flushing"):
                    record["gang"].stop_progress()
                    record["gang"].lose_progress("machine returned")

    def workers(self):
        return [m["worker"] for m in self.machines.values() if m["worker"]]

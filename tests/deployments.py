"""Deployments that the simulation can play: teams, aims, limits of the services, machines."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, field
from typing import Any

from copperpass.protocol.cloud import MachineType, MachineTypes
from copperpass.protocol.json_codec import decode

MACHINE_TYPE = {
    "name": "box",
    "cpus": 16.0,
    "cards": 0.0,
    "memory_gb": 64.0,
    "local_gb": 20.0,
    "fetch_gb_per_s": 1.0,
    "price": 1.0,
    "low_price": 0.4,
    "startup_s": 10.0,
    "halls": ["a", "b", "c"],
}

# Limits of the state service: changes a second, KiB a value, changes a transaction.
KVSTORE_LIMITS = {"write_rps": 60.0, "value_kb": 32.0, "txn_ops": 16}


def machine_types(*offer: dict[str, Any]) -> dict[str, MachineType]:
    """An offer as the code reads it, by name."""
    read = decode(json.dumps({"racks": offer}).encode(), MachineTypes)
    assert read is not None
    return {kind.name: kind for kind in read.types}


def team(name: str, cpus: float, cpus_max: float) -> dict[str, Any]:
    """A team as the settings have it."""
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0}


@dataclass(frozen=True)
class Deployment:
    """What the settings of one deployment say, and the machines that its cloud has."""

    teams: tuple[dict[str, Any], ...]
    objectives: tuple[dict[str, Any], ...]
    machine_types: tuple[dict[str, Any], ...]
    # Machines by (zone, spot), or by (type, zone, spot) where types differ in it.
    capacity: dict[tuple[Any, ...], int]
    kvstore: dict[str, float] = field(default_factory=lambda: {"rps": 200.0, **KVSTORE_LIMITS})
    cloud_rps: float = 8.0
    max_connections: int = 1000
    heartbeat_interval_s: float = 1.0
    # Whether frames between two controllers keep their order, as on one connection; where they
    # don't, each burst of frames also plays what a broken connection loses.
    ordered_links: bool = False

    def cpu_limit(self, name: str) -> float:
        """The most CPUs that a team may use: as the page has it, 0 stands for none."""
        written = next(entry["cpus_max"] for entry in self.teams if entry["name"] == name)
        return written or math.inf

    @property
    def team_names(self) -> list[str]:
        """All teams."""
        return [entry["name"] for entry in self.teams]


TWO_TEAMS = Deployment(
    teams=(team("red", 32.0, 64.0), team("blue", 32.0, 48.0)),
    objectives=(
        {"kind": "wait", "class": "quick", "within_s": 4.0, "share": 0.9},
        {"kind": "finished", "class": "slow", "within_s": 200.0, "share": 0.9},
        {"kind": "guarantee", "within_s": 5.0, "share": 0.9},
    ),
    machine_types=(MACHINE_TYPE,),
    capacity={(zone, spot): 3 for zone in "abc" for spot in (True, False)},
)

_CRATE = {**MACHINE_TYPE, "name": "crate", "cpus": 64.0, "memory_gb": 128.0, "local_gb": 60.0}

# One team without guarantee or limit, a small state service, a slow cloud, and two types of
# machines, the larger of which one zone doesn't have.
ONE_TEAM = Deployment(
    teams=(team("solo", 0.0, 0.0),),
    objectives=(
        {"kind": "deadline", "class": "quick", "share": 0.9, "times": 1.0},
        {"kind": "wait", "class": "quick", "within_s": 5.0, "share": 0.9},
    ),
    machine_types=(
        {**MACHINE_TYPE, "cpus": 8.0, "price": 0.42, "low_price": 0.16},
        {**_CRATE, "price": 2.51, "low_price": 1.05, "halls": ["a", "c"]},
    ),
    capacity={
        **{("box", zone, spot): 4 if spot else 1 for zone in "abc" for spot in (True, False)},
        **{("crate", zone, spot): 2 if spot else 1 for zone in "ac" for spot in (True, False)},
    },
    kvstore={"rps": 60.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
    cloud_rps=6.0,
    max_connections=900,
)

# Some 4,000 machines, with the limits of the services and of the controllers grown alike.
LARGE = Deployment(
    teams=(team("red", 20_000.0, 0.0), team("blue", 20_000.0, 0.0)),
    objectives=TWO_TEAMS.objectives,
    machine_types=(MACHINE_TYPE,),
    capacity={(zone, spot): 700 for zone in "abc" for spot in (True, False)},
    kvstore={"rps": 2000.0, "write_rps": 200.0, "value_kb": 4.0, "txn_ops": 12},
    cloud_rps=36.0,
    max_connections=10_000,
    heartbeat_interval_s=4.0,
    ordered_links=True,
)

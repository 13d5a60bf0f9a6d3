"""Messages between controllers and the cloud; `rename` maps attributes to the protocol's names."""

from __future__ import annotations

import msgspec

from copperpass.protocol.json_codec import encode

MACHINE_TYPES_PATH = "/machine_types"
INSTANCES_PATH = "/rentals"
RELEASE_PATH = "/rentals/release"


class MachineType(
    msgspec.Struct,
    rename={
        "gpus": "cards",
        "cache_gb": "local_gb",
        "spot_price": "low_price",
        "boot_s": "startup_s",
        "zones": "halls",
    },
):
    """A machine type: the capacity of one machine, its price per hour, its boot time in seconds.

    `spot_price`: price per hour of a spot machine; None if the type has no spot machines.
    `cache_gb`: local disk for images, which are fetched at `fetch_gb_per_s`.
    """

    name: str
    cpus: float
    memory_gb: float
    price: float
    boot_s: float
    zones: list[str]
    gpus: float = 0.0
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0
    spot_price: float | None = None


class MachineTypes(msgspec.Struct, rename={"types": "racks"}):
    """All machine types that the cloud offers."""

    types: list[MachineType]


class ListedMachine(
    msgspec.Struct,
    rename={
        "type": "rack",
        "zone": "hall",
        "spot": "borrowed",
        "state": "status",
        "age_s": "held_s",
    },
):
    """A machine as the cloud lists it; `address` is None while it has none."""

    id: str
    type: str
    zone: str
    spot: bool
    state: str
    address: str | None = None
    age_s: float = 0.0


class MachineList(msgspec.Struct, rename={"machines": "presses", "more": "truncated"}):
    """A page of the cloud's list of machines; with `more`, further pages follow."""

    machines: list[ListedMachine]
    more: bool = False


class InstanceAnswer(msgspec.Struct, rename={"machines": "presses"}):
    """The answer to an instance request: the names of the machines granted."""

    machines: list[str]


def instance_request_body(
    request: str, machine_type: str, zone: str, spot: bool, count: int
) -> bytes:
    """Encode an instance request; repeating it with the same `request` id is idempotent."""
    return encode(
        {"booking": request, "rack": machine_type, "hall": zone, "borrowed": spot, "count": count}
    )


def release_body(names: list[str]) -> bytes:
    """Encode a request to delete machines."""
    return encode({"presses": names})


def machines_path(after: str) -> str:
    """Return the path of the page of machines after the name `after`; "" for the first page."""
    return "/rentals?most=500" + (f"&since={after}" if after else "")

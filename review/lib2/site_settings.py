"""Settings like those of a small deployment: the figures of two sites, with quick boots."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

MEMBERS = ["rotor-0", "rotor-1", "rotor-2"]


@dataclass(frozen=True)
class Site:
    """A deployment: zones, machine type, teams (guaranteed and most CPUs), timings and limits."""

    zones: tuple
    machine_type: dict
    teams: dict
    workers: dict
    state: dict
    cloud: dict
    resources: dict
    objectives: tuple

    @property
    def types(self) -> Any:
        """The machine types by name."""
        return {self.machine_type["name"]: self.machine_type}


SAMACHAR = Site(
    zones=("rajkot-room", "ahmedabad-room", "surat-room"),
    machine_type={
        "name": "madhyam-box",
        "cpus": 16,
        "cards": 0,
        "memory_gb": 128,
        "local_gb": 100,
        "fetch_gb_per_s": 1.0,
        "price": 1.07,
        "low_price": 0.49,
        "startup_s": 30.0,
        "halls": ["rajkot-room", "ahmedabad-room", "surat-room"],
    },
    teams={"desk-team": (144.0, 456.0), "digital-team": (128.0, 384.0)},
    workers={
        "report_s": 1.0,
        "lease_s": 11.0,
        "gang_wait_s": 40.0,
        "gang_peer_s": 5.0,
        "cancel_s": 31.0,
    },
    state={"rps": 200.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 48},
    cloud={"rps": 2.0, "list_lag_s": 10.0},
    resources={"cores": 0.288, "mem_mb": 106.0, "max_connections": 400},
    objectives=(("wait", "edition-pages", 12.0, 0.9),),
)
# After it has grown: its teams are served by one controller each.
SAMACHAR_GROWN = replace(
    SAMACHAR, teams={"desk-team": (800.0, 2500.0), "digital-team": (700.0, 2000.0)}
)
ONDAS = Site(
    zones=("monterrey", "guadalajara", "queretaro"),
    machine_type={
        "name": "caja-grande",
        "cpus": 16,
        "cards": 0,
        "memory_gb": 64,
        "local_gb": 25,
        "fetch_gb_per_s": 0.8,
        "price": 0.68,
        "low_price": 0.24,
        "startup_s": 20.0,
        "halls": ["monterrey", "guadalajara", "queretaro"],
    },
    teams={"equipo-norte": (240.0, 712.0), "equipo-pacifico": (160.0, 392.0)},
    workers={
        "report_s": 2.0,
        "lease_s": 14.0,
        "gang_wait_s": 50.0,
        "gang_peer_s": 6.0,
        "cancel_s": 44.0,
    },
    state={"rps": 200.0, "write_rps": 20.0, "value_kb": 32.0, "txn_ops": 16},
    cloud={"rps": 8.0, "list_lag_s": 5.0},
    resources={"cores": 0.432, "mem_mb": 146.0, "max_connections": 1000},
    objectives=(
        ("finished", "transcodificar", 150.0, 0.93),
        ("wait", "estreno", 2.0, 0.94),
        ("wait", "estreno", 12.0, 0.96),
        ("finished", "estreno", 80.0, 0.94),
        ("wait", "anuncios", 4.0, 0.9),
        ("finished", "anuncios", 70.0, 0.95),
        ("guarantee", None, 5.0, 0.95),
    ),
)


def settings_text(
    site: Any,
    member: str,
    addresses: tuple[str, str],
    peers: dict[str, str],
    external: tuple[str, str],
) -> Any:
    """Return a controller's settings file.

    `addresses`: its two own addresses. `peers`: by name, the address at which it reaches each
    other controller. `external`: the addresses of the cloud and of the state service.
    """
    lines = [
        f'member = "{member}"',
        f'domain = "{site.zones[MEMBERS.index(member)]}"',
        f'serve_on = "{addresses[0]}"',
        f'internal_addr = "{addresses[1]}"',
    ]
    for name, address in peers.items():
        lines += [
            "[[members]]",
            f'member = "{name}"',
            f'domain = "{site.zones[MEMBERS.index(name)]}"',
            f'addr = "{address}"',
        ]
    lines += ["[external]", f'cloud = "{external[0]}"', f'state = "{external[1]}"']
    zones = ", ".join(f'"{zone}"' for zone in sorted(site.zones))
    lines += ["[settings]", "initial_size = 3", f"zones = [{zones}]", "clock_error_ms = 1000.0"]
    for name, (cpus, most) in site.teams.items():
        lines += ["[[settings.teams]]", f'name = "{name}"', f"cpus = {cpus}", f"cpus_max = {most}"]
        lines += ["gpus = 0.0", "gpus_max = 0.0"]
    for kind, slot, within_s, share in site.objectives:
        lines += ["[[settings.objectives]]", f'kind = "{kind}"']
        lines += [f'class = "{slot}"'] if slot else []
        lines += [f"within_s = {within_s}", f"share = {share}"]
    for table in ("workers", "state", "cloud", "resources"):
        lines += [f"[settings.{table}]"]
        lines += [f"{name} = {value}" for name, value in getattr(site, table).items()]
    return "\n".join(lines) + "\n"

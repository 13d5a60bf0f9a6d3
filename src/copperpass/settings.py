"""The settings file that the platform hands over, checked on the way in.

Unknown fields are ignored; a missing or wrong one ends the start with one line
that names it. The file's words are mapped to the project's own here.
"""

from __future__ import annotations

import math
import tomllib
from typing import Any

import msgspec

from copperpass.errors import SettingsError


class Member(msgspec.Struct, rename={"name": "member", "zone": "domain", "address": "addr"}):
    """Another controller."""

    name: str
    zone: str
    address: str


def _limit(most: float) -> float:
    """A limit as written in the settings: 0 means that there is none."""
    return most if most > 0 else math.inf


class ServiceAddresses(msgspec.Struct):
    """Addresses of the outside systems."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team's guarantee and limit, as written; an amount of 0 stands for none.

    Code asks for `cpus_limit` and `gpus_limit`: infinite for a team without a limit.
    """

    name: str
    cpus: float
    cpus_max: float
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def cpus_limit(self) -> float:
        """The most CPUs that the team's tasks may use at a time."""
        return _limit(self.cpus_max)

    @property
    def gpus_limit(self) -> float:
        """The most GPUs that the team's tasks may use at a time."""
        return _limit(self.gpus_max)


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    """One aim that the users state."""

    kind: str
    job_class: str | None = None
    within_s: float | None = None
    within_ms: float | None = None
    share: float | None = None


class WorkerTimings(
    msgspec.Struct,
    rename={"heartbeat_interval_s": "report_s", "cancel_deadline_s": "cancel_s"},
):
    """Figures of the workers' protocol."""

    heartbeat_interval_s: float
    lease_s: float
    cancel_deadline_s: float
    # How long a gang's task waits for the others, and how soon it notices that one is gone.
    gang_wait_s: float | None = None
    gang_peer_s: float | None = None

    @property
    def gang_stop_deadline_s(self) -> float:
        """Within what time all tasks of a gang must be told to stop; some, where it isn't said."""
        return self.gang_peer_s if self.gang_peer_s is not None else self.lease_s / 3


class NextStateServiceLimits(msgspec.Struct):
    """Limits that the state service will have from some moment after an upgrade."""

    write_rps: float
    value_kb: float
    txn_ops: int


class StateServiceLimits(msgspec.Struct):
    """Limits of the state service: those of now and, where they are to change, the next."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStateServiceLimits | None = None

    @property
    def least_write_rps(self) -> float:
        """Changes a second that are allowed now and after the limits have dropped."""
        return min(self.write_rps, self.next.write_rps) if self.next else self.write_rps

    @property
    def least_value_bytes(self) -> float:
        """The size of a value that is allowed now and after the limits have dropped."""
        least = min(self.value_kb, self.next.value_kb) if self.next else self.value_kb
        return least * 1024

    @property
    def least_txn_ops(self) -> int:
        """Changes a transaction that are allowed now and after the limits have dropped."""
        return min(self.txn_ops, self.next.txn_ops) if self.next else self.txn_ops


class CloudLimits(msgspec.Struct):
    """Limits of the cloud."""

    rps: float
    list_lag_s: float


class Resources(msgspec.Struct, rename={"memory_mb": "mem_mb"}):
    """What this process may use."""

    cores: float = 1.0
    memory_mb: float = 512.0
    max_connections: int = 1000


class Cluster(msgspec.Struct):
    """What all controllers share."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerTimings
    state: StateServiceLimits
    cloud: CloudLimits
    objectives: list[Objective] = msgspec.field(default_factory=list)
    resources: Resources = msgspec.field(default_factory=Resources)
    clock_error_ms: float = 0.0

    @property
    def max_writes_per_cancel_deadline(self) -> int:
        """The most changes that can be stored within the time that a cancellation has."""
        return int(self.state.write_rps * self.workers.cancel_deadline_s) + 1

    @property
    def has_gpu_quotas(self) -> bool:
        """Whether any team has GPUs: then they are the second resource, else memory is."""
        return any(t.gpus > 0 or t.gpus_max > 0 for t in self.teams)


class Settings(
    msgspec.Struct,
    rename={
        "name": "member",
        "zone": "domain",
        "listen": "serve_on",
        "peer_listen": "internal_addr",
        "services": "external",
        "cluster": "settings",
    },
):
    """One controller's settings."""

    name: str
    zone: str
    listen: str
    peer_listen: str
    services: ServiceAddresses
    cluster: Cluster
    members: list[Member] = msgspec.field(default_factory=list)


def split_address(value: str, field: str) -> tuple[str, int]:
    """Split `host:port`, naming the field when it is wrong."""
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: expected host:port, got {value!r}")
    return host, int(port)


def _check(settings: Settings) -> None:
    _check_addresses(settings)
    _check_limits(settings.cluster)
    _check_teams(settings.cluster)
    workers = settings.cluster.workers
    if workers.lease_s < 3 * workers.heartbeat_interval_s:
        raise SettingsError("settings.workers.lease_s: must be at least 3 times report_s")


def _check_addresses(settings: Settings) -> None:
    split_address(settings.listen, "serve_on")
    split_address(settings.peer_listen, "internal_addr")
    split_address(settings.services.cloud, "external.cloud")
    split_address(settings.services.state, "external.state")
    for member in settings.members:
        split_address(member.address, f"members.{member.name}.addr")


def _check_limits(cluster: Cluster) -> None:
    positive = {
        "settings.workers.report_s": cluster.workers.heartbeat_interval_s,
        "settings.workers.lease_s": cluster.workers.lease_s,
        "settings.workers.cancel_s": cluster.workers.cancel_deadline_s,
        "settings.state.rps": cluster.state.rps,
        "settings.state.write_rps": cluster.state.write_rps,
        "settings.state.value_kb": cluster.state.value_kb,
        "settings.cloud.rps": cluster.cloud.rps,
    }
    coming = cluster.state.next
    if coming is not None:
        positive["settings.state.next.write_rps"] = coming.write_rps
        positive["settings.state.next.value_kb"] = coming.value_kb
    for field, number in positive.items():
        if not number > 0:
            raise SettingsError(f"{field}: must be above 0, got {number}")
    for field, length in (
        ("gang_wait_s", cluster.workers.gang_wait_s),
        ("gang_peer_s", cluster.workers.gang_peer_s),
    ):
        if length is not None and not length > 0:
            raise SettingsError(f"settings.workers.{field}: must be above 0, got {length}")
    if cluster.state.txn_ops < 4:
        raise SettingsError("settings.state.txn_ops: must be at least 4")
    if coming is not None and coming.txn_ops < 4:
        raise SettingsError("settings.state.next.txn_ops: must be at least 4")


def _check_teams(cluster: Cluster) -> None:
    if not cluster.teams:
        raise SettingsError("settings.teams: at least one team is needed")
    if len({team.name for team in cluster.teams}) != len(cluster.teams):
        raise SettingsError("settings.teams: names must differ")
    for team in cluster.teams:
        if min(team.cpus, team.cpus_max, team.gpus, team.gpus_max) < 0:
            raise SettingsError(f"settings.teams.{team.name}: amounts must not be negative")


def parse(raw: dict[str, Any]) -> Settings:
    """Check a settings document."""
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    _check(settings)
    return settings


def load(path: str) -> Settings:
    """Read and check a settings file."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    return parse(raw)

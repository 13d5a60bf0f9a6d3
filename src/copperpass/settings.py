"""The platform's settings file: its types, how it is read, and what is checked.

Attributes have the project's names. `rename` maps them to the file's names, which errors use too.
Unknown fields are ignored. A missing or invalid one raises `SettingsError` with one line that names
it. Units are in the names: `_s` seconds, `_ms` milliseconds, `_mb` and `_kb` 1024-based, `rps`
requests a second.
"""

from __future__ import annotations

import math
import tomllib

import msgspec

from copperpass.errors import SettingsError


class Member(msgspec.Struct, rename={"name": "member", "zone": "domain", "address": "addr"}):
    """Another controller: its name, its zone, and the `host:port` on which it takes frames."""

    name: str
    zone: str
    address: str


def _limit(written: float) -> float:
    """A limit as written in the settings: 0 means that there is none."""
    return written if written > 0 else math.inf


class ServiceAddresses(msgspec.Struct):
    """Addresses (`host:port`) of the external systems."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team's quota: guaranteed amounts and limits, as written; a limit of 0 stands for no limit.

    Code reads `cpus_limit` and `gpus_limit` instead of `cpus_max` and `gpus_max`.
    """

    name: str
    cpus: float
    cpus_max: float
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def cpus_limit(self) -> float:
        """The most CPUs that the team's tasks may use at a time; infinite without a limit."""
        return _limit(self.cpus_max)

    @property
    def gpus_limit(self) -> float:
        """The most GPUs that the team's tasks may use at a time; infinite without a limit."""
        return _limit(self.gpus_max)


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    """A service-level objective: `share` of the jobs of a class within a duration.

    `kind` says what is measured (`wait`, `finished`, `guarantee`); other kinds are ignored.
    """

    kind: str
    job_class: str | None = None
    within_s: float | None = None
    within_ms: float | None = None
    share: float | None = None


class WorkerTimings(
    msgspec.Struct,
    rename={"heartbeat_interval_s": "report_s", "cancel_deadline_s": "cancel_s"},
):
    """Timings of the workers' protocol.

    `heartbeat_interval_s`: between two heartbeats of a worker.
    `lease_s`: how long a worker runs tasks after its lease was last renewed.
    `cancel_deadline_s`: within what time a cancelled job's tasks have stopped.
    `gang_wait_s`: how long a gang's task waits for the others of its gang.
    `gang_peer_s`: how soon it notices that one of them is gone.
    """

    heartbeat_interval_s: float
    lease_s: float
    cancel_deadline_s: float
    gang_wait_s: float | None = None
    gang_peer_s: float | None = None

    @property
    def gang_stop_deadline_s(self) -> float:
        """Within what time every task of a gang must get its stop; by default lease_s / 3."""
        return self.gang_peer_s if self.gang_peer_s is not None else self.lease_s / 3


class NextStateServiceLimits(msgspec.Struct):
    """Limits that the state service will have at some time after an upgrade."""

    write_rps: float
    value_kb: float
    txn_ops: int


class StateServiceLimits(msgspec.Struct):
    """Limits of the state service, and those that follow if they are about to change.

    When they change is not known, so code that must hold before and after reads `least_...`.
    `rps` and `write_rps` are requests and writes a second, `value_kb` the size of a value,
    `txn_ops` the writes in a transaction.
    """

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStateServiceLimits | None = None

    @property
    def least_write_rps(self) -> float:
        """Writes a second that are allowed both now and after the change of limits."""
        return min(self.write_rps, self.next.write_rps) if self.next else self.write_rps

    @property
    def least_value_bytes(self) -> float:
        """The size of a value, in bytes, that is allowed now and after the change of limits."""
        least = min(self.value_kb, self.next.value_kb) if self.next else self.value_kb
        return least * 1024

    @property
    def least_txn_ops(self) -> int:
        """Writes in a transaction that are allowed both now and after the change of limits."""
        return min(self.txn_ops, self.next.txn_ops) if self.next else self.txn_ops


class CloudLimits(msgspec.Struct):
    """Limits of the cloud's API.

    `rps`: requests a second. `list_lag_s`: by how much a listing may be out of date.
    """

    rps: float
    list_lag_s: float


class Resources(msgspec.Struct, rename={"memory_mb": "mem_mb"}):
    """What this process may use: CPU cores, memory and open connections."""

    cores: float = 1.0
    memory_mb: float = 512.0
    max_connections: int = 1000


class Cluster(msgspec.Struct):
    """The settings that are the same on every controller."""

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
        """The most writes that the state service takes within the deadline of a cancellation."""
        return int(self.state.write_rps * self.workers.cancel_deadline_s) + 1

    @property
    def has_gpu_quotas(self) -> bool:
        """Whether any team has a GPU quota: then GPUs are the second resource, else memory is."""
        return any(team.gpus > 0 or team.gpus_max > 0 for team in self.teams)


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
    """One controller's settings.

    `listen`: `host:port` for users, workers and the load balancer; `peer_listen`: for frames of
    `members`, the other controllers.
    """

    name: str
    zone: str
    listen: str
    peer_listen: str
    services: ServiceAddresses
    cluster: Cluster
    members: list[Member] = msgspec.field(default_factory=list)


def split_address(value: str, field: str) -> tuple[str, int]:
    """Split `host:port`; raises `SettingsError`, naming `field`, if it is something else."""
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: expected host:port, got {value!r}")
    return host, int(port)


def _check(settings: Settings) -> None:
    """Raise `SettingsError` for the first value that can't be used."""
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
    next_limits = cluster.state.next
    if next_limits is not None:
        positive["settings.state.next.write_rps"] = next_limits.write_rps
        positive["settings.state.next.value_kb"] = next_limits.value_kb
    for field, number in positive.items():
        # NaN fails this comparison too.
        if not number > 0:
            raise SettingsError(f"{field}: must be above 0, got {number}")
    for field, duration_s in (
        ("gang_wait_s", cluster.workers.gang_wait_s),
        ("gang_peer_s", cluster.workers.gang_peer_s),
    ):
        if duration_s is not None and not duration_s > 0:
            raise SettingsError(f"settings.workers.{field}: must be above 0, got {duration_s}")
    if cluster.state.txn_ops < 4:
        raise SettingsError("settings.state.txn_ops: must be at least 4")
    if next_limits is not None and next_limits.txn_ops < 4:
        raise SettingsError("settings.state.next.txn_ops: must be at least 4")


def _check_teams(cluster: Cluster) -> None:
    if not cluster.teams:
        raise SettingsError("settings.teams: at least one team is needed")
    if len({team.name for team in cluster.teams}) != len(cluster.teams):
        raise SettingsError("settings.teams: names must differ")
    for team in cluster.teams:
        if min(team.cpus, team.cpus_max, team.gpus, team.gpus_max) < 0:
            raise SettingsError(f"settings.teams.{team.name}: amounts must not be negative")


def parse(raw: dict[str, object]) -> Settings:
    """Convert and check a settings document; raises `SettingsError`."""
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    _check(settings)
    return settings


def load(path: str) -> Settings:
    """Read and check a settings file (TOML); raises `SettingsError`, also if it can't be read."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    return parse(raw)

"""The settings file that the platform writes: types, decoding and validation.

`rename` maps attributes to the names in the file, which error messages use too. Unknown fields are
ignored. A missing or invalid field raises `SettingsError` with one line that names it. Units are in
the names: `_s` seconds, `_ms` milliseconds, `_mb` and `_kb` 1024-based, `rps` requests per second.
"""

from __future__ import annotations

import math
import tomllib

import msgspec

from copperpass.errors import SettingsError


class Member(msgspec.Struct, rename={"name": "member", "zone": "domain", "address": "addr"}):
    """Another controller: its name, its zone, and the `host:port` on which it accepts frames."""

    name: str
    zone: str
    address: str


def _limit(configured: float) -> float:
    """Return the effective limit: infinite if the configured one is 0."""
    return configured if configured > 0 else math.inf


class ServiceAddresses(msgspec.Struct):
    """Addresses (`host:port`) of the external systems."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team's quota: guaranteed amounts and limits; a configured limit of 0 means no limit.

    Other code reads `cpus_limit` and `gpus_limit` instead of `cpus_max` and `gpus_max`.
    """

    name: str
    cpus: float
    cpus_max: float
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def cpus_limit(self) -> float:
        """The most CPUs that the team's tasks may use concurrently; infinite without a limit."""
        return _limit(self.cpus_max)

    @property
    def gpus_limit(self) -> float:
        """The most GPUs that the team's tasks may use concurrently; infinite without a limit."""
        return _limit(self.gpus_max)


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    """A service-level objective: a `share` of the jobs of a class must meet a duration.

    `kind` names the measure: `wait`, `finished` or `guarantee`. Other kinds are ignored.
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
    """Timings of the worker protocol.

    `heartbeat_interval_s`: time between two heartbeats of a worker.
    `lease_s`: how long a worker runs tasks after the last renewal of its lease.
    `cancel_deadline_s`: time within which the tasks of a cancelled job must have stopped.
    `gang_wait_s`: how long a task of a gang waits for the other tasks.
    `gang_peer_s`: time within which a task of a gang detects that another one is gone.
    """

    heartbeat_interval_s: float
    lease_s: float
    cancel_deadline_s: float
    gang_wait_s: float | None = None
    gang_peer_s: float | None = None

    @property
    def gang_stop_deadline_s(self) -> float:
        """Time within which every task of a gang must receive its stop; by default lease_s / 3."""
        return self.gang_peer_s if self.gang_peer_s is not None else self.lease_s / 3


class NextStateServiceLimits(msgspec.Struct):
    """Limits that the state service will have from some time after an upgrade on."""

    write_rps: float
    value_kb: float
    txn_ops: int


class StateServiceLimits(msgspec.Struct):
    """Limits of the state service; `next` holds the future ones if they are about to change.

    The time of the change is unknown, so code that must comply before and after it reads the
    `least_...` properties. `rps` and `write_rps`: requests and writes per second. `value_kb`: size
    of a value. `txn_ops`: writes in a transaction.
    """

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStateServiceLimits | None = None

    @property
    def least_write_rps(self) -> float:
        """Writes per second that are allowed both now and after the change of limits."""
        return min(self.write_rps, self.next.write_rps) if self.next else self.write_rps

    @property
    def least_value_bytes(self) -> float:
        """The size of a value in bytes that is allowed both now and after the change of limits."""
        least_kb = min(self.value_kb, self.next.value_kb) if self.next else self.value_kb
        return least_kb * 1024

    @property
    def least_txn_ops(self) -> int:
        """Writes in a transaction that are allowed both now and after the change of limits."""
        return min(self.txn_ops, self.next.txn_ops) if self.next else self.txn_ops


class CloudLimits(msgspec.Struct):
    """Limits of the cloud's API.

    `rps`: requests per second. `list_lag_s`: by how many seconds a listing may be stale.
    """

    rps: float
    list_lag_s: float


class Resources(msgspec.Struct, rename={"memory_mb": "mem_mb"}):
    """What this process may use: CPU cores, memory and open connections."""

    cores: float = 1.0
    memory_mb: float = 512.0
    max_connections: int = 1000


class Cluster(msgspec.Struct):
    """The settings that are identical on every controller."""

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
        """The most writes that the state service accepts within the deadline of a cancellation."""
        return int(self.state.write_rps * self.workers.cancel_deadline_s) + 1

    @property
    def has_gpu_quotas(self) -> bool:
        """Whether any team has a GPU quota: the second resource is then GPUs, otherwise memory."""
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
    """Split `host:port`; raises `SettingsError` that names `field` if it is malformed."""
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise SettingsError(
            f"{field}: expected host:port with a port from 1 to 65535, got {value!r}"
        )
    return host, int(port)


def _check(settings: Settings) -> None:
    """Raise `SettingsError` for the first invalid value."""
    _check_addresses(settings)
    _check_limits(settings.cluster)
    _check_teams(settings.cluster)
    workers = settings.cluster.workers
    if workers.lease_s < 3 * workers.heartbeat_interval_s:
        raise SettingsError(
            "settings.workers.lease_s: must be at least 3 times report_s"
            f" ({workers.heartbeat_interval_s}), got {workers.lease_s}"
        )


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
        # Also rejects NaN, which a comparison with <= would accept.
        if not number > 0:
            raise SettingsError(f"{field}: must be above 0, got {number}")
    for field, duration_s in (
        ("gang_wait_s", cluster.workers.gang_wait_s),
        ("gang_peer_s", cluster.workers.gang_peer_s),
    ):
        if duration_s is not None and not duration_s > 0:
            raise SettingsError(f"settings.workers.{field}: must be above 0, got {duration_s}")
    if cluster.state.txn_ops < 4:
        raise SettingsError(
            f"settings.state.txn_ops: must be at least 4, got {cluster.state.txn_ops}"
        )
    if next_limits is not None and next_limits.txn_ops < 4:
        raise SettingsError(
            f"settings.state.next.txn_ops: must be at least 4, got {next_limits.txn_ops}"
        )


def _check_teams(cluster: Cluster) -> None:
    if not cluster.teams:
        raise SettingsError("settings.teams: must have at least one team, got none")
    if len({team.name for team in cluster.teams}) != len(cluster.teams):
        raise SettingsError(
            f"settings.teams: names must differ, got {[team.name for team in cluster.teams]}"
        )
    for team in cluster.teams:
        if min(team.cpus, team.cpus_max, team.gpus, team.gpus_max) < 0:
            raise SettingsError(
                f"settings.teams.{team.name}: amounts must not be negative, got cpus {team.cpus},"
                f" cpus_max {team.cpus_max}, gpus {team.gpus}, gpus_max {team.gpus_max}"
            )


def parse(raw: dict[str, object]) -> Settings:
    """Decode and validate a parsed settings file; raises `SettingsError`."""
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from error
    _check(settings)
    return settings


def load(path: str) -> Settings:
    """Read and validate a settings file; raises `SettingsError`, also for I/O and TOML errors."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    return parse(raw)

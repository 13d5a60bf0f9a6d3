"""Machines of a shard: their state, and the capacity that the tasks on them use."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from copperpass.core.scheduling.bin_packing.feasibility import fits_within
from copperpass.core.scheduling.placements import UNIDENTIFIED, Placement, PlacementKey
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.frames.messages import MachineStatus
from copperpass.protocol.users import JobSpec

# The rate at which a machine type that declares none is assumed to fetch images.
MIN_FETCH_GB_PER_S = 1e-3
NO_PRIORITY = 99


@dataclass(slots=True)
class Machine:
    """A provisioned machine; moments are of the steady clock, in seconds."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    # The lowest fencing token of this assignment; `token` is raised above it when needed.
    base_token: int = 0
    address: str = ""
    token: int = 0
    agent_epoch: int = 0
    sequence: int = 0
    recorded: bool = False
    reconciled: bool = False
    # Tasks of another shard are here.
    holds_other_shard: bool = False
    # To be released to the leader as soon as it is empty.
    draining: bool = False
    # Since when commands may not arrive, and the token that proves contact again.
    unreachable_since: float | None = None
    probe_token: int = 0
    relayed_until: float = float("-inf")
    registered: bool = False
    registered_at: float = 0.0
    last_heartbeat_at: float = float("-inf")
    # The same, with answers to direct commands: a machine that reaches no controller has only them.
    last_message_at: float = float("-inf")
    last_answer_at: float = float("-inf")
    notice_until: float | None = None
    failed: bool = False
    # The leader is asked to delete it.
    deletion_requested: bool = False
    quarantined: bool = False
    idle_since: float = 0.0
    backoff_until: float = 0.0
    reserved_for_job: str = ""
    reserved_until: float = 0.0
    # When all capacity that is reserved for a gang will be free, if it is reserved for one.
    reservation_ready_at: float = 0.0
    # Until when it isn't idle, since a gang needs its capacity.
    retain_until: float = 0.0
    command_in_flight: bool = False
    command_backoff_until: float = 0.0
    failed_jobs: set[str] = field(default_factory=set)
    tasks: dict[PlacementKey, Placement] = field(default_factory=dict)
    pending_starts: list[Placement] = field(default_factory=list)
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # What the active tasks use, added up by `recount` whenever they have changed: in all, and by
    # team; the lowest priority among them; whether one is of an unidentified job.
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory: float = 0.0
    by_team: dict[str, tuple[float, float]] = field(default_factory=dict)
    lowest_priority: int = NO_PRIORITY
    holds_unidentified: bool = False
    # Tasks were added or have ended since the last recount.
    usage_stale: bool = False
    # The last status sent to the leader, and its agent epoch.
    last_status: MachineStatus | None = None
    last_status_epoch: int = 0
    # When to probe it again, while it is unreconciled.
    next_probe_at: float = 0.0

    @property
    def last_contact_at(self) -> float:
        """When messages last arrived in both directions, as far as is known."""
        return self.last_heartbeat_at if self.unreachable_since is None else self.unreachable_since

    def empty(self) -> bool:
        """Whether it certainly has no task, and no command is in flight."""
        return not (self.tasks or self.pending_starts or self.command_in_flight)

    def recount(self) -> None:
        """Add up what the active tasks use."""
        cpus = gpus = memory = 0.0
        by_team: dict[str, tuple[float, float]] = {}
        lowest, unidentified = NO_PRIORITY, False
        for placement in self.tasks.values():
            if not placement.active:
                continue
            cpus += placement.cpus
            gpus += placement.gpus
            memory += placement.memory_gb
            before = by_team.get(placement.team, (0.0, 0.0))
            by_team[placement.team] = (before[0] + placement.cpus, before[1] + placement.gpus)
            lowest = min(lowest, placement.priority)
            unidentified = unidentified or placement.team == UNIDENTIFIED
        self.used_cpus, self.used_gpus, self.used_memory = cpus, gpus, memory
        self.by_team, self.lowest_priority, self.holds_unidentified = by_team, lowest, unidentified
        self.usage_stale = False

    def free_capacity(self) -> tuple[float, float, float]:
        """Free CPUs, GPUs and memory."""
        return (
            self.type.cpus - self.used_cpus,
            self.type.gpus - self.used_gpus,
            self.type.memory_gb - self.used_memory,
        )

    def has_capacity(self, spec: JobSpec) -> bool:
        """Whether a task fits now."""
        kind = self.type
        return (
            fits_within(spec.cpus, kind.cpus - self.used_cpus)
            and fits_within(spec.memory_gb, kind.memory_gb - self.used_memory)
            and fits_within(spec.gpus, kind.gpus - self.used_gpus)
        )

    def fetch_s(self, spec: JobSpec) -> float:
        """Seconds until the machine has a job's image."""
        if spec.image in self.images:
            return 0.0
        return spec.image_gb / max(self.type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)

    def touch_image(self, image: str, size_gb: float) -> None:
        """Record that the machine has, or will have, an image; evict the least recently used."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        total = sum(self.images.values())
        while len(self.images) > 1 and total > max(self.type.cache_gb, size_gb):
            _, evicted_gb = self.images.popitem(last=False)
            total -= evicted_gb

    def is_reserved_for_other(self, job_id: str, now: float) -> bool:
        """Whether the free capacity is reserved for another job."""
        return now < self.reserved_until and self.reserved_for_job != job_id

    def usable(self, now: float, heartbeat_timeout_s: float) -> bool:
        """Whether tasks may be started here."""
        return (
            self.registered
            and self.recorded
            and self.reconciled
            and self.unreachable_since is None
            and not self.deletion_requested
            and not self.draining
            and not self.holds_other_shard
            and not self.quarantined
            and not self.failed
            and self.notice_until is None
            and now >= self.backoff_until
            and now - self.last_heartbeat_at <= heartbeat_timeout_s
        )

"""Machines of a shard: their state, and the capacity that their tasks use."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from copperpass.core.scheduling.bin_packing.feasibility import (
    SMALL_TASK_SLOTS,
    fits_within,
    usable_slots,
)
from copperpass.core.scheduling.placements import UNIDENTIFIED, Placement, PlacementKey
from copperpass.protocol.cloud import MachineType
from copperpass.protocol.frames.messages import MachineStatus
from copperpass.protocol.users import JobSpec
from copperpass.protocol.workers import MAX_TASKS_PER_MACHINE, StatusPosition

# Assumed image fetch rate of a machine type that declares none.
MIN_FETCH_GB_PER_S = 1e-3
# Lowest priority of a machine without active tasks: above every priority level.
NO_PRIORITY = 99


@dataclass(slots=True)
class Machine:
    """A provisioned machine; times are seconds of the monotonic clock."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    # Lowest fencing token of this machine's assignment; `token` is raised above it when needed.
    base_token: int = 0
    address: str = ""
    token: int = 0
    agent_epoch: int = 0
    sequence: int = 0
    # The highest token in the statuses of the agent epoch.
    shown_token: int = 0
    # Raised for a probe of an agent that may have restarted within its epoch; 0 without suspicion.
    restart_probe_token: int = 0
    # The epoch to probe, if it is not the known one; else 0.
    probe_epoch: int = 0
    # Heartbeats with a lower token are those of an agent that has restarted since.
    restart_token: int = 0
    recorded: bool = False
    reconciled: bool = False
    # The machine has tasks of another shard.
    holds_other_shard: bool = False
    # The machine is to be released to the leader as soon as it is empty.
    draining: bool = False
    # The time since which commands may not arrive; None if they arrive. A worker that reports
    # `probe_token` or a higher token proves that they arrive again.
    unreachable_since: float | None = None
    probe_token: int = 0
    relayed_until: float = float("-inf")
    registered: bool = False
    registered_at: float = 0.0
    last_heartbeat_at: float = float("-inf")
    # As above, but answers to direct commands count too: a machine that can't reach any controller
    # sends nothing else.
    last_message_at: float = float("-inf")
    last_answer_at: float = float("-inf")
    interruption_at: float | None = None
    failed: bool = False
    # The leader has been asked to delete the machine.
    deletion_requested: bool = False
    quarantined: bool = False
    idle_since: float = 0.0
    backoff_until: float = 0.0
    reserved_for_job: str = ""
    reserved_until: float = 0.0
    # When all capacity reserved for a gang will be free, if the machine is reserved for one.
    reservation_ready_at: float = 0.0
    # The machine doesn't count as idle until this time, because a gang needs its capacity.
    retain_until: float = 0.0
    command_in_flight: bool = False
    command_backoff_until: float = 0.0
    failed_jobs: set[str] = field(default_factory=set)
    tasks: dict[PlacementKey, Placement] = field(default_factory=dict)
    pending_starts: dict[PlacementKey, Placement] = field(default_factory=dict)
    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # Totals that `recount` computes from the active tasks whenever these have changed: their usage,
    # also by team (CPUs, GPUs); their lowest priority; whether one belongs to an unidentified job.
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory_gb: float = 0.0
    usage_by_team: dict[str, tuple[float, float]] = field(default_factory=dict)
    lowest_priority: int = NO_PRIORITY
    holds_unidentified: bool = False
    # Tasks have been added or have ended since the last `recount`.
    usage_stale: bool = False
    # The last status sent to the leader, and its agent epoch.
    last_status: MachineStatus | None = None
    last_status_agent_epoch: int = 0
    # When to send the next probe, while the machine is unreconciled.
    next_probe_at: float = 0.0

    @property
    def position(self) -> StatusPosition:
        """The place of the machine's last status among its statuses."""
        return StatusPosition(self.agent_epoch, self.sequence)

    @property
    def last_contact_at(self) -> float:
        """When messages are last known to have arrived in both directions."""
        return self.last_heartbeat_at if self.unreachable_since is None else self.unreachable_since

    def is_empty(self) -> bool:
        """Whether the machine certainly has no task, and no command is in flight."""
        return not (self.tasks or self.pending_starts or self.command_in_flight)

    def free_slots(self) -> int:
        """Return how many more tasks its heartbeats and commands have room for."""
        return MAX_TASKS_PER_MACHINE - len(self.tasks)

    def usable_slots(self, spec: JobSpec) -> int:
        """Return how many of the free slots a job's tasks may take."""
        return usable_slots(spec, self.type, self.free_slots())

    def add_usage(self, placement: Placement) -> None:
        """Add a task that has just been added as the last one to the usage totals.

        The sums are those that `recount` would compute, so both may be mixed.
        """
        self.used_cpus += placement.cpus
        self.used_gpus += placement.gpus
        self.used_memory_gb += placement.memory_gb
        cpus, gpus = self.usage_by_team.get(placement.team, (0.0, 0.0))
        self.usage_by_team[placement.team] = (cpus + placement.cpus, gpus + placement.gpus)
        self.lowest_priority = min(self.lowest_priority, placement.priority)

    def recount(self) -> None:
        """Recompute the usage totals from the active tasks."""
        cpus = gpus = memory = 0.0
        usage_by_team: dict[str, tuple[float, float]] = {}
        lowest, unidentified = NO_PRIORITY, False
        for placement in self.tasks.values():
            if not placement.active:
                continue
            cpus += placement.cpus
            gpus += placement.gpus
            memory += placement.memory_gb
            team_usage = usage_by_team.get(placement.team, (0.0, 0.0))
            usage_by_team[placement.team] = (
                team_usage[0] + placement.cpus,
                team_usage[1] + placement.gpus,
            )
            lowest = min(lowest, placement.priority)
            unidentified = unidentified or placement.team == UNIDENTIFIED
        self.used_cpus, self.used_gpus, self.used_memory_gb = cpus, gpus, memory
        self.usage_by_team, self.lowest_priority, self.holds_unidentified = (
            usage_by_team,
            lowest,
            unidentified,
        )
        self.usage_stale = False

    def free_capacity(self) -> tuple[float, float, float]:
        """Return the free CPUs, GPUs and GB of memory."""
        return (
            self.type.cpus - self.used_cpus,
            self.type.gpus - self.used_gpus,
            self.type.memory_gb - self.used_memory_gb,
        )

    def has_capacity(self, spec: JobSpec) -> bool:
        """Whether a task of the job fits into the capacity that is free now."""
        machine_type = self.type
        return (
            # Small tasks matter only on a machine with many tasks.
            (len(self.tasks) < SMALL_TASK_SLOTS or self.usable_slots(spec) > 0)
            and fits_within(spec.cpus, machine_type.cpus - self.used_cpus)
            and fits_within(spec.memory_gb, machine_type.memory_gb - self.used_memory_gb)
            and fits_within(spec.gpus, machine_type.gpus - self.used_gpus)
        )

    def fetch_s(self, spec: JobSpec) -> float:
        """Estimate the seconds until the machine has a job's image; 0 if it is cached."""
        if spec.image in self.images:
            return 0.0
        return spec.image_gb / max(self.type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)

    def touch_image(self, image: str, size_gb: float) -> None:
        """Record that the machine caches an image, or will; evict the least recently used ones."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        total = sum(self.images.values())
        while len(self.images) > 1 and total > max(self.type.cache_gb, size_gb):
            _, evicted_gb = self.images.popitem(last=False)
            total -= evicted_gb

    def is_reserved_for_other(self, job_id: str, now: float) -> bool:
        """Whether the free capacity is reserved for another job."""
        return now < self.reserved_until and self.reserved_for_job != job_id

    def is_usable(self, now: float, heartbeat_timeout_s: float) -> bool:
        """Whether tasks may be started on the machine."""
        return (
            self.registered
            and self.recorded
            and self.reconciled
            and self.unreachable_since is None
            and not self.restart_probe_token
            and not self.deletion_requested
            and not self.draining
            and not self.holds_other_shard
            and not self.quarantined
            and not self.failed
            and self.interruption_at is None
            and now >= self.backoff_until
            and now - self.last_heartbeat_at <= heartbeat_timeout_s
        )

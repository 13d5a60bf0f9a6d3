"""Dispatches watch events by key or key prefix to the component that keeps the record."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from copperpass.core.api.user_api import UserApi
from copperpass.core.autoscaling.machine_types import MachineTypeCatalog
from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.jobs.job_table import JobTable
from copperpass.core.kvstore.keys import (
    COMPLETIONS_PREFIX,
    FENCING_TOKEN_KEY,
    INVENTORY_KEY,
    INVENTORY_PAGES_PREFIX,
    LEADER_KEY,
    LIVE_JOBS_PREFIX,
    MACHINE_TYPES_KEY,
    WATCHED_PREFIX,
)
from copperpass.core.node.leadership import Leadership
from copperpass.core.shards.grant_client import GrantClient
from copperpass.core.storage.cached_inventory import CachedInventory

# Called with the time, the key, its value (None if deleted) and the version of the event.
Handler = Callable[[float, str, bytes | None, int], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchTargets:
    """The components that keep stored records.

    `completion_versions` holds the version of each key of completions, 0 for a deleted one; it is
    shared with the schedulers.
    """

    election: LeaderElection
    machine_types: MachineTypeCatalog
    jobs: JobTable
    completion_versions: dict[str, int]
    inventory: CachedInventory
    user_api: UserApi
    grant_client: GrantClient
    leadership: Leadership


class WatchRouter:
    """Dispatches each event; ignores keys without a handler, which other versions may write."""

    def __init__(self, targets: WatchTargets) -> None:
        self.targets = targets
        self._handlers: dict[str, Handler] = {
            LEADER_KEY: targets.election.on_watch_event,
            FENCING_TOKEN_KEY: targets.election.on_watch_event,
            MACHINE_TYPES_KEY: self._on_machine_types,
            LIVE_JOBS_PREFIX: self._on_live_job,
            COMPLETIONS_PREFIX: self._on_completions,
            INVENTORY_KEY: self._on_inventory,
            INVENTORY_PAGES_PREFIX: self._on_inventory,
        }

    def on_watch_event(self, now: float, key: str, value: bytes | None, version: int) -> None:
        """Handle a write of a key at `version`, or its deletion if `value` is None."""
        prefix_end = key.find("/", len(WATCHED_PREFIX)) + 1
        handler = self._handlers.get(key[:prefix_end] if prefix_end else key)
        if handler is not None:
            handler(now, key, value, version)

    def _on_machine_types(self, now: float, key: str, value: bytes | None, version: int) -> None:
        if value is not None:
            self.targets.machine_types.on_watch_event(value)

    def _on_live_job(self, now: float, key: str, value: bytes | None, version: int) -> None:
        targets = self.targets
        change = targets.jobs.on_watch_event(now, key, value, version)
        if value is None:
            targets.user_api.on_job_removed(now, key[len(LIVE_JOBS_PREFIX) :])
        for scheduler in list(targets.grant_client.schedulers.values()):
            if change.removed and change.job is not None:
                scheduler.on_job_completed(now, change.job)
            scheduler.dirty = True

    def _on_completions(self, now: float, key: str, value: bytes | None, version: int) -> None:
        self.targets.jobs.on_completions_event(key, value)
        self.targets.completion_versions[key] = version if value is not None else 0

    def _on_inventory(self, now: float, key: str, value: bytes | None, version: int) -> None:
        inventory, manager = self.targets.inventory, self.targets.leadership.cluster_manager
        if inventory.on_watch_event(key, value, version) and manager is not None:
            manager.on_inventory_event(inventory, key, version)

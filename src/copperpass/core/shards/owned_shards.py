"""The shards that a member owns in the followed term, with a scheduler for each."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.autoscaling.state import UNKNOWN_REVISION
from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.core.shards.routing_table import RoutingTable
from copperpass.core.shards.term import MakeScheduler
from copperpass.protocol.frames.messages import MachineRoute, ShardAssignment


class OwnedShards:
    """Makes, runs and ends the schedulers; each lives for one assignment of its shard."""

    def __init__(self, member: str, make_scheduler: MakeScheduler, table: RoutingTable) -> None:
        self.member, self.make_scheduler, self.table = member, make_scheduler, table
        self.schedulers: dict[int, ShardScheduler] = {}

    def begin_term(self) -> None:
        """The followed term has ended, and every ownership with it."""
        for scheduler in self.schedulers.values():
            scheduler.ended = True
        self.schedulers = {}

    def on_route(self, now: float, route: MachineRoute) -> None:
        """A route has been replicated."""
        for scheduler in self.schedulers.values():
            scheduler.on_route(now, route)

    def apply_assignments(self, now: float, assignments: Iterable[ShardAssignment]) -> None:
        """End the schedulers of shards that were reassigned, make those of new shards."""
        self.table.apply_assignments(assignments)
        current = self.table.assignments
        for shard, scheduler in list(self.schedulers.items()):
            assignment = current.get(shard)
            if (
                assignment is None
                or assignment.member != self.member
                or assignment.generation != scheduler.generation
            ):
                scheduler.ended = True
                del self.schedulers[shard]
        for shard, assignment in current.items():
            if assignment.member != self.member:
                continue
            owned = self.schedulers.get(shard)
            if owned is None:
                owned = self.schedulers[shard] = self.make_scheduler(assignment)
                for route in self.table.routes.values():
                    owned.on_route(now, route)
            owned.required_revision = assignment.required_revision

    def tick(
        self, now: float, watch_revision: int, applied_sequence: int, on_demand_excess: bool
    ) -> None:
        """Run the schedulers.

        One begins once the watch cache and the routes have caught up with its assignment.
        """
        for shard, scheduler in self.schedulers.items():
            assignment = self.table.assignments[shard]
            if (
                not scheduler.ready
                and assignment.required_revision != UNKNOWN_REVISION
                and watch_revision >= assignment.required_revision
                and applied_sequence >= assignment.required_sequence
            ):
                scheduler.on_watch_synced(now)
            scheduler.on_demand_excess = on_demand_excess
            scheduler.tick(now)

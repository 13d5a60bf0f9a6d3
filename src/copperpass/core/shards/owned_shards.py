"""The shards that a member owns in the followed term, with one scheduler per shard."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.core.autoscaling.state import UNKNOWN_REVISION
from copperpass.core.scheduling.shard_scheduler import ShardScheduler
from copperpass.core.shards.routing_table import RoutingTable
from copperpass.core.shards.term import SchedulerFactory
from copperpass.protocol.frames.messages import MachineRoute, ShardAssignment


class OwnedShards:
    """Creates, runs and ends the schedulers; each serves one assignment of its shard."""

    def __init__(
        self, member: str, make_scheduler: SchedulerFactory, routing_table: RoutingTable
    ) -> None:
        self.member, self.make_scheduler, self.routing_table = member, make_scheduler, routing_table
        self.schedulers: dict[int, ShardScheduler] = {}

    def begin_term(self) -> None:
        """End all schedulers: this member's ownership of shards ends with the followed term."""
        for scheduler in self.schedulers.values():
            scheduler.ended = True
        self.schedulers = {}

    def on_route(self, now: float, route: MachineRoute) -> None:
        """Pass a replicated route to every scheduler."""
        for scheduler in self.schedulers.values():
            scheduler.on_route(now, route)

    def apply_assignments(self, now: float, assignments: Iterable[ShardAssignment]) -> None:
        """End the schedulers of reassigned shards and create those of newly assigned shards."""
        self.routing_table.apply_assignments(assignments)
        current = self.routing_table.assignments
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
                for route in self.routing_table.routes.values():
                    owned.on_route(now, route)
            owned.required_revision = assignment.required_revision

    def tick(
        self, now: float, watch_revision: int, applied_sequence: int, on_demand_excess: bool
    ) -> None:
        """Run the schedulers.

        A scheduler begins once the watch cache and the replicated routes have caught up with the
        revision and the sequence number that its assignment requires.
        """
        for shard, scheduler in self.schedulers.items():
            assignment = self.routing_table.assignments[shard]
            if (
                not scheduler.ready
                and assignment.required_revision != UNKNOWN_REVISION
                and watch_revision >= assignment.required_revision
                and applied_sequence >= assignment.required_sequence
            ):
                scheduler.on_watch_synced(now)
            scheduler.on_demand_excess = on_demand_excess
            scheduler.tick(now)

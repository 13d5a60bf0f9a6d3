"""A member's view of the routes to machines and the owners of shards."""

from __future__ import annotations

from collections.abc import Iterable

from copperpass.protocol.frames.messages import MachineRoute, ShardAssignment


class RoutingTable:
    """Routes and assignments of the followed term, and the last known ones of earlier terms.

    `previous_routes` and `previous_owners` are kept until a later term replaces them: a member
    that wins the next election starts from them.
    """

    def __init__(self) -> None:
        self.routes: dict[str, MachineRoute] = {}
        self.assignments: dict[int, ShardAssignment] = {}
        self.previous_routes: dict[str, MachineRoute] = {}
        self.previous_owners: dict[int, str] = {}

    def begin_term(self) -> None:
        """Begin another term: the current routes and assignments become those of an earlier one."""
        self.previous_routes = self.latest_routes()
        self.previous_owners = self.latest_owners()
        self.routes, self.assignments = {}, {}

    def apply_route(self, route: MachineRoute) -> None:
        """Insert, replace or delete a route."""
        if route.deleted:
            self.routes.pop(route.name, None)
            self.previous_routes.pop(route.name, None)
        else:
            self.routes[route.name] = route

    def apply_assignments(self, assignments: Iterable[ShardAssignment]) -> None:
        """Replace all assignments."""
        self.assignments = {assignment.shard: assignment for assignment in assignments}

    def latest_routes(self) -> dict[str, MachineRoute]:
        """The last known route of each machine, from any term."""
        return {**self.previous_routes, **self.routes}

    def latest_owners(self) -> dict[int, str]:
        """The last known owner of each shard, from any term."""
        owners = {shard: assignment.member for shard, assignment in self.assignments.items()}
        return {**self.previous_owners, **owners}

    def owner_of(self, machine: str) -> str | None:
        """The member that owns a machine's shard in the followed term; None if unknown."""
        route = self.routes.get(machine)
        assignment = self.assignments.get(route.shard) if route is not None else None
        return assignment.member if assignment is not None else None

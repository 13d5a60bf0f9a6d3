"""The lifecycle of this member's own term as leader, from election to loss of leadership."""

from __future__ import annotations

from collections.abc import Callable

from copperpass.core.autoscaling.cluster_manager import ClusterManager, ClusterManagerContext
from copperpass.core.election.leader_election import LeaderElection
from copperpass.core.ports import Outbox
from copperpass.core.shards.grant_client import GrantClient
from copperpass.core.shards.owner_reports import MAX_ENTRIES_PER_FRAME
from copperpass.protocol.frames.messages import RouteUpdates


class Leadership:
    """Owns the cluster manager while this member leads and replicates its routes to members."""

    def __init__(
        self,
        election: LeaderElection,
        grant_client: GrantClient,
        outbox: Outbox,
        make_context: Callable[[], ClusterManagerContext],
    ) -> None:
        self.election, self.grant_client, self.outbox = election, grant_client, outbox
        self.make_context = make_context
        self.cluster_manager: ClusterManager | None = None

    def on_change(self, now: float, is_leader: bool, continued: bool) -> None:
        """Begin or end a term: this member has won or lost the leadership.

        `continued`: this member still had authority under its earlier token when it won again.
        """
        previous = self.cluster_manager
        if is_leader and continued and previous is not None and len(previous.shards) == 1:
            # No other member can have acted in between: the term continues under a higher token.
            return
        if not is_leader:
            self.cluster_manager = None
            self.grant_client.unfollow()
            return
        self.cluster_manager = ClusterManager(self.make_context(), now)
        if continued and previous is not None:
            # Members follow the new token, so they need a new term under it. Because the authority
            # continues, the grants of the previous term are still valid and must expire first.
            self.cluster_manager.defer_until_previous_grants_end(previous)
        self.grant_client.lead(self.cluster_manager)

    def tick(self, now: float, watch_revision: int, types_known: bool) -> None:
        """Run this member's own term, or follow the member that leads.

        An own term begins to act once the watch cache has caught up with the revision of its
        election and the machine types are known.
        """
        cluster_manager, leader = self.cluster_manager, self.election.leader
        if cluster_manager is None:
            if leader is not None and leader.member != self.election.member:
                self.grant_client.follow(leader.member, leader.token)
            return
        caught_up = watch_revision >= self.election.election_revision
        if not cluster_manager.ready and caught_up and types_known:
            cluster_manager.begin(now)
        cluster_manager.tick(now)
        self._send_routes(cluster_manager)

    def _send_routes(self, cluster_manager: ClusterManager) -> None:
        """Send each member the routes that it has not been sent yet."""
        for name, member in cluster_manager.members.items():
            replication = member.replication_sender
            while replication is not None and replication.has_unsent:
                batch = replication.next_batch(MAX_ENTRIES_PER_FRAME)
                frame = RouteUpdates(
                    epoch=cluster_manager.epoch,
                    incarnation=member.incarnation,
                    after_sequence=batch.after_sequence,
                    last_sequence=batch.last_sequence,
                    routes=tuple(batch.entries),
                )
                self.outbox.send(name, frame)

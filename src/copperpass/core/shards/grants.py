"""Grants of shards: who owns which, for how long, and how a shard passes on."""

from __future__ import annotations

from copperpass.core.autoscaling.machine_records import MachineRecords
from copperpass.core.autoscaling.state import (
    UNKNOWN_REVISION,
    ClusterManagerContext,
    ClusterState,
    MemberState,
    Shard,
)
from copperpass.core.election.timings import CLOCK_DRIFT
from copperpass.core.kvstore.keys import FENCING_TOKEN_KEY
from copperpass.core.ports import Call, CallOutcome
from copperpass.core.shards.replication import ReplicationReceiver, ReplicationSender
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.frames.messages import (
    Grant,
    GrantRequest,
    MachineRoute,
    Occupancy,
    ShardAssignment,
)
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import TRANSACTION_PATH, TransactionApplied, transaction_body

# A member counts as live for this part of a grant's length after its last request.
LIVE_PER_GRANT = 0.75
# For this part of a grant's length a new term waits for members whose heartbeats come in.
EARLY_PER_GRANT = 0.5


class ShardGrants:
    """Gives each shard to one live member at a time.

    A shard without an owner is given again only when every grant to the last one has certainly
    ended (`Shard.free_at`), and no grant outlasts the authority behind it.
    """

    def __init__(
        self, context: ClusterManagerContext, state: ClusterState, records: MachineRecords
    ) -> None:
        self.state, self.records = state, records
        self.out, self.election = context.out, context.election
        # Who owned which shard in the term before.
        self.previous_owners, self.heartbeats_arrive = (
            context.previous_owners,
            context.heartbeats_arrive,
        )
        self.generation = 0
        # When a shard last changed hands of the leader's own will.
        self.last_rebalanced_at = state.elected_at

    def on_grant_request(self, now: float, sender: str, pull: GrantRequest) -> Grant | None:
        """A member asks to have its grants extended."""
        state = self.state
        if pull.epoch != state.epoch or not self.election.has_authority(now):
            return None
        grantee = state.members.setdefault(sender, MemberState())
        feed = grantee.replication_sender
        if grantee.incarnation != pull.incarnation or feed is None:
            feed = self._on_member_restart(now, sender, grantee, pull.incarnation)
        grantee.last_request_at = now
        feed.on_acknowledged(pull.acknowledged_sequence)
        self.assign_free_shards(now)
        length = self._extend(now, grantee)
        return Grant(
            state.epoch,
            pull.incarnation,
            pull.number,
            int(length * 1000),
            state.token_version(),
            state.on_demand_excess,
            grantee.replication_receiver.applied_sequence,
            self.assignments(),
        )

    def _on_member_restart(
        self, now: float, sender: str, grantee: MemberState, incarnation: int
    ) -> ReplicationSender[MachineRoute]:
        """A member has just started, or has just come under this term: it holds nothing."""
        if grantee.incarnation not in (0, incarnation):
            # Its old grants are waited out all the same: a pull held back on an old connection
            # looks just like a restart.
            for shard in self.state.shards.values():
                if shard.owner == sender:
                    self.revoke(now, shard, grantee.grants_expire_at)
        grantee.incarnation, grantee.joined_at = incarnation, now
        grantee.replication_receiver = ReplicationReceiver()
        feed = grantee.replication_sender = ReplicationSender(self.state.replication_log)
        return feed

    def _extend(self, now: float, grantee: MemberState) -> float:
        """Extend a member's grants; returns their length in seconds from now."""
        # A grant never outlasts the authority behind it.
        remaining = self.election.remaining_authority_s(now) * (1 - 2 * CLOCK_DRIFT)
        length = max(0.0, min(self.state.grant_s, remaining))
        # Recorded whether or not it owns a shard: a later grant may add one to the same time.
        grantee.grants_expire_at = max(
            grantee.grants_expire_at, now + length * (1 + 4 * CLOCK_DRIFT)
        )
        if len(self.state.shards) > 1:
            self.election.on_grant(grantee.grants_expire_at)
        return length

    def assignments(self) -> tuple[ShardAssignment, ...]:
        """Who owns what."""
        return tuple(
            ShardAssignment(
                shard.number,
                shard.owner,
                shard.generation,
                shard.required_revision,
                shard.required_sequence,
            )
            for shard in self.state.shards.values()
            if shard.owner
        )

    def revoke(self, now: float, shard: Shard, free_at: float) -> None:
        """A shard has lost its owner: every machine of it needs a higher token."""
        self.out.log(
            LogLevel.INFO, LogEvent.SHARD_UNASSIGNED, shard=shard.number, owner=shard.owner
        )
        shard.owner, shard.required_revision, shard.assignable_at = "", UNKNOWN_REVISION, free_at
        shard.capacity_requests, shard.reading_revision, shard.zone_affinities = [], False, {}
        for machine in list(self.state.machines.values()):
            if machine.route.shard == shard.number:
                occupancy = machine.route.occupancy
                if machine.route.recorded and occupancy == Occupancy.EMPTY:
                    occupancy = Occupancy.OWN_SHARD
                self.records.reassign(machine, shard.number, occupancy)

    def defer_until_previous_grants_end(self, before: dict[str, MemberState]) -> None:
        """Give no shard while a grant of one's own earlier term may run."""
        until = max(
            (
                grantee.grants_expire_at
                for member, grantee in before.items()
                if member != self.state.member
            ),
            default=float("-inf"),
        )
        for shard in self.state.shards.values():
            shard.assignable_at = max(shard.assignable_at, until)

    def _live_members(self, now: float) -> list[str]:
        """The leader and the members that have asked of late."""
        state = self.state
        return [
            member
            for member, grantee in state.members.items()
            if member == state.member
            or now - grantee.last_request_at < LIVE_PER_GRANT * state.grant_s
        ]

    def assign_free_shards(self, now: float) -> None:
        """Give shards without an owner to live members, those with the fewest first."""
        state = self.state
        live = self._live_members(now)
        early = now - state.elected_at < EARLY_PER_GRANT * state.grant_s
        coming = any(
            member not in live and self.heartbeats_arrive(now, member)
            for member in self.election.peers
        )
        if len(state.shards) > 1 and coming and early:
            # Members whose beats come in will pull in a moment.
            return
        for shard in state.shards.values():
            if shard.owner or now < shard.assignable_at or not state.ready:
                continue
            self._assign(now, shard, self._choose_owner(shard, live))

    def _choose_owner(self, shard: Shard, live: list[str]) -> str:
        """The live member with fewest shards: others before the leader, the last owner first."""
        state = self.state
        if len(state.shards) == 1:
            return state.member
        loads = {
            member: sum(other.owner == member for other in state.shards.values()) for member in live
        }
        before = self.previous_owners.get(shard.number)
        return min(
            live,
            key=lambda member: (loads[member], member == state.member, member != before, member),
        )

    def _assign(self, now: float, shard: Shard, owner: str) -> None:
        """Give a shard to a member."""
        state = self.state
        self.generation += 1
        # Kept for it until it has had time to ask.
        grantee = state.members[owner]
        grantee.grants_expire_at = max(grantee.grants_expire_at, now + state.grant_s)
        shard.owner, shard.generation, shard.required_sequence = (
            owner,
            self.generation,
            state.replication_log.last_sequence,
        )
        if shard.assignable_at <= state.elected_at:
            shard.required_revision = state.token_version()
        else:
            self._read_revision(now, shard)
        self.out.log(
            LogLevel.INFO,
            LogEvent.SHARD_ASSIGNED,
            shard=shard.number,
            owner=owner,
            serial=shard.generation,
        )

    def expire(self, now: float) -> None:
        """Disown the shards whose grants have ended; read the revisions that are missing."""
        for shard in self.state.shards.values():
            grantee = self.state.members.get(shard.owner)
            if (
                shard.owner
                and shard.owner != self.state.member
                and (grantee is None or now > grantee.grants_expire_at)
            ):
                self.revoke(now, shard, now)
            if shard.owner and shard.required_revision == UNKNOWN_REVISION:
                self._read_revision(now, shard)

    def rebalance(self, now: float) -> None:
        """Give a shard of the leader's own to a member that has none.

        The first member to lead may have all shards before the others have asked, and one that was
        down comes back with none: without this the leader's processor would serve the whole fleet
        for good. The leader's own shards alone can pass at once, without waiting for a grant's end;
        each passing has its price, so it waits until all is quiet, or is done before any machine
        is up.
        """
        state = self.state
        mine = [shard for shard in state.shards.values() if shard.owner == state.member]
        if not mine or len(state.shards) == 1 or not state.ready:
            return
        busy = {shard.owner for shard in state.shards.values()}
        live = [member for member in self._live_members(now) if member not in busy]
        machines = state.machines.values()
        up = any(m.status.registered or m.route.occupancy != Occupancy.EMPTY for m in machines)
        if up:
            settled = all(m.status.reconciled or not m.status.registered for m in machines)
            quiet = now - max(self.last_rebalanced_at, state.elected_at) > state.lease_s
            if not settled or not quiet:
                return
            live = [
                member for member in live if now - state.members[member].joined_at > state.lease_s
            ]
        if live:
            self.last_rebalanced_at = now
            self.revoke(now, mine[0], now)

    def _read_revision(self, now: float, shard: Shard) -> None:
        """Learn a revision that is certainly after all that the last owner can have seen."""
        if shard.reading_revision:
            return
        shard.reading_revision, serial = True, shard.generation

        def on_done(n: float, outcome: CallOutcome) -> None:
            applied = decode(outcome.body, TransactionApplied) if outcome.status == 200 else None
            if shard.generation == serial:
                shard.reading_revision = False
                if applied is not None:
                    shard.required_revision = applied.revision

        self.out.calls.append(
            Call(
                "state",
                "POST",
                TRANSACTION_PATH,
                on_done,
                transaction_body({FENCING_TOKEN_KEY: self.state.token_version()}, []),
                self.election.leader_ttl_s / 3,
            )
        )

"""The leader's side of the grants: who owns which shard, for how long, and how it is reassigned."""

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
from copperpass.core.ports import Call, CallOutcome, ExternalService
from copperpass.core.shards.replication import ReplicationReceiver, ReplicationSender
from copperpass.log_events import LogEvent, LogLevel
from copperpass.protocol.frames.messages import (
    Grant,
    GrantRequest,
    MachineRoute,
    Occupancy,
)
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import TRANSACTION_PATH, TransactionApplied, transaction_body

# A member counts as live for this part of a grant's length after its last request.
LIVE_PER_GRANT = 0.75
# For this part of a grant's length a new term waits for members whose heartbeats come in.
SETTLING_PER_GRANT = 0.5


class ShardGrants:
    """Assigns each shard to one live member at a time.

    A shard without an owner is assigned again only when every grant to the last one has certainly
    expired (`Shard.assignable_at`), and no grant outlasts the leader's own authority.
    """

    def __init__(
        self, context: ClusterManagerContext, state: ClusterState, records: MachineRecords
    ) -> None:
        self.state, self.records = state, records
        self.out, self.election = context.out, context.election
        self.previous_owners = context.previous_owners
        self.heartbeats_arrive = context.heartbeats_arrive
        # Of the latest assignment; numbers the assignments of the term.
        self.generation = 0
        # When the leader last released a shard of its own.
        self.last_rebalanced_at = state.elected_at

    # -- extending grants -----------------------------------------------------------------

    def on_grant_request(self, now: float, sender: str, request: GrantRequest) -> Grant | None:
        """A member asks to have its grants extended; None where this leader must not answer."""
        state = self.state
        if request.epoch != state.epoch or not self.election.has_authority(now):
            return None
        member = state.members.setdefault(sender, MemberState())
        replication = member.replication_sender
        if member.incarnation != request.incarnation or replication is None:
            replication = self._on_member_restart(now, sender, member, request.incarnation)
        member.last_request_at = now
        replication.on_acknowledged(request.acknowledged_sequence)
        self.assign_free_shards(now)
        length_s = self._extend(now, member)
        return Grant(
            epoch=state.epoch,
            incarnation=request.incarnation,
            number=request.number,
            length_ms=int(length_s * 1000),
            token_version=state.token_version(),
            on_demand_excess=state.on_demand_excess,
            acknowledged_sequence=member.replication_receiver.applied_sequence,
            assignments=state.assignments(),
        )

    def _on_member_restart(
        self, now: float, sender: str, member: MemberState, incarnation: int
    ) -> ReplicationSender[MachineRoute]:
        """A member has just started, or has just joined this term: it owns nothing."""
        if member.incarnation not in (0, incarnation):
            # Its old grants are waited out all the same: a request held back on an old connection
            # looks just like a restart.
            for shard in self.state.shards.values():
                if shard.owner == sender:
                    self.revoke(shard, member.grants_expire_at)
        member.incarnation, member.joined_at = incarnation, now
        member.replication_receiver = ReplicationReceiver()
        replication = member.replication_sender = ReplicationSender(self.state.replication_log)
        return replication

    def _extend(self, now: float, member_state: MemberState) -> float:
        """Extend a member's grants; returns their length in seconds from now."""
        # A grant never outlasts the authority behind it.
        remaining = self.election.remaining_authority_s(now) * (1 - 2 * CLOCK_DRIFT)
        length = max(0.0, min(self.state.grant_s, remaining))
        # Recorded whether or not it owns a shard: a later grant may add one to the same time.
        member_state.grants_expire_at = max(
            member_state.grants_expire_at, now + length * (1 + 4 * CLOCK_DRIFT)
        )
        if len(self.state.shards) > 1:
            self.election.on_grant(member_state.grants_expire_at)
        return length

    def expire(self, now: float) -> None:
        """Revoke the shards whose grants have expired; read the revisions that are missing."""
        for shard in self.state.shards.values():
            member = self.state.members.get(shard.owner)
            if (
                shard.owner
                and shard.owner != self.state.member
                and (member is None or now > member.grants_expire_at)
            ):
                self.revoke(shard, now)
            if shard.owner and shard.required_revision == UNKNOWN_REVISION:
                self._read_revision(shard)

    def defer_until_previous_grants_end(self, previous: dict[str, MemberState]) -> None:
        """Assign no shard while a grant of this leader's own earlier term may be valid."""
        until = max(
            (
                state.grants_expire_at
                for member, state in previous.items()
                if member != self.state.member
            ),
            default=float("-inf"),
        )
        for shard in self.state.shards.values():
            shard.assignable_at = max(shard.assignable_at, until)

    # -- assigning and revoking -----------------------------------------------------------

    def assign_free_shards(self, now: float) -> None:
        """Assign the shards without an owner to live members, those with the fewest first."""
        state = self.state
        live = self._live_members(now)
        settling = now - state.elected_at < SETTLING_PER_GRANT * state.grant_s
        others_expected = any(
            member not in live and self.heartbeats_arrive(now, member)
            for member in self.election.peers
        )
        if len(state.shards) > 1 and others_expected and settling:
            # Members whose heartbeats arrive will request grants in a moment.
            return
        for shard in state.shards.values():
            if shard.owner or now < shard.assignable_at or not state.ready:
                continue
            self._assign(now, shard, self._choose_owner(shard, live))

    def _live_members(self, now: float) -> list[str]:
        """The leader and the members that have requested grants of late."""
        state = self.state
        return [
            name
            for name, member in state.members.items()
            if name == state.member or now - member.last_request_at < LIVE_PER_GRANT * state.grant_s
        ]

    def _choose_owner(self, shard: Shard, live: list[str]) -> str:
        """The live member with fewest shards: others before the leader, the last owner first."""
        state = self.state
        if len(state.shards) == 1:
            return state.member
        loads = {
            member: sum(other.owner == member for other in state.shards.values()) for member in live
        }
        previous = self.previous_owners.get(shard.number)
        return min(
            live,
            key=lambda member: (loads[member], member == state.member, member != previous, member),
        )

    def _assign(self, now: float, shard: Shard, owner: str) -> None:
        state = self.state
        self.generation += 1
        # Reserved for the owner until it has had time to request its grant.
        member = state.members[owner]
        member.grants_expire_at = max(member.grants_expire_at, now + state.grant_s)
        shard.owner, shard.generation = owner, self.generation
        shard.required_sequence = state.replication_log.last_sequence
        if shard.assignable_at <= state.elected_at:
            shard.required_revision = state.token_version()
        else:
            self._read_revision(shard)
        self.out.log(
            LogLevel.INFO,
            LogEvent.SHARD_ASSIGNED,
            shard=shard.number,
            owner=owner,
            serial=shard.generation,
        )

    def revoke(self, shard: Shard, assignable_at: float) -> None:
        """Take a shard from its owner: every machine of it gets a higher token."""
        self.out.log(
            LogLevel.INFO, LogEvent.SHARD_UNASSIGNED, shard=shard.number, owner=shard.owner
        )
        shard.owner, shard.required_revision = "", UNKNOWN_REVISION
        shard.assignable_at = assignable_at
        shard.capacity_requests, shard.reading_revision, shard.zone_affinities = [], False, {}
        for machine in list(self.state.machines.values()):
            if machine.route.shard == shard.number:
                occupancy = machine.route.occupancy
                if machine.route.recorded and occupancy == Occupancy.EMPTY:
                    occupancy = Occupancy.OWN_SHARD
                self.records.reassign(machine, shard.number, occupancy)

    def rebalance(self, now: float) -> None:
        """Release a shard of the leader's own to a member that has none.

        The first member to lead may have all shards before the others have asked, and one that was
        down comes back with none: without this the leader's processor would serve the whole fleet
        for good. Only the leader's own shards can be reassigned at once, without waiting for a
        grant's end; each reassignment has its cost, so it waits until every machine is reconciled,
        or is done before any machine is up.
        """
        state = self.state
        own = [shard for shard in state.shards.values() if shard.owner == state.member]
        if not own or len(state.shards) == 1 or not state.ready:
            return
        owners = {shard.owner for shard in state.shards.values()}
        idle = [member for member in self._live_members(now) if member not in owners]
        machines = state.machines.values()
        if any(m.status.registered or m.route.occupancy != Occupancy.EMPTY for m in machines):
            reconciled = all(m.status.reconciled or not m.status.registered for m in machines)
            last_change_at = max(self.last_rebalanced_at, state.elected_at)
            if not reconciled or now - last_change_at <= state.lease_s:
                return
            idle = [name for name in idle if now - state.members[name].joined_at > state.lease_s]
        if idle:
            self.last_rebalanced_at = now
            self.revoke(own[0], now)

    def _read_revision(self, shard: Shard) -> None:
        """Read a revision that is certainly after all that the last owner can have acted on."""
        if shard.reading_revision:
            return
        shard.reading_revision, generation = True, shard.generation

        def on_done(now: float, outcome: CallOutcome) -> None:
            applied = decode(outcome.body, TransactionApplied) if outcome.status == 200 else None
            if shard.generation == generation:
                shard.reading_revision = False
                if applied is not None:
                    shard.required_revision = applied.revision

        self.out.calls.append(
            Call(
                ExternalService.STATE,
                "POST",
                TRANSACTION_PATH,
                on_done,
                transaction_body({FENCING_TOKEN_KEY: self.state.token_version()}, []),
                self.election.leader_ttl_s / 3,
            )
        )

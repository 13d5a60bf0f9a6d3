"""The leader's side of shard grants: assigns shards, extends grants and reassigns shards."""

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

# How long a member counts as live after its last grant request, in lengths of a grant.
LIVENESS_GRANT_RATIO = 0.75
# How long a new term holds back assignments for members whose heartbeats arrive but which have not
# requested a grant yet, in lengths of a grant.
SETTLING_GRANT_RATIO = 0.5


class ShardGrants:
    """Assigns each shard to one live member at a time.

    A shard without an owner is assigned again only after every grant to its last owner has
    certainly expired (`Shard.assignable_at`). No grant outlasts the leader's own authority.
    """

    def __init__(
        self, context: ClusterManagerContext, state: ClusterState, records: MachineRecords
    ) -> None:
        self.state, self.records = state, records
        self.outbox, self.election = context.outbox, context.election
        self.previous_owners = context.previous_owners
        self.is_connected = context.is_connected
        # Generation of the latest assignment; each assignment of the term gets the next number.
        self.generation = 0
        # When the leader last released a shard of its own.
        self.last_rebalanced_at = state.elected_at

    # -- extending grants -----------------------------------------------------------------

    def on_grant_request(self, now: float, sender: str, request: GrantRequest) -> Grant | None:
        """Extend a member's grants; None for a request of another term or without authority."""
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
        """Reset the state of a member that has restarted or joined this term: it owns no shard."""
        if member.incarnation not in (0, incarnation):
            # Its shards stay unassigned until its old grants have expired, because a delayed
            # request from an old connection looks the same as a restart.
            for shard in self.state.shards.values():
                if shard.owner == sender:
                    self.revoke(shard, member.grants_expire_at)
        member.incarnation, member.joined_at = incarnation, now
        member.replication_receiver = ReplicationReceiver()
        replication = member.replication_sender = ReplicationSender(self.state.replication_log)
        return replication

    def _extend(self, now: float, member_state: MemberState) -> float:
        """Extend a member's grants; return their length in seconds from now."""
        # A grant must not outlast the leader's authority.
        remaining = self.election.remaining_authority_s(now) * (1 - 2 * CLOCK_DRIFT)
        length = max(0.0, min(self.state.grant_s, remaining))
        # Recorded even if the member owns no shard: a later grant may assign one to it, which it
        # then owns until the same time.
        member_state.grants_expire_at = max(
            member_state.grants_expire_at, now + length * (1 + 4 * CLOCK_DRIFT)
        )
        if len(self.state.shards) > 1:
            self.election.on_grant(member_state.grants_expire_at)
        return length

    def expire(self, now: float) -> None:
        """Revoke shards whose owner's grants have expired; read missing required revisions."""
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

    def defer_until_previous_grants_end(self, previous_members: dict[str, MemberState]) -> None:
        """Assign no shard while a grant of this leader's own previous term may be valid."""
        last_expiry = max(
            (
                member.grants_expire_at
                for name, member in previous_members.items()
                if name != self.state.member
            ),
            default=float("-inf"),
        )
        for shard in self.state.shards.values():
            shard.assignable_at = max(shard.assignable_at, last_expiry)

    # -- assigning and revoking -----------------------------------------------------------

    def assign_free_shards(self, now: float) -> None:
        """Assign each shard without an owner to the live member with the fewest shards."""
        state = self.state
        live_members = self._live_members(now)
        settling = now - state.elected_at < SETTLING_GRANT_RATIO * state.grant_s
        others_expected = any(
            member not in live_members and self.is_connected(now, member)
            for member in self.election.peers
        )
        if len(state.shards) > 1 and others_expected and settling:
            # Members whose heartbeats arrive are expected to request grants soon.
            return
        for shard in state.shards.values():
            if shard.owner or now < shard.assignable_at or not state.ready:
                continue
            self._assign(now, shard, self._choose_owner(shard, live_members))

    def _live_members(self, now: float) -> list[str]:
        """The leader and the members that have requested a grant recently."""
        state = self.state
        return [
            name
            for name, member in state.members.items()
            if name == state.member
            or now - member.last_request_at < LIVENESS_GRANT_RATIO * state.grant_s
        ]

    def _choose_owner(self, shard: Shard, live_members: list[str]) -> str:
        """Return the live member with the fewest shards.

        Ties go to other members before the leader, then to the shard's last owner, then by name.
        """
        state = self.state
        if len(state.shards) == 1:
            return state.member
        loads = {
            member: sum(other.owner == member for other in state.shards.values())
            for member in live_members
        }
        previous = self.previous_owners.get(shard.number)
        return min(
            live_members,
            key=lambda member: (loads[member], member == state.member, member != previous, member),
        )

    def _assign(self, now: float, shard: Shard, owner: str) -> None:
        state = self.state
        self.generation += 1
        # Keep the shard reserved until the owner has had time to request its grant.
        member = state.members[owner]
        member.grants_expire_at = max(member.grants_expire_at, now + state.grant_s)
        shard.owner, shard.generation = owner, self.generation
        shard.required_sequence = state.replication_log.last_sequence
        if shard.assignable_at <= state.elected_at:
            shard.required_revision = state.token_version()
        else:
            self._read_revision(shard)
        self.outbox.log(
            LogLevel.INFO,
            LogEvent.SHARD_ASSIGNED,
            shard=shard.number,
            owner=owner,
            serial=shard.generation,
        )

    def revoke(self, shard: Shard, assignable_at: float) -> None:
        """Take a shard from its owner; each of its machines gets a higher fencing token."""
        self.outbox.log(
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
        """Release one of the leader's own shards if a live member owns none.

        A new leader may own all shards before other members have requested grants, and a member
        that was down comes back without a shard. Without rebalancing, the leader's processor would
        then serve the whole fleet permanently. Only the leader's own shards can be reassigned at
        once; other owners' grants would have to expire first. Each reassignment has a cost, so it
        is done before any machine is up or else only when every registered machine is reconciled.
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
        """Read a store revision certainly later than any that the last owner can have acted on."""
        if shard.reading_revision:
            return
        shard.reading_revision, generation = True, shard.generation

        def on_done(now: float, outcome: CallOutcome) -> None:
            applied = decode(outcome.body, TransactionApplied) if outcome.status == 200 else None
            if shard.generation == generation:
                shard.reading_revision = False
                if applied is not None:
                    shard.required_revision = applied.revision

        self.outbox.calls.append(
            Call(
                ExternalService.STATE,
                "POST",
                TRANSACTION_PATH,
                on_done,
                transaction_body({FENCING_TOKEN_KEY: self.state.token_version()}, []),
                self.election.leader_ttl_s / 3,
            )
        )

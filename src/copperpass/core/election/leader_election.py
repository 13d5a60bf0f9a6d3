"""Leader election: a leased key, a counter of fencing tokens, and votes during store outages.

The safety argument is in docs/design.md. In short, with V the duration of a vote (`vote_s`) and B
the longest extension of authority through an outage of the store (`max_extension_s`):

- The validity of the leader key's lease is counted from the *sending* of the request that created
  or renewed it (`LeaderLease`).
- A leader whose key may have expired keeps its authority only while *every* other member is bound
  by a vote not to campaign, and for at most B after its last renewal (`LeaseExtension`).
- A member campaigns only when no vote binds it, and does not vote while it campaigns. So no
  extension is in force from the moment that any member campaigns (`ExtensionVoter`, `_may_vote`).
- A member that has just started may have voted in an earlier run, so it does not campaign for V.
  The exception is a member that won the last token itself: any extension after that was its own
  (`ExtensionVoter.may_campaign`).
- A win counts only if the answer arrives before the lease may have expired; tokens only rise
  (`Campaign`).

`ElectionTimings.check` rejects durations for which this does not hold.
"""

from __future__ import annotations

from copperpass.core.election.campaign import Campaign, CampaignWin
from copperpass.core.election.context import ElectionContext
from copperpass.core.election.leader_lease import LeaderLease
from copperpass.core.election.lease_extension import ExtensionVoter, LeaseExtension
from copperpass.core.election.timings import CLOCK_DRIFT
from copperpass.core.election.token_counter import FencingTokenCounter
from copperpass.core.kvstore.keys import FENCING_TOKEN_KEY, LEADER_KEY
from copperpass.log_events import LogEvent, LogLevel, StepDownReason
from copperpass.protocol.frames.messages import LeaseExtensionRequest, LeaseExtensionVote
from copperpass.protocol.records import LeaderRecord


class LeaderElection:
    """One member's election state: whether it leads, under which token, and for how long."""

    def __init__(self, context: ElectionContext, now: float) -> None:
        self.context = context
        self.member, self.peers = context.member, context.peers
        self.leader_ttl_s = context.timings.leader_ttl_s
        self.is_leader = False
        # The leader's fencing token of this member's current or last term, and the store's revision
        # at which it won the token. Components outside the election call the token at the start of
        # a term the epoch of the term.
        self.token = 0
        self.election_revision = 0
        # Whether the watch cache has delivered the leader key and the token counter.
        self.records_synced = False
        self.counter = FencingTokenCounter()
        self.extension = LeaseExtension(context)
        self.lease = LeaderLease(context, self.extension, self._on_lease_revoked, now)
        self.campaign = Campaign(context, self.lease, self.counter, self._on_won, now)
        self.voter = ExtensionVoter(context, self.counter, now)

    @property
    def leader(self) -> LeaderRecord | None:
        """The record of the current leader as far as this member knows; None if there is none."""
        return self.lease.holder

    def leader_name(self) -> str | None:
        """The name of the current leader as far as this member knows; None if there is none."""
        return self.lease.holder.member if self.lease.holder else None

    def has_authority(self, now: float) -> bool:
        """Whether this member may act as the leader at `now`."""
        lease_or_votes = now < self.lease.valid_until or now < self.extension.valid_until()
        return self.is_leader and lease_or_votes and now < self.watch_cache_valid_until()

    def remaining_authority_s(self, now: float) -> float:
        """The seconds from `now` for which the authority certainly lasts; 0 without authority."""
        if not self.is_leader:
            return 0.0
        lease_or_votes_until = max(self.lease.valid_until, self.extension.valid_until())
        return max(0.0, min(lease_or_votes_until, self.watch_cache_valid_until()) - now)

    def is_on_extension(self, now: float) -> bool:
        """Whether this member leads by votes alone, because its lease may have expired."""
        return self.is_leader and now >= self.lease.valid_until

    def watch_cache_valid_until(self) -> float:
        """The time until which the watch cache is recent enough to send commands.

        Protects cancellations: a renewed key or an extended grant does not show which changes this
        member has received. A member that acts on an older cache may keep a cancelled job running.
        """
        consistent_as_of = self.context.consistent_at()
        return consistent_as_of + self.context.timings.max_extension_s * (1 - 2 * CLOCK_DRIFT)

    def on_grant(self, expires_at: float) -> None:
        """Keep the leader key at least until a shard grant of this leader expires."""
        self.lease.on_grant(expires_at)

    def tick(self, now: float) -> None:
        """Renew the lease, request votes, step down or campaign, whichever is due."""
        if self.is_leader:
            if not self.has_authority(now):
                self.step_down(now, StepDownReason.AUTHORITY_EXPIRED)
                return
            self.lease.renew_if_due(now)
            self.extension.tick(now, self.token)
        self.lease.revoke_if_due(now)
        if self.records_synced and self.lease.holder is None and self.campaign.is_due(now):
            if self.voter.may_campaign(now):
                self.campaign.begin(now)
            else:
                self.campaign.postpone(now)

    def step_down(self, now: float, reason: StepDownReason, backoff_s: float = 0.0) -> None:
        """End the authority at once; this member does not campaign for `backoff_s` seconds."""
        if self.is_leader:
            self.context.outbox.log(
                LogLevel.INFO, LogEvent.LEADERSHIP_LOST, why=reason, token=self.token
            )
            self.is_leader = False
            self.extension.end()
            self.context.on_change(now, False, False)
        self.lease.step_down(now)
        self.campaign.on_step_down(now, backoff_s)

    def on_watch_event(self, now: float, key: str, value: bytes | None, version: int) -> None:
        """Apply a change of the leader key or the token counter; `value` is None for a deletion."""
        if key == LEADER_KEY:
            self._on_leader_key(now, value, version)
        elif key == FENCING_TOKEN_KEY and self.counter.on_watch_event(value, version):
            # Every campaign is guarded by the counter's version, so no older one can still win.
            self.campaign.unresolved_leases.clear()

    def _on_leader_key(self, now: float, value: bytes | None, version: int) -> None:
        had_leader = self.lease.holder is not None
        if not self.lease.on_watch_event(value, version):
            return
        leader = self.lease.holder
        if leader is None:
            if had_leader:
                self.campaign.on_leader_key_deleted(now)
            if self.is_leader:
                self.lease.on_expired(now)
            return
        if self.is_leader and leader.token > self.token:
            self.step_down(now, StepDownReason.ANOTHER_LEADER)
        own_leases = (self.lease.lease_id, self.campaign.lease_id)
        if leader.member == self.member and leader.lease not in own_leases:
            # The key belongs to an earlier run of this member, which no longer exists.
            self.lease.release(now, leader.lease)

    def on_extension_request(self, now: float, sender: str, request: LeaseExtensionRequest) -> None:
        """Answer a leader that requests this member's vote."""
        self.voter.on_request(now, sender, request, self._may_vote())

    def on_extension_vote(self, now: float, sender: str, vote: LeaseExtensionVote) -> None:
        """Count a peer's vote, unless it is for an earlier term."""
        if self.is_leader and vote.token == self.token:
            self.extension.on_vote(sender, vote)

    def _may_vote(self) -> bool:
        # Until the token counter is known, any member, this one included, may have won a higher
        # token. A campaign that may still be applied would make this member the winner of the last
        # token, and the winner of the last token does not wait for its votes to expire after a
        # restart.
        return self.records_synced and not self.is_leader and not self.campaign.may_still_win()

    def _on_won(self, now: float, win: CampaignWin) -> None:
        continued = self.has_authority(now)
        token = win.record.token
        self.is_leader = True
        self.token, self.election_revision = token, win.revision
        self.counter.update(token, win.revision, self.member)
        self.voter.on_token(token)
        self.lease.on_won(win.record, win.revision, win.started_at)
        self.extension.begin(now, win.started_at)
        self.context.outbox.log(
            LogLevel.INFO, LogEvent.LEADER_ELECTED, token=token, continued=continued
        )
        self.context.on_change(now, True, continued)

    def _on_lease_revoked(self, lease_id: int) -> None:
        # From now on the store refuses a late write of the key under this lease.
        self.campaign.unresolved_leases.discard(lease_id)

"""Votes of all other members that extend a leader's authority through an outage of the store.

A voter promises not to campaign for `vote_s` seconds. The leader counts a vote from the sending of
its request, so it stops relying on the vote before the voter may campaign again.
"""

from __future__ import annotations

from copperpass.core.election.context import ElectionContext
from copperpass.core.election.timings import CLOCK_DRIFT
from copperpass.core.election.token_counter import FencingTokenCounter
from copperpass.protocol.frames.messages import LeaseExtensionRequest, LeaseExtensionVote


class LeaseExtension:
    """The leader's side: requests votes and computes until when votes of all peers are valid."""

    def __init__(self, context: ElectionContext) -> None:
        self.context = context
        # The upper bound of an extension: votes never extend the authority beyond this time.
        self.max_valid_until = 0.0
        self._next_request_at = 0.0
        self._request_number = context.rng.getrandbits(32)
        self._requests_sent_at: dict[int, float] = {}
        self._votes_valid_until: dict[str, float] = {}

    def begin(self, now: float, campaign_started_at: float) -> None:
        """Start a term: discard the votes for an earlier token and request new ones."""
        self._votes_valid_until.clear()
        self._requests_sent_at.clear()
        self.max_valid_until = campaign_started_at + self.context.timings.max_extension_s
        self._next_request_at = now

    def end(self) -> None:
        """End the term and discard its votes."""
        self.max_valid_until = 0.0
        self._votes_valid_until.clear()
        self._requests_sent_at.clear()

    def on_renewed(self, sent_at: float) -> None:
        """Raise the bound of the extension: a request sent at `sent_at` renewed the leader key."""
        self.max_valid_until = max(
            self.max_valid_until, sent_at + self.context.timings.max_extension_s
        )

    def valid_until(self) -> float:
        """The time until which votes of all peers extend the authority, within the upper bound."""
        votes = self._votes_valid_until
        votes_valid_until = min(
            (votes.get(peer, 0.0) for peer in self.context.peers), default=float("inf")
        )
        return min(votes_valid_until, self.max_valid_until)

    def tick(self, now: float, token: int) -> None:
        """Request votes for the leader's token every quarter of a vote's duration."""
        if now < self._next_request_at:
            return
        vote_s = self.context.timings.vote_s
        self._next_request_at = now + vote_s / 4
        self._request_number += 1
        self._requests_sent_at[self._request_number] = now
        expired = [n for n, sent_at in self._requests_sent_at.items() if now - sent_at > vote_s]
        for number in expired:
            del self._requests_sent_at[number]
        for peer in self.context.peers:
            self.context.outbox.send(peer, LeaseExtensionRequest(token, self._request_number))

    def on_vote(self, voter: str, vote: LeaseExtensionVote) -> None:
        """Count a vote for the current token from the sending of the request that it answers."""
        sent_at = self._requests_sent_at.get(vote.number)
        if vote.granted and sent_at is not None:
            valid_until = sent_at + self.context.timings.vote_s * (1 - 2 * CLOCK_DRIFT)
            self._votes_valid_until[voter] = max(
                self._votes_valid_until.get(voter, 0.0), valid_until
            )


class ExtensionVoter:
    """The voter's side: grants votes and enforces them, also after a restart."""

    def __init__(self, context: ElectionContext, counter: FencingTokenCounter, now: float) -> None:
        self.context, self.counter = context, counter
        self._vote_binds_until = 0.0
        self._highest_token = 0
        # Votes are not stored. After a restart this member does not campaign until every vote that
        # an earlier run may have granted has expired.
        self._holdoff_until = now + context.timings.vote_s * (1 + 4 * CLOCK_DRIFT)

    def on_token(self, token: int) -> None:
        """Refuse votes for tokens lower than `token`, which was won or voted for."""
        self._highest_token = max(self._highest_token, token)

    def on_request(
        self, now: float, leader: str, request: LeaseExtensionRequest, may_vote: bool
    ) -> None:
        """Answer a vote request; grants it only if `may_vote` and no higher token is known."""
        granted = may_vote and request.token >= max(self._highest_token, self.counter.token)
        if granted:
            self._vote_binds_until = now + self.context.timings.vote_s
            self.on_token(request.token)
        self.context.outbox.send(leader, LeaseExtensionVote(request.token, request.number, granted))

    def may_campaign(self, now: float) -> bool:
        """Whether no vote that this member granted, in this run or an earlier one, is still valid.

        A member that won the last token itself need not wait after a restart: no other member has
        won since, so its earlier run can have granted no vote to another leader after that win.
        """
        if now < self._vote_binds_until:
            return False
        return now >= self._holdoff_until or self.counter.holder in ("", self.context.member)

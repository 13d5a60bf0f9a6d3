"""Votes by which every other member extends a leader's authority through an outage of the store.

A voter promises not to campaign for `vote_s`. A leader counts a vote from the sending of its
request, so it stops relying on the vote before the voter is free of it.
"""

from __future__ import annotations

from copperpass.core.election.context import ElectionContext
from copperpass.core.election.timings import CLOCK_DRIFT
from copperpass.core.election.token_counter import FencingTokenCounter
from copperpass.protocol.frames.messages import LeaseExtensionRequest, LeaseExtensionVote


class LeaseExtension:
    """The leader's side: requests votes and knows until when all of them together last."""

    def __init__(self, context: ElectionContext) -> None:
        self.context = context
        # The authority never outlasts this, whatever the votes: the bound on extensions.
        self.limit = 0.0
        self._next_request = 0.0
        self._request_number = context.rng.getrandbits(32)
        self._requests_sent_at: dict[int, float] = {}
        self._votes_until: dict[str, float] = {}

    def begin(self, now: float, campaign_started_at: float) -> None:
        """A term begins: votes for an earlier token no longer count."""
        self._votes_until.clear()
        self._requests_sent_at.clear()
        self.limit = campaign_started_at + self.context.timings.max_extension_s
        self._next_request = now

    def end(self) -> None:
        """The term has ended."""
        self.limit = 0.0
        self._votes_until.clear()
        self._requests_sent_at.clear()

    def on_renewed(self, sent_at: float) -> None:
        """The leader key was renewed by a request of that time: extensions count from there."""
        self.limit = max(self.limit, sent_at + self.context.timings.max_extension_s)

    def valid_until(self) -> float:
        """Until when every other member's vote extends the authority, within the limit."""
        votes = self._votes_until
        last = min((votes.get(peer, 0.0) for peer in self.context.peers), default=float("inf"))
        return min(last, self.limit)

    def tick(self, now: float, token: int) -> None:
        """Request votes for the leader's token, four times in a vote's length."""
        if now < self._next_request:
            return
        vote_s = self.context.timings.vote_s
        self._next_request = now + vote_s / 4
        self._request_number += 1
        self._requests_sent_at[self._request_number] = now
        expired = [n for n, sent_at in self._requests_sent_at.items() if now - sent_at > vote_s]
        for number in expired:
            del self._requests_sent_at[number]
        for peer in self.context.peers:
            self.context.out.send(peer, LeaseExtensionRequest(token, self._request_number))

    def on_vote(self, voter: str, vote: LeaseExtensionVote) -> None:
        """Count a vote for the present token from the sending of the request that it answers."""
        sent_at = self._requests_sent_at.get(vote.number)
        if vote.granted and sent_at is not None:
            until = sent_at + self.context.timings.vote_s * (1 - 2 * CLOCK_DRIFT)
            self._votes_until[voter] = max(self._votes_until.get(voter, 0.0), until)


class ExtensionVoter:
    """The voter's side: which votes bind this member, over a restart too."""

    def __init__(self, context: ElectionContext, counter: FencingTokenCounter, now: float) -> None:
        self.context, self.counter = context, counter
        self._bound_until = 0.0
        self._highest_token = 0
        # Election holdoff. A restart forgets votes, so no campaign until any of them has expired.
        self._holdoff_until = now + context.timings.vote_s * (1 + 4 * CLOCK_DRIFT)

    def on_token(self, token: int) -> None:
        """A token was won or voted for: no vote for a lower one from now on."""
        self._highest_token = max(self._highest_token, token)

    def on_request(
        self, now: float, leader: str, request: LeaseExtensionRequest, may_vote: bool
    ) -> None:
        """Answer a leader; `may_vote` is whether this member is free to bind itself."""
        granted = may_vote and request.token >= max(self._highest_token, self.counter.token)
        if granted:
            self._bound_until = now + self.context.timings.vote_s
            self.on_token(request.token)
        self.context.out.send(leader, LeaseExtensionVote(request.token, request.number, granted))

    def may_campaign(self, now: float) -> bool:
        """Whether no vote of this member, in this run or an earlier one, can still bind it.

        If the last token was its own, the only leader that an earlier run can have voted for
        afterwards would have been itself, so it need not wait.
        """
        if now < self._bound_until:
            return False
        return now >= self._holdoff_until or self.counter.holder in ("", self.context.member)

"""The leader key and the lease in the key-value store that it is attached to."""

from __future__ import annotations

from collections.abc import Callable

from copperpass.core.election.context import ElectionContext
from copperpass.core.election.lease_extension import LeaseExtension
from copperpass.core.election.timings import CLOCK_DRIFT
from copperpass.core.ports import Call, CallOutcome, ExternalService
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import lease_path, renew_lease_path
from copperpass.protocol.records import LeaderRecord


class LeaderLease:
    """Tracks the holder of the leader key; renews and revokes this member's own lease.

    Validity is counted from the *sending* of the request that created or renewed the lease, so the
    lease expires here before it expires in the store.
    """

    def __init__(
        self,
        context: ElectionContext,
        extension: LeaseExtension,
        on_revoked: Callable[[int], None],
        now: float,
    ) -> None:
        self.context, self.extension, self.on_revoked = context, extension, on_revoked
        # The leader key as the watch or a won campaign showed it last; None if it does not exist.
        self.holder: LeaderRecord | None = None
        self._version = 0
        # This member's own lease; None unless it leads and the key is not known to have expired.
        self.lease_id: int | None = None
        self.valid_until = 0.0
        self._next_renewal_at = 0.0
        self._renewal_in_flight = False
        # When the last shard grant that this member gave as leader, in this run or an earlier one,
        # expires. The key must not be released sooner: the next leader would assign shards whose
        # owners still start tasks under such a grant.
        self.grants_expire_at = now + context.max_grant_s
        # The lease to revoke once those grants have expired; None if there is none.
        self._lease_to_revoke: int | None = None

    def on_watch_event(self, value: bytes | None, version: int) -> bool:
        """Apply the stored key, None if deleted; returns False for an outdated version of it."""
        if version < self._version and value is not None:
            return False
        self.holder = decode(value, LeaderRecord) if value is not None else None
        self._version = version if value is not None else 0
        return True

    def on_won(self, record: LeaderRecord, revision: int, campaign_started_at: float) -> None:
        """Take over the key that this member's campaign has written at `revision`."""
        self.holder, self._version = record, revision
        self.lease_id = record.lease
        self.valid_until = self.valid_until_from(campaign_started_at)
        self._next_renewal_at = campaign_started_at + self.context.timings.leader_ttl_s / 4

    def on_expired(self, now: float) -> None:
        """End the lease's validity; from now on only votes can extend the authority."""
        self.valid_until = min(self.valid_until, now)
        self.lease_id = None

    def valid_until_from(self, sent_at: float) -> float:
        """The time until which a lease created or renewed by a request at `sent_at` is valid."""
        return sent_at + self.context.timings.leader_ttl_s * (1 - 2 * CLOCK_DRIFT)

    # -- renewal ------------------------------------------------------------------------

    def renew_if_due(self, now: float) -> None:
        """Renew the own lease every quarter of its TTL, with at most one request in flight."""
        lease_id = self.lease_id
        if lease_id is None or now < self._next_renewal_at or self._renewal_in_flight:
            return
        self._renewal_in_flight = True
        ttl_s = self.context.timings.leader_ttl_s
        self._next_renewal_at = now + ttl_s / 4

        def on_done(done_at: float, outcome: CallOutcome) -> None:
            self._on_renewed(done_at, outcome, lease_id, now)

        path = renew_lease_path(lease_id)
        self.context.outbox.calls.append(
            Call(ExternalService.STATE, "POST", path, on_done, b"{}", ttl_s / 3)
        )

    def _on_renewed(self, now: float, outcome: CallOutcome, lease_id: int, sent_at: float) -> None:
        self._renewal_in_flight = False
        if lease_id != self.lease_id:
            return
        if outcome.status == 200:
            self.valid_until = max(self.valid_until, self.valid_until_from(sent_at))
            self.extension.on_renewed(sent_at)
        elif outcome.status == 404:
            self.on_expired(now)
        else:
            self._next_renewal_at = now + self.context.timings.leader_ttl_s / 12

    # -- release --------------------------------------------------------------------------

    def on_grant(self, expires_at: float) -> None:
        """Record that a shard grant given by this leader lasts until `expires_at`."""
        self.grants_expire_at = max(self.grants_expire_at, expires_at)

    def step_down(self, now: float) -> None:
        """End the validity of the own lease and release it."""
        self.valid_until = 0.0
        if self.lease_id is not None:
            self.release(now, self.lease_id)
            self.lease_id = None

    def release(self, now: float, lease_id: int) -> None:
        """Revoke a lease that holds the key, or defer that until all grants have expired."""
        if now >= self.grants_expire_at:
            self.revoke(lease_id)
        else:
            self._lease_to_revoke = lease_id

    def revoke_if_due(self, now: float) -> None:
        """Revoke the lease whose revocation was deferred, once all grants have expired."""
        if self._lease_to_revoke is not None and now >= self.grants_expire_at:
            self.revoke(self._lease_to_revoke)
            self._lease_to_revoke = None

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease at once; after that the store refuses to attach a key to it."""

        def on_done(now: float, outcome: CallOutcome) -> None:
            if outcome.status in (200, 404):
                self.on_revoked(lease_id)

        ttl_s = self.context.timings.leader_ttl_s
        self.context.outbox.calls.append(
            Call(ExternalService.STATE, "DELETE", lease_path(lease_id), on_done, b"", ttl_s)
        )

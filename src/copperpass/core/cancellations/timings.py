"""Durations of start permits and confirmations, in seconds."""

from __future__ import annotations

from dataclasses import dataclass

from copperpass.core.election.timings import CLOCK_DRIFT, ElectionTimings

# `fresh_s` and the age from which permits are requested, as multiples of the leader key's TTL. A
# watch waits for half a TTL and counts from its sending, so without changes a cache is up to one
# TTL and a round trip old.
FRESH_RATIO, REQUEST_AGE_RATIO = 1.25, 1.05


@dataclass(frozen=True, slots=True)
class CancellationTimings:
    """The durations that the argument in docs/design.md is about, as the nominal clock has them.

    `fresh_s`: a member with a watch cache that is at most this old may start tasks;
    `request_age_s`: from this age on it requests start permits. `permit_s`: how long a permit is
    valid. `forget_after_s`: a member that has not acknowledged a cancellation for so long has no
    authority or knows of it.
    """

    fresh_s: float
    request_age_s: float
    permit_s: float
    forget_after_s: float

    @property
    def starter_fresh_s(self) -> float:
        """`fresh_s` as a member that starts tasks counts it: shorter by twice the drift."""
        return self.fresh_s * (1 - 2 * CLOCK_DRIFT)

    @property
    def starter_permit_s(self) -> float:
        """`permit_s` as the holder of a permit counts it, from the sending of its request."""
        return self.permit_s * (1 - 2 * CLOCK_DRIFT)

    @property
    def confirmer_fresh_s(self) -> float:
        """`fresh_s` as a member that confirms a cancellation counts it: longer by the drift."""
        return self.fresh_s * (1 + 4 * CLOCK_DRIFT)

    @property
    def confirmer_permit_s(self) -> float:
        """`permit_s` as the member that gave a permit counts it, from the giving."""
        return self.permit_s * (1 + 4 * CLOCK_DRIFT)


def cancellation_timings(timings: ElectionTimings) -> CancellationTimings:
    """Derive the durations from those of the election."""
    return CancellationTimings(
        fresh_s=FRESH_RATIO * timings.leader_ttl_s,
        request_age_s=REQUEST_AGE_RATIO * timings.leader_ttl_s,
        permit_s=timings.vote_s,
        forget_after_s=timings.max_extension_s + timings.leader_ttl_s,
    )

"""The layout of machines' fencing tokens.

The high bits hold the epoch of the leader's term, the middle bits the number of the machine's
handover in that term, the low bits the number of times that its owner has raised the token. A token
of a later term is therefore higher than every token of an earlier term, and within a term a token
of a later handover is higher than every token of an earlier one.

The epoch of a term is itself a fencing token: the leader's, won in the election that began the term
(`LeaderElection.token`). The leader's token guards writes to the key-value store; a machine's token
guards commands to its worker.
"""

from __future__ import annotations

# Positions of the fields, in bits.
EPOCH_SHIFT, HANDOVER_SHIFT = 40, 20
# Handovers that one term has numbers for.
MAX_HANDOVERS = 1 << (EPOCH_SHIFT - HANDOVER_SHIFT)


def base_token(epoch: int, handover: int) -> int:
    """Return the lowest machine token of a handover in the term `epoch`; the owner raises it."""
    return (epoch << EPOCH_SHIFT) + (handover << HANDOVER_SHIFT)

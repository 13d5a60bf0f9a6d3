"""The layout of machines' fencing tokens.

The high bits hold the epoch of the leader's term, the middle bits the number of the machine's
handover in that term, the low bits how often its owner has raised the token. So a later term's
token is higher than every earlier one, and so is a later handover's.
"""

from __future__ import annotations

EPOCH_SHIFT, HANDOVER_SHIFT = 40, 20
MAX_HANDOVERS = 1 << (EPOCH_SHIFT - HANDOVER_SHIFT)


def base_token(epoch: int, handover: int) -> int:
    """The lowest token of a machine's handover."""
    return (epoch << EPOCH_SHIFT) + (handover << HANDOVER_SHIFT)

"""The format that all frames share: header, limits, kinds."""

from __future__ import annotations

import struct
from enum import IntEnum

MAGIC, FRAME_VERSION = b"cp", 3
HEADER = struct.Struct("!2sBBI")
# A heartbeat or its answer may have 64 KiB, a batch of routes some 20 KiB as a rule.
MAX_PAYLOAD_BYTES = 1 << 18
# Capacity requests in one frame, the most urgent first: with names of up to 55 bytes they stay
# within a payload. The rest is asked for when these have been served.
MAX_REQUESTS_PER_FRAME = 1 << 12
MAX_TEXT_BYTES = 255


class FrameKind(IntEnum):
    """The kinds of frames, as the header has them."""

    HELLO = 1
    MEMBER_HEARTBEAT = 2
    LEASE_EXTENSION_REQUEST = 3
    LEASE_EXTENSION_VOTE = 4
    RUNNING_COUNTS = 5
    RELAYED_HEARTBEAT = 6
    RELAYED_ANSWER = 7
    GRANT_REQUEST = 8
    GRANT = 9
    ROUTE_UPDATES = 10
    MACHINE_STATUS_UPDATES = 11
    CAPACITY_REQUESTS = 12
    # Members up to 0.3.0 close the link on a kind that they don't know: these go only to members
    # that are proven to know them. Later ones skip what they don't know.
    JOB_CANCELLED = 13
    ZONE_AFFINITIES = 14

"""The format that all frames share: header, limits, kinds."""

from __future__ import annotations

import struct
from enum import IntEnum

MAGIC, FRAME_VERSION = b"cp", 3
HEADER = struct.Struct("!2sBBI")
# A worker's heartbeat or its answer has up to 64 KiB, a batch of routes usually about 20 KiB.
MAX_PAYLOAD_BYTES = 1 << 18
# The most capacity requests in one frame. With job ids of up to 55 bytes they fit a payload. The
# most urgent are sent first; the others are sent once these have been served.
MAX_REQUESTS_PER_FRAME = 1 << 12
MAX_TEXT_BYTES = 255


class FrameKind(IntEnum):
    """The kinds of frames, as numbered in the header."""

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
    # Versions up to 0.3.0 close the link on a kind that they do not know, so the kinds from here on
    # are sent only to members that are proven to know them. Later versions skip unknown kinds.
    JOB_CANCELLED = 13
    ZONE_AFFINITIES = 14
    # Only to members whose relay numbers show that they know it.
    IDENTIFIED_ANSWER = 18
    # From here on only to members whose heartbeats say that they know them.
    CANCELLATION_ACKNOWLEDGED = 15
    START_PERMIT_REQUEST = 16
    START_PERMIT = 17
    FINAL_STATE_NOTICE = 19
    FINAL_STATE_ACKNOWLEDGED = 20

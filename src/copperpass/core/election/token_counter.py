"""The counter of fencing tokens: one key, written by whoever wins an election."""

from __future__ import annotations

from copperpass.protocol.json_codec import decode
from copperpass.protocol.records import FencingTokenRecord


class FencingTokenCounter:
    """The last token that is known to have been won, and by whom; it only rises."""

    def __init__(self) -> None:
        self.token = 0
        self.version = 0
        self.holder = ""

    def on_watch_event(self, raw: bytes | None, version: int) -> bool:
        """Take the stored counter; returns whether it is newer than what was known."""
        if raw is None or version <= self.version:
            return False
        record = decode(raw, FencingTokenRecord)
        if record:
            self.record(record.token, version, record.member)
        return True

    def record(self, token: int, version: int, holder: str) -> None:
        """The counter stands at `token` since the store's revision `version`."""
        self.token, self.version, self.holder = token, version, holder

"""The counter of leaders' fencing tokens: one key, which the winner of each election writes."""

from __future__ import annotations

from copperpass.protocol.json_codec import decode
from copperpass.protocol.records import FencingTokenRecord


class FencingTokenCounter:
    """The last fencing token known to have been won, and its winner; tokens never decrease."""

    def __init__(self) -> None:
        self.token = 0
        self.version = 0
        self.holder = ""

    def on_watch_event(self, value: bytes | None, version: int) -> bool:
        """Apply the stored counter; returns whether its version is newer than the known one."""
        if value is None or version <= self.version:
            return False
        record = decode(value, FencingTokenRecord)
        if record:
            self.update(record.token, version, record.member)
        return True

    def update(self, token: int, version: int, holder: str) -> None:
        """Set the counter to `token`, won by `holder` at the store's revision `version`."""
        self.token, self.version, self.holder = token, version, holder

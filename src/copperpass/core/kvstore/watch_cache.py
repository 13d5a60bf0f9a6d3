"""A node's copy of the live records, kept up by listing once and watching after."""

from __future__ import annotations

from collections.abc import Callable

from copperpass.core.kvstore.keys import WATCHED_PREFIX
from copperpass.core.ports import Call, CallOutcome, Outbox
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import KeyPage, WatchAnswer, list_path, watch_path

OnWatchChange = Callable[[float, str, bytes | None, int], None]


class WatchCache:
    """Lists the keys, then follows their changes; lists again when it has fallen behind."""

    def __init__(self, out: Outbox, saw: OnWatchChange, wait_s: float, timeout: float) -> None:
        self.out, self.saw, self.wait_s, self.timeout = out, saw, wait_s, timeout
        self.revision = 0
        self.listed = False
        self.busy = False
        self.next_try = 0.0
        self.keys: dict[str, int] = {}
        self.fresh: set[str] = set()
        self.since = 0
        # All changes that were confirmed before this moment are known here: when the last request
        # was *sent* that has been answered in full. See "Freshness" in docs/design.md.
        self.fresh_at = float("-inf")
        self.sent_at = float("-inf")

    def tick(self, now: float) -> None:
        """Start the next request when none runs."""
        if self.busy or now < self.next_try:
            return
        self.busy = True
        self.sent_at = now
        if not self.listed:
            self.since, self.fresh = 0, set()
            self._list("")
        else:
            self._follow()

    def _list(self, after: str) -> None:
        self.out.calls.append(
            Call("state", "GET", list_path(WATCHED_PREFIX, after), self._page, b"", self.timeout)
        )

    def _page(self, now: float, outcome: CallOutcome) -> None:
        page = decode(outcome.body, KeyPage) if outcome.status == 200 else None
        if page is None:
            self._fail(now)
            return
        if not self.since:
            self.since = page.revision
        for item in page.items:
            self.fresh.add(item.key)
            self._take(now, item.key, bytes(item.value), item.version)
        if page.more and page.items:
            self._list(page.items[-1].key)
            return
        for key, version in list(self.keys.items()):
            if key not in self.fresh and version <= self.since:
                self._take(now, key, None, self.since)
        self.revision = max(self.revision, self.since)
        # Counted from the first page's sending, and only now that the list is whole: until then a
        # job that is over may still be in the view.
        self.fresh_at = max(self.fresh_at, self.sent_at)
        self.listed, self.busy = True, False
        self.tick(now)

    def _follow(self) -> None:
        path = watch_path(WATCHED_PREFIX, self.revision, int(self.wait_s * 1000))
        self.out.calls.append(
            Call("state", "GET", path, self._news, b"", self.wait_s + self.timeout)
        )

    def _news(self, now: float, outcome: CallOutcome) -> None:
        if outcome.status == 410:
            self.listed, self.busy = False, False
            self.tick(now)
            return
        news = decode(outcome.body, WatchAnswer) if outcome.status == 200 else None
        if news is None:
            self._fail(now)
            return
        for event in news.events:
            if event.put is not None:
                self._take(now, event.put, bytes(event.value), event.version)
            elif event.delete is not None:
                self._take(now, event.delete, None, event.version)
        self.revision = max(self.revision, news.revision)
        self.fresh_at = max(self.fresh_at, self.sent_at)
        self.busy = False
        self.tick(now)

    def _take(self, now: float, key: str, raw: bytes | None, version: int) -> None:
        known = self.keys.get(key, 0)
        if version < known or (version == known and raw is not None):
            # Guards against replays after a listing: an older removal must not take a newer key.
            return
        if raw is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = version
        self.saw(now, key, raw, version)

    def _fail(self, now: float) -> None:
        self.busy = False
        self.next_try = now + self.timeout / 4

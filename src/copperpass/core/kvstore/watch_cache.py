"""A list-and-watch client for the watched part of the key-value store.

It keeps the versions of keys but no values: each change goes to one callback, for each key in the
order of its versions. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from typing import Protocol

from copperpass.core.kvstore.keys import WATCHED_PREFIX
from copperpass.core.ports import Call, CallOutcome, ExternalService, Outbox
from copperpass.protocol.json_codec import decode
from copperpass.protocol.kvstore import KeyPage, WatchAnswer, list_path, watch_path

HTTP_OK, HTTP_GONE = 200, 410


class OnWatchEvent(Protocol):
    """Called with each change of a watched key."""

    def __call__(self, now: float, key: str, value: bytes | None, version: int, /) -> None:
        """Apply the value of `key` at `version`; `value` is None if the key was deleted."""


class WatchCache:
    """Lists the keys, then watches for changes; lists again if its revision was compacted.

    Invariants: at most one request is in flight; the version of a key never decreases.
    """

    def __init__(
        self, outbox: Outbox, on_event: OnWatchEvent, wait_s: float, timeout_s: float
    ) -> None:
        self.outbox, self.on_event = outbox, on_event
        # How long the store holds a watch request open for a change, and the timeout of a request;
        # that of a watch is the sum of both.
        self.wait_s, self.timeout_s = wait_s, timeout_s
        # All changes up to this revision of the store have been applied.
        self.revision = 0
        # Whether the keys have been listed in full, so that changes can be watched.
        self.synced = False
        self.request_in_flight = False
        self.next_request_at = 0.0
        # The version of each key that exists.
        self.key_versions: dict[str, int] = {}
        # Of the listing in progress: the keys so far, and the revision of its first page.
        self.listed_keys: set[str] = set()
        self.list_revision = 0
        # The revision of the first complete listing, and when the last one was complete.
        self.first_list_revision: int | None = None
        self.last_listed_at: float | None = None
        # When the last request that was answered in full was *sent*: every change that the store
        # confirmed before that time has been applied. See "Freshness" in docs/design.md.
        self.consistent_at = float("-inf")
        self.request_sent_at = float("-inf")

    def tick(self, now: float) -> None:
        """Send the next list or watch request, unless one is in flight or a retry is delayed."""
        if self.request_in_flight or now < self.next_request_at:
            return
        self.request_in_flight = True
        self.request_sent_at = now
        if self.synced:
            self._watch()
        else:
            self.list_revision, self.listed_keys = 0, set()
            self._list("")

    def _list(self, after: str) -> None:
        path = list_path(WATCHED_PREFIX, after)
        self.outbox.calls.append(
            Call(ExternalService.STATE, "GET", path, self._on_list_page, b"", self.timeout_s)
        )

    def _on_list_page(self, now: float, outcome: CallOutcome) -> None:
        page = decode(outcome.body, KeyPage) if outcome.status == HTTP_OK else None
        if page is None:
            self._retry_later(now)
            return
        if not self.list_revision:
            self.list_revision = page.revision
        for item in page.items:
            self.listed_keys.add(item.key)
            self._apply(now, item.key, bytes(item.value), item.version)
        if page.more and page.items:
            self._list(page.items[-1].key)
            return
        self._delete_unlisted(now)
        # `consistent_at` is counted from the sending of the first page's request, and updated only
        # now that the listing is complete: until then a completed job may still be in the cache.
        self.synced = True
        self.last_listed_at = now
        if self.first_list_revision is None:
            self.first_list_revision = self.list_revision
        self._on_complete(now, self.list_revision)

    def _delete_unlisted(self, now: float) -> None:
        """Report keys missing from the listing, which were deleted while nothing was watched."""
        for key, version in list(self.key_versions.items()):
            if key not in self.listed_keys and version <= self.list_revision:
                self._apply(now, key, None, self.list_revision)

    def _watch(self) -> None:
        path = watch_path(WATCHED_PREFIX, self.revision, int(self.wait_s * 1000))
        self.outbox.calls.append(
            Call(
                ExternalService.STATE,
                "GET",
                path,
                self._on_watch_answer,
                b"",
                self.wait_s + self.timeout_s,
            )
        )

    def _on_watch_answer(self, now: float, outcome: CallOutcome) -> None:
        if outcome.status == HTTP_GONE:
            # The store has compacted the watched revision: list again.
            self.synced, self.request_in_flight = False, False
            self.tick(now)
            return
        answer = decode(outcome.body, WatchAnswer) if outcome.status == HTTP_OK else None
        if answer is None:
            self._retry_later(now)
            return
        for event in answer.events:
            if event.put is not None:
                self._apply(now, event.put, bytes(event.value), event.version)
            elif event.delete is not None:
                self._apply(now, event.delete, None, event.version)
        self._on_complete(now, answer.revision)

    def _on_complete(self, now: float, revision: int) -> None:
        """Record that a request was answered in full, and send the next one at once."""
        self.revision = max(self.revision, revision)
        self.consistent_at = max(self.consistent_at, self.request_sent_at)
        self.request_in_flight = False
        self.tick(now)

    def _apply(self, now: float, key: str, value: bytes | None, version: int) -> None:
        known = self.key_versions.get(key, 0)
        if version < known or (version == known and value is not None):
            # After a listing the store may replay older events: a deletion must not delete a newer
            # key.
            return
        if value is None:
            self.key_versions.pop(key, None)
        else:
            self.key_versions[key] = version
        self.on_event(now, key, value, version)

    def _retry_later(self, now: float) -> None:
        self.request_in_flight = False
        self.next_request_at = now + self.timeout_s / 4

"""A copy of the watched part of the key-value store, kept up by listing once and watching after.

It owns no records itself: each change goes to one callback, in the order of the versions of its
key. Times are seconds of the steady clock.
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

    def __call__(self, now: float, key: str, raw: bytes | None, version: int, /) -> None:
        """Apply the new value, or None if the key was deleted, at this version."""


class WatchCache:
    """Lists the keys, then follows their changes; lists again when the revision was compacted.

    Invariants: at most one request is in flight; the version of a key never decreases.
    """

    def __init__(
        self, out: Outbox, on_event: OnWatchEvent, wait_s: float, timeout_s: float
    ) -> None:
        self.out, self.on_event = out, on_event
        # How long a watch waits for a change, and any request for its answer beside that.
        self.wait_s, self.timeout_s = wait_s, timeout_s
        # All changes up to this revision of the store are applied.
        self.revision = 0
        # Whether the keys have been listed in full, so that changes can be followed.
        self.synced = False
        self.request_in_flight = False
        self.next_request_at = 0.0
        # The version of each key that exists.
        self.key_versions: dict[str, int] = {}
        # Of the listing under way: its keys so far, and the revision of its first page.
        self.listed_keys: set[str] = set()
        self.list_revision = 0
        # All changes that were confirmed before this moment are known here: when the last request
        # was *sent* that has been answered in full. See "Freshness" in docs/design.md.
        self.consistent_at = float("-inf")
        self.sent_at = float("-inf")

    def tick(self, now: float) -> None:
        """Start the next request when none is in flight."""
        if self.request_in_flight or now < self.next_request_at:
            return
        self.request_in_flight = True
        self.sent_at = now
        if self.synced:
            self._watch()
        else:
            self.list_revision, self.listed_keys = 0, set()
            self._list("")

    # -- listing ---------------------------------------------------------------------

    def _list(self, after: str) -> None:
        path = list_path(WATCHED_PREFIX, after)
        self.out.calls.append(
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
        # Counted from the sending of the first page, and only now that the listing is complete:
        # until then a completed job may still be in the cache.
        self.synced = True
        self._on_complete(now, self.list_revision)

    def _delete_unlisted(self, now: float) -> None:
        """Keys that the listing lacks were deleted while nothing was watched."""
        for key, version in list(self.key_versions.items()):
            if key not in self.listed_keys and version <= self.list_revision:
                self._apply(now, key, None, self.list_revision)

    # -- watching --------------------------------------------------------------------

    def _watch(self) -> None:
        path = watch_path(WATCHED_PREFIX, self.revision, int(self.wait_s * 1000))
        self.out.calls.append(
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
            # The store has compacted the revision.
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

    # -- both ------------------------------------------------------------------------

    def _on_complete(self, now: float, revision: int) -> None:
        """A request has been answered in full: the next one follows at once."""
        self.revision = max(self.revision, revision)
        self.consistent_at = max(self.consistent_at, self.sent_at)
        self.request_in_flight = False
        self.tick(now)

    def _apply(self, now: float, key: str, raw: bytes | None, version: int) -> None:
        known = self.key_versions.get(key, 0)
        if version < known or (version == known and raw is not None):
            # Guards against replays after a listing: an older deletion must not delete a newer key.
            return
        if raw is None:
            self.key_versions.pop(key, None)
        else:
            self.key_versions[key] = version
        self.on_event(now, key, raw, version)

    def _retry_later(self, now: float) -> None:
        self.request_in_flight = False
        self.next_request_at = now + self.timeout_s / 4

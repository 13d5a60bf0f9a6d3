"""Messages between controllers and the key-value store; `rename` maps to the store's names."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from copperpass.protocol.json_codec import encode

TRANSACTION_PATH = "/multi"
LEASES_PATH = "/leases"


class KeyValue(msgspec.Struct, rename={"key": "path", "version": "stamp"}):
    """A key, its value, and the revision of its last write."""

    key: str
    value: msgspec.Raw
    version: int


class KeyPage(msgspec.Struct, rename={"more": "truncated", "revision": "issue"}):
    """A page of a listing at a revision; with `more`, further pages follow."""

    items: list[KeyValue]
    revision: int
    more: bool = False


class WatchEvent(msgspec.Struct, rename={"delete": "remove", "version": "stamp"}):
    """A change of one key: either `put` names it, with its new `value`, or `delete` does."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class WatchAnswer(msgspec.Struct, rename={"events": "news", "revision": "issue"}):
    """The answer to a watch: the changes up to a revision."""

    events: list[WatchEvent]
    revision: int


class TransactionApplied(msgspec.Struct, rename={"revision": "issue"}):
    """A transaction that was applied, at a revision."""

    revision: int


class TransactionConflict(msgspec.Struct, rename={"revision": "issue"}):
    """A transaction that was not applied: the keys in `failed` have other versions than guarded."""

    failed: list[str]
    revision: int = 0


class LeaseCreated(msgspec.Struct, rename={"lease": "permit"}):
    """A new lease, to which keys can be attached."""

    lease: int


class PutKey(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"key": "put", "lease": "permit"}
):
    """A write of a key; with a lease, the store deletes the key when the lease ends."""

    key: str
    value: object
    lease: int | None = None


class DeleteKey(msgspec.Struct, frozen=True, rename={"key": "remove"}):
    """The deletion of a key."""

    key: str


Write = PutKey | DeleteKey


def transaction_body(guards: dict[str, int], writes: Sequence[Write]) -> bytes:
    """Encode a transaction, which is applied only if each key has the version of its guard."""
    return encode(
        {
            "guards": [{"path": key, "stamp": version} for key, version in guards.items()],
            "writes": writes,
        }
    )


def key_path(key: str) -> str:
    """Return the path that reads a key."""
    return f"/kv/{key}"


def list_path(prefix: str, after: str) -> str:
    """Return the path of the page of keys after the key `after`; "" for the first page."""
    return f"/kv?under={prefix}&most=200" + (f"&since={after}" if after else "")


def watch_path(prefix: str, revision: int, wait_ms: int) -> str:
    """Return the path that waits up to `wait_ms` for changes after a revision."""
    return f"/follow?under={prefix}&since={revision}&block_ms={wait_ms}"


def renew_lease_path(lease: int) -> str:
    """Return the path that renews a lease."""
    return f"/leases/{lease}/extend"


def lease_path(lease: int) -> str:
    """Return the path that ends a lease."""
    return f"/leases/{lease}"

"""JSON bodies: how they are written and read, and what reading them raises."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")

# What decoding a body raises. Deep nesting, also in fields that are ignored, exhausts the stack.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

encode = msgspec.json.encode


def decode(body: bytes, message_type: type[T]) -> T | None:
    """Decode a body, or None when it is not what the protocol says."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except DECODE_ERRORS:
        return None


def error_body(text: str) -> bytes:
    """The body of a refusal."""
    return encode({"error": text})

"""Encoding and decoding of JSON bodies."""

from __future__ import annotations

from typing import TypeVar

import msgspec

MessageT = TypeVar("MessageT")

# What decoding a malformed body raises. Deep nesting, even in ignored fields, exhausts the stack.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

encode = msgspec.json.encode


def decode(body: bytes, message_type: type[MessageT]) -> MessageT | None:
    """Decode a body; returns None if it is malformed or does not match `message_type`."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except DECODE_ERRORS:
        return None


def error_body(text: str) -> bytes:
    """Encode the body of an error response."""
    return encode({"error": text})

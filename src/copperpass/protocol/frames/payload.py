"""Reading and writing of payloads, common to all kinds of frames."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from copperpass.errors import FrameError, NewerFrameError
from copperpass.protocol.frames.format import MAX_TEXT_BYTES, FrameKind
from copperpass.protocol.frames.messages import Frame

FrameT = TypeVar("FrameT", bound=Frame)
TEXT_LENGTH = struct.Struct("!B")


class PayloadReader:
    """Reads a payload from front to back; `offset` is the next byte to read.

    A payload that is too short raises `FrameError`, or `struct.error` in `unpack`.
    """

    def __init__(self, payload: bytes) -> None:
        self.payload, self.offset = payload, 0

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the values of a fixed layout; raises `struct.error` if the payload is too short."""
        values = layout.unpack_from(self.payload, self.offset)
        self.offset += layout.size
        return values

    def read_text(self) -> str:
        """Read a text that is preceded by its length in bytes, in one byte."""
        if self.at_end():
            raise FrameError(f"payload too short: no text at byte {self.offset}")
        return self.read_bytes(self.unpack(TEXT_LENGTH)[0]).decode()

    def read_bytes(self, size: int) -> bytes:
        """Read the next `size` bytes."""
        end = self.offset + size
        if end > len(self.payload):
            raise FrameError(f"payload too short: {end} bytes expected, got {len(self.payload)}")
        raw = self.payload[self.offset : end]
        self.offset = end
        return raw

    def read_remaining(self) -> bytes:
        """Read all remaining bytes."""
        return self.read_bytes(len(self.payload) - self.offset)

    def at_end(self) -> bool:
        """Whether all bytes have been read."""
        return self.offset >= len(self.payload)

    def require_end(self) -> None:
        """Raise `NewerFrameError` if bytes remain: a later version may have added fields."""
        if not self.at_end():
            raise NewerFrameError("longer than known")


@dataclass(frozen=True, slots=True)
class FrameCodec(Generic[FrameT]):
    """Encodes and decodes the payload of one kind of frame."""

    kind: FrameKind
    message_type: type[FrameT]
    encode: Callable[[FrameT], bytes]
    decode: Callable[[PayloadReader], FrameT]


def encode_text(value: str) -> bytes:
    """Encode a text, cut off at `MAX_TEXT_BYTES`, preceded by its length in one byte."""
    raw = value.encode()[:MAX_TEXT_BYTES]
    return TEXT_LENGTH.pack(len(raw)) + raw


def pack_flags(*values: bool) -> int:
    """Pack flags into the bits of one number, the first into the lowest bit."""
    return sum(1 << bit for bit, value in enumerate(values) if value)


def unpack_flags(flags: int, count: int) -> tuple[bool, ...]:
    """Unpack the lowest `count` bits of a number, the lowest first."""
    return tuple(bool(flags >> bit & 1) for bit in range(count))

"""How payloads are read and written, apart from what each kind of frame holds."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from copperpass.errors import FrameError, NewerFrameError
from copperpass.protocol.frames.format import MAX_TEXT_BYTES, FrameKind
from copperpass.protocol.frames.messages import Frame

M = TypeVar("M", bound=Frame)
TEXT_LENGTH = struct.Struct("!B")


class PayloadReader:
    """Reads a payload from front to back; raises `FrameError` where it is too short."""

    def __init__(self, payload: bytes) -> None:
        self.payload, self.offset = payload, 0

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        """The values of a fixed layout; raises `struct.error` where the payload is too short."""
        values = layout.unpack_from(self.payload, self.offset)
        self.offset += layout.size
        return values

    def text(self) -> str:
        """A text, which follows one byte with its length."""
        if self.at_end():
            raise FrameError("payload too short")
        return self.take(self.unpack(TEXT_LENGTH)[0]).decode()

    def take(self, size: int) -> bytes:
        """The next `size` bytes."""
        end = self.offset + size
        if end > len(self.payload):
            raise FrameError("payload too short")
        raw = self.payload[self.offset : end]
        self.offset = end
        return raw

    def rest(self) -> bytes:
        """All bytes that are left."""
        return self.take(len(self.payload) - self.offset)

    def at_end(self) -> bool:
        """Whether nothing is left."""
        return self.offset >= len(self.payload)

    def finish(self) -> None:
        """Raise `NewerFrameError` if something is left."""
        if not self.at_end():
            raise NewerFrameError("longer than known")


@dataclass(frozen=True, slots=True)
class FrameCodec(Generic[M]):
    """How the payload of one kind of frame is written and read."""

    kind: FrameKind
    message_type: type[M]
    encode: Callable[[M], bytes]
    decode: Callable[[PayloadReader], M]


def encode_text(value: str) -> bytes:
    """A text of up to `MAX_TEXT_BYTES`, behind one byte with its length."""
    raw = value.encode()[:MAX_TEXT_BYTES]
    return TEXT_LENGTH.pack(len(raw)) + raw


def pack_flags(*values: bool) -> int:
    """Flags as the bits of one number, the first in the lowest bit."""
    return sum(1 << bit for bit, value in enumerate(values) if value)


def unpack_flags(flags: int, count: int) -> tuple[bool, ...]:
    """The lowest `count` bits of a number, the lowest first."""
    return tuple(bool(flags >> bit & 1) for bit in range(count))

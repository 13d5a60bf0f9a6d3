"""Cuts a stream of bytes into frames."""

from __future__ import annotations

from copperpass.errors import FrameError, NewerFrameError
from copperpass.protocol.frames.codec import decode_payload
from copperpass.protocol.frames.format import FRAME_VERSION, HEADER, MAGIC, MAX_PAYLOAD_BYTES
from copperpass.protocol.frames.messages import Frame, UnknownFrame


class FrameDecoder:
    """Holds the bytes of frames that are not complete yet."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Frame | UnknownFrame]:
        """Take bytes; returns the frames that are complete, also those that can't be read.

        Raises `FrameError` on bytes that no controller would send.
        """
        self.buffer += data
        frames: list[Frame | UnknownFrame] = []
        while (frame := self._next()) is not None:
            frames.append(frame)
        return frames

    def _next(self) -> Frame | UnknownFrame | None:
        if len(self.buffer) < HEADER.size:
            return None
        magic, version, kind, length = HEADER.unpack_from(self.buffer)
        if magic != MAGIC or version != FRAME_VERSION:
            raise FrameError("not a frame of this version")
        if length > MAX_PAYLOAD_BYTES:
            raise FrameError("too long")
        end = HEADER.size + length
        if len(self.buffer) < end:
            return None
        payload, self.buffer = self.buffer[HEADER.size : end], self.buffer[end:]
        try:
            return decode_payload(kind, payload)
        except NewerFrameError as newer:
            return UnknownFrame(kind, str(newer))

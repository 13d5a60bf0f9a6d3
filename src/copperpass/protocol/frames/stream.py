"""Splits a byte stream into frames."""

from __future__ import annotations

from copperpass.errors import FrameError, NewerFrameError
from copperpass.protocol.frames.codec import decode_payload
from copperpass.protocol.frames.format import FRAME_VERSION, HEADER, MAGIC, MAX_PAYLOAD_BYTES
from copperpass.protocol.frames.messages import Frame, UnknownFrame


class FrameDecoder:
    """Decodes the frames of one connection; buffers the bytes of an incomplete frame."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Frame | UnknownFrame]:
        """Add bytes and return the complete frames; those of later versions as `UnknownFrame`.

        Raises `FrameError` on malformed bytes.
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
            raise FrameError(
                f"magic and version must be {MAGIC!r} {FRAME_VERSION}, got {magic!r} {version}"
            )
        if length > MAX_PAYLOAD_BYTES:
            raise FrameError(f"payload length must be at most {MAX_PAYLOAD_BYTES}, got {length}")
        end = HEADER.size + length
        if len(self.buffer) < end:
            return None
        payload, self.buffer = self.buffer[HEADER.size : end], self.buffer[end:]
        try:
            return decode_payload(kind, payload)
        except NewerFrameError as error:
            return UnknownFrame(kind, str(error))

"""Encodes and decodes frames with one codec per kind."""

from __future__ import annotations

import struct
from typing import Any

from copperpass.errors import FrameError, NewerFrameError
from copperpass.protocol.frames.format import FRAME_VERSION, HEADER, MAGIC
from copperpass.protocol.frames.member_codecs import MEMBER_CODECS
from copperpass.protocol.frames.messages import Frame
from copperpass.protocol.frames.payload import FrameCodec, PayloadReader
from copperpass.protocol.frames.shard_codecs import SHARD_CODECS

CODECS = (*MEMBER_CODECS, *SHARD_CODECS)
_BY_KIND: dict[int, FrameCodec[Any]] = {codec.kind: codec for codec in CODECS}
_BY_TYPE = {codec.message_type: codec for codec in CODECS}


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame, including its header."""
    codec = _BY_TYPE[type(frame)]
    payload = codec.encode(frame)
    return HEADER.pack(MAGIC, FRAME_VERSION, codec.kind, len(payload)) + payload


def decode_payload(kind: int, payload: bytes) -> Frame:
    """Decode the payload of a frame.

    Raises `FrameError` if it is malformed, `NewerFrameError` if only a later version knows it.
    """
    codec = _BY_KIND.get(kind)
    if codec is None:
        raise NewerFrameError("unknown kind")
    reader = PayloadReader(payload)
    try:
        frame: Frame = codec.decode(reader)
    except (struct.error, UnicodeDecodeError) as error:
        raise FrameError(str(error)) from error
    reader.require_end()
    return frame

"""Completed tasks of a job as a bit mask, and the encoding of masks in stored records.

Bit `index & 7` of byte `index >> 3` stands for the task `index`. A mask that is too large for one
record is stored in segments, each with an entry of its own.
"""

from __future__ import annotations

import base64


def count_completed(mask: bytes | bytearray) -> int:
    """The number of completed tasks in a mask."""
    return sum(byte.bit_count() for byte in mask)


def pack_mask(mask: bytearray) -> str:
    """Encode a mask in base64 without trailing zero bytes, to keep it short."""
    return base64.b64encode(bytes(mask).rstrip(b"\0")).decode()


def unpack_mask(text: str, tasks: int) -> bytearray:
    """Decode the text of `pack_mask` for a job of `tasks` tasks; drops the bytes beyond them."""
    mask = bytearray((tasks + 7) // 8)
    decoded = base64.b64decode(text)[: len(mask)]
    mask[: len(decoded)] = decoded
    return mask


def segment_key(job_id: str, offset: int) -> str:
    """The entry name of the segment that starts at byte `offset` of a mask; never a job id."""
    return f"{job_id}:{offset}"


def split_segment(entry: str) -> tuple[str, int]:
    """The job id and byte offset of an entry; the offset is 0 for the entry of a whole mask."""
    job_id, _, offset = entry.partition(":")
    return job_id, int(offset) if offset.isdecimal() else 0

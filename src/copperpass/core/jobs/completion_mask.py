"""Completed tasks of a job as a bit mask, and how stored records name and pack its parts.

Bit `index & 7` of byte `index >> 3` is a task's. A mask that is too large for one record is stored
in segments, each with an entry of its own.
"""

from __future__ import annotations

import base64


def count_completed(mask: bytes | bytearray) -> int:
    """How many tasks a mask has."""
    return sum(byte.bit_count() for byte in mask)


def pack_mask(mask: bytearray) -> str:
    """A mask as text: short while few tasks are completed, or none of the last."""
    return base64.b64encode(bytes(mask).rstrip(b"\0")).decode()


def unpack_mask(text: str, tasks: int) -> bytearray:
    """The opposite of `pack_mask`, for a job of so many tasks; what is beyond them is dropped."""
    mask = bytearray((tasks + 7) // 8)
    raw = base64.b64decode(text)[: len(mask)]
    mask[: len(raw)] = raw
    return mask


def segment_key(job_id: str, offset: int) -> str:
    """The entry of a segment that begins at a byte of a job's mask; no job has such an id."""
    return f"{job_id}:{offset}"


def split_segment(entry: str) -> tuple[str, int]:
    """The job id and first byte of an entry; a whole mask begins at 0."""
    job_id, _, offset = entry.partition(":")
    return job_id, int(offset) if offset.isdecimal() else 0

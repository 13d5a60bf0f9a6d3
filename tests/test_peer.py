"""Frames between controllers, and bytes that are none."""

import random
import struct

import pytest

from copperpass import peer
from copperpass.core.directory import Contact, Entry, Status

FRAMES = [
    peer.JobCancelled("req-000412"),
    peer.Hello("n1"),
    peer.Heartbeat(7, peer.NEVER),
    peer.PromiseRequest(7, 9),
    peer.Promise(7, 9, True),
    peer.Promise(7, 9, False),
    peer.RunningCounts({"req-000001": 3, "req-000002": 1}),
    peer.RunningCounts({}),
    peer.RelayedReport(7, b"{}" * 30000),
    peer.RelayedAnswer(7, 421, b""),
]


def test_frames_survive_any_cutting():
    data = b"".join(peer.pack(f) for f in FRAMES)
    rng = random.Random(3)
    for _ in range(50):
        unpacker, got, at = peer.Unpacker(), [], 0
        while at < len(data):
            size = rng.randint(1, 9)
            got += unpacker.feed(data[at : at + size])
            at += size
        assert got == FRAMES


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        struct.pack("!2sBBI", b"cp", 9, peer.ASK, 16) + bytes(16),
        struct.pack("!2sBBI", b"cp", 2, 99, 0),
        struct.pack("!2sBBI", b"cp", 2, peer.ASK, 3) + b"abc",
        struct.pack("!2sBBI", b"cp", 2, peer.ASK, 17) + bytes(17),
        struct.pack("!2sBBI", b"cp", 2, peer.PROMISE, 17) + bytes(16) + b"\x07",
        struct.pack("!2sBBI", b"cp", 2, peer.COUNTS, 6) + b"\x09\x00\x00\x00\x01x",
        struct.pack("!2sBBI", b"cp", 2, peer.HELLO, 1) + b"\xff",
        struct.pack("!2sBBI", b"cp", 2, peer.HANDED, 2) + b"ab",
        struct.pack("!2sBBI", b"cp", 2, peer.ANSWERED, 5) + b"abcde",
        struct.pack("!2sBBI", b"cp", 2, peer.HANDED, 1 << 19),
    ],
)
def test_bad_bytes_are_refused(data):
    with pytest.raises(peer.BadFrame):
        peer.Unpacker().feed(data)


CONTACT = Contact("10.0.0.9:1", 3, 77)
SHARES = [
    peer.ZoneTies(3, 1, (("req-000001", "a"), ("req-000412", "b"))),
    peer.ZoneTies(3, 0, ()),
    peer.GrantRequest(3, 1 << 61, 9, 12),
    peer.Grant(3, 1 << 61, 9, 1400, 55, True, 4, (peer.Share(1, "n2", 7, 90, 12),)),
    peer.Entries(
        3,
        5,
        0,
        2,
        (
            Entry("m-1", "box", "a", True, 1, 1 << 45, 2, True, False, True, False, False, CONTACT),
            Entry("m-2", "box", "b", False, 255, 7, gone=True),
        ),
    ),
    peer.Statuses(
        3,
        5,
        2,
        3,
        (Status("m-1", 1 << 45, True, True, False, True, 1, False, 4.0, CONTACT), Status("m-2", 7)),
    ),
    peer.MachineRequests(3, 1, 12, (("req-000001", 40, 2.5),)),
]


def test_frames_of_shares_survive_and_cut_ones_are_refused():
    for frame in SHARES:
        data = peer.pack(frame)
        assert peer.Unpacker().feed(data) == [frame]
        body = data[peer.HEADER.size :]
        for bad in (body[:-1], body + b"\0"):
            head = peer.HEADER.pack(peer.MAGIC, peer.VERSION, data[3], len(bad))
            with pytest.raises(peer.BadFrame):
                peer.Unpacker().feed(head + bad)

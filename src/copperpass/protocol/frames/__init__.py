"""Frames between controllers: the messages, their encoding, and the splitting of a byte stream.

A frame is a header (magic, version, kind, payload length) and a payload, both packed with `struct`.
A connection carries frames in one direction, from the member that opened it. Its first frame is
`Hello` with the name of that member.
"""

"""Frames between controllers: the messages, their bytes, and how a stream is cut into them.

A frame is a header (magic, version, kind, length) and a payload, packed by hand with `struct`. The
first frame on a connection is `Hello` with the sender's name; connections carry frames one way,
from the member that opened them.
"""

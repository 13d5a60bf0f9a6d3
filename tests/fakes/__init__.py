"""Fakes of the outside systems, written from the protocol."""

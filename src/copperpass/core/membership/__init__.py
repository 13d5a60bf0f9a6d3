"""The members: the versions they run, their heartbeats, and what isolation of one leads to."""

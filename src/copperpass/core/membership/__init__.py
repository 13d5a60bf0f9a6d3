"""Cluster membership: member versions, peer heartbeats, and step-down of an isolated leader."""

"""Ownership of shards by controllers: the leader's side and the owners' side.

Covers grants and assignments (`grants`, `grant_client`), the routing table and its replication,
machines' fencing tokens and relayed heartbeats. Invariant: a shard never has two owners at once.
"""

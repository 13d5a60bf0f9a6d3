"""Which controller owns which shard of machines, from the leader's side and the owners'.

Grants and assignments (`grants`, `grant_client`), the routing table and its replication, fencing
tokens of machines, relayed heartbeats. Invariant: no shard has two owners at any moment.
"""

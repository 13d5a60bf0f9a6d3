"""Leader election: the leader lease, its extension by votes, campaigns and fencing tokens.

Invariant: at most one member has authority (may act as the leader) at any time. `leader_election`
combines the components; docs/design.md, "Leader election", has the safety argument.
"""

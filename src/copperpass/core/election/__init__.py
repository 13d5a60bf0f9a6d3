"""Who may act: the leader lease, its extension by all members' votes, campaigns, fencing tokens.

Invariant: at no moment do two members have authority. `leader_election` composes the parts; the
argument is in docs/design.md, "Leader election".
"""

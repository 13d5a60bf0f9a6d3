"""Who may act: the leader lease, quorum votes during an outage, and campaigns."""

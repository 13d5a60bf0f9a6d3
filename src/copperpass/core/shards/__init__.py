"""Which controller owns which shard of machines: grants, routing tables, relayed heartbeats."""

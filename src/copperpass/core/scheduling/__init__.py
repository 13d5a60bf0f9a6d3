"""An owner's scheduler of one shard: what runs on its machines, and what is asked of the leader.

`shard_scheduler` wires the parts, one job a module. A worker's heartbeat goes through `heartbeats`,
`task_reconciliation` and `task_statuses`; a dispatch round through `dispatcher`, `dispatch_round`,
`team_queues` and `bin_packing`, with `allocation` for the shares of the teams; what is sent to
machines through `tasks` and `commands`. Invariant: a task is where it may be until a heartbeat, the
end of its agent epoch or the cloud proves it gone.
"""

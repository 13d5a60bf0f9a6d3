"""The scheduler of one shard, run by the shard's owner.

It places tasks on the shard's machines and reports to the leader which machines it needs.
`shard_scheduler` connects the modules, each of which has one responsibility. `heartbeats`,
`task_reconciliation` and `task_statuses` process a worker's heartbeat. `dispatcher`,
`dispatch_round`, `team_queues` and `bin_packing` run a dispatch round, with `allocation` for the
shares of the teams. `tasks` and `commands` send commands to machines. Invariant: a task counts as
present on every machine where it may be, until a heartbeat, the end of its agent epoch or the
cloud proves that it is gone.
"""

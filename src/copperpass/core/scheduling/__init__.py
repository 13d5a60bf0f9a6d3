"""The parts of a shard's scheduler, one job a module; `core.pool_scheduler` wires them."""

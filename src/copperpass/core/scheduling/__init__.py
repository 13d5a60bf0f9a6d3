"""The parts of a pool's scheduler, one job a module; `core.pool_scheduler` wires them."""

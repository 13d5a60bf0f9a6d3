"""The deterministic core: applies inputs and queues calls, replies and frames; it does no I/O."""

"""copperpass: a cluster scheduler with replicated, fault-tolerant controllers."""

__version__ = "0.5.0"

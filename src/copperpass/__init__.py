"""copperpass: a cluster scheduler whose controllers keep every rule whatever fails."""

__version__ = "0.5.0"

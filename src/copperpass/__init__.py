"""copperpass: a cluster scheduler whose controllers keep every rule whatever fails."""

__version__ = "0.4.0"

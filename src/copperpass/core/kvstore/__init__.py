"""Access to the key-value store: watch cache, compare-and-swap transactions, keys."""

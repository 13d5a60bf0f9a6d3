"""Access to the key-value store: all keys, the watch cache, compare-and-swap transactions.

`keys` says who writes each key and what guards it. Within the store's limits many operations share
one transaction (`transactions`, `batches`); the outcome of each is one of `TransactionOutcome`.
"""

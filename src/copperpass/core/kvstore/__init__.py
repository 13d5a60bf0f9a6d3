"""Access to the key-value store: all keys, the watch cache, compare-and-swap transactions.

`keys` documents the writer and the guards of each key. Operations are merged into transactions
within the store's limits (`transactions`, `batches`); each ends with its own `TransactionOutcome`.
"""

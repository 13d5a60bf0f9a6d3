"""Users' requests: validation, idempotent submission, polls and cancellations.

Every member serves them in the same way, whether it leads or not: the key-value store arbitrates. A
request that can't be served is refused with 503 and `Retry-After`.
"""

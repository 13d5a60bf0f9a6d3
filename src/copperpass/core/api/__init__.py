"""Requests of users: validation, idempotent submission, polls and cancellations."""

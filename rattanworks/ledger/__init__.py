"""Idempotency keys, claimed through the store."""

"""Slots, queue and plan limits at the node that owns an endpoint."""

"""Frozen data classes of the domain."""

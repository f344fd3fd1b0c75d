"""Helpers with no knowledge of the domain."""

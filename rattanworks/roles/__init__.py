"""Roles that one node at a time holds under a store lease."""

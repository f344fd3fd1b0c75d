"""Translates between the users' platform and the product; makes no decisions."""

"""Typed settings that validate themselves."""

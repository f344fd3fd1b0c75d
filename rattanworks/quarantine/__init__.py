"""Quarantine of calls that crash the backend servers that run them."""

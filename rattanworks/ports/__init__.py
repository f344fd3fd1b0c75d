"""Interfaces to everything outside the process."""

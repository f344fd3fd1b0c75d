"""Discrete-event simulation of services, callers and nodes under load."""

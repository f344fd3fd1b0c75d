"""Cluster membership: which endpoints exist, as agreed among the nodes."""

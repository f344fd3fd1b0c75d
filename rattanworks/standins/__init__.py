"""Stand-ins for the store and for backend servers."""

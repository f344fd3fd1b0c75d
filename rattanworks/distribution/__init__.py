"""Distribution of accepted configuration versions to every node."""

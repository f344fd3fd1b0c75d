"""Model of services, callers and nodes under load, without processes."""

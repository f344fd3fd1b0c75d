"""The audit trail of accepted changes."""

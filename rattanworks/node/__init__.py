"""The node daemon and its composition root."""

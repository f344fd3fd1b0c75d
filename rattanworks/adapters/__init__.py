"""Implementations of the ports over real protocols."""

import os

# gRPC reads these variables once, at its first import. With its event engine
# disabled, its eight worker threads wake up far less often in an idle process.
os.environ.setdefault("GRPC_EXPERIMENTS", "-event_engine_client,-event_engine_listener")

# gRPC's log lines are not key=value pairs and would be mixed with the log events.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

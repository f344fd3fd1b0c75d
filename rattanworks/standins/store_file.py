"""Saves the store stand-in's records to a file and loads them after a restart."""

from pathlib import Path

from rattanworks.ports.base import WatchEvent
from rattanworks.utils.codec import decode_json, encode_json


def save_records(store, path):
    """Write all records to the file at ``path``, as one JSON object."""
    Path(path).write_bytes(encode_json(store.list("")))


def load_records(store, path):
    """Load the records of an earlier run if the file exists.

    The file has no leases: before saving, the process ends all of them, which deletes
    the records attached to them.
    """
    if Path(path).exists():
        event = decode_json(Path(path).read_bytes(), WatchEvent)
        store.restore(event.entries, event.revision)

"""A settings file that may change while the node runs, with or without a signal."""

import os


class WatchedFile:
    """Detects changes of a file; ``load()`` reads and validates it."""

    def __init__(self, path, load):
        self.path = path
        self.load = load
        self._is_change_expected = False
        self._last_stamp = self._read_stamp()

    def expect_change(self):
        """Make the next is_changed() return True whatever the file's stamp."""
        self._is_change_expected = True

    def is_changed(self):
        """Return whether the file has changed since the last call."""
        stamp = self._read_stamp()
        is_changed = stamp != self._last_stamp or self._is_change_expected
        self._last_stamp = stamp
        self._is_change_expected = False
        return is_changed

    def _read_stamp(self):
        try:
            status = os.stat(self.path)
        except OSError:
            # The file may be in the middle of a replacement. None counts as a change,
            # so that the caller runs load(), which reports the cause.
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

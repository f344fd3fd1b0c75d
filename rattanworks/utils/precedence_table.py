"""A table that replaces a row only by one of a higher precedence."""

import threading
from collections import OrderedDict

from rattanworks.utils.digest import BUCKETS, bucket_of, digest_of

MAX_FORGOTTEN_NAMES = 4096


def _never(row):
    return False


class PrecedenceTable:
    """Keeps, for each name, the row of the highest precedence seen.

    ``name_of`` returns the name of a row; ``is_retired`` returns whether a row is
    final and may be forgotten after a while. Digests leave out retired rows, so
    that tables agree whether or not they still keep them. Readers use
    ``rows_by_name`` without the lock: it is replaced as a whole and never changed
    in place. Listeners are called, outside the lock, with the tuple of the rows
    that a merge updated.
    """

    def __init__(self, name_of, is_retired=_never):
        self._name_of = name_of
        self._is_retired = is_retired
        self._lock = threading.RLock()
        self._listeners = []
        self._bucket_digests = [0] * BUCKETS
        self._retired_before = set()
        self._forgotten = OrderedDict()
        self.rows_by_name = {}
        self.digest = 0

    @property
    def bucket_digests(self):
        """Return the digest of each bucket."""
        with self._lock:
            return tuple(self._bucket_digests)

    def add_listener(self, listener):
        """Call ``listener`` with the updated rows of each merge."""
        self._listeners.append(listener)

    def merge(self, rows):
        """Store the rows of a higher precedence than the known ones and return them."""
        with self._lock:
            updates = {}
            for row in rows:
                self._merge_row(row, updates)
            if not updates:
                return ()
            self.rows_by_name = {**self.rows_by_name, **updates}
        rows = tuple(updates.values())
        for listener in self._listeners:
            listener(rows)
        return rows

    def _merge_row(self, row, updates):
        name = self._name_of(row)
        known = updates.get(name) or self.rows_by_name.get(name)
        if known is not None and row.precedence <= known.precedence:
            return
        if known is None and row.precedence <= self._forgotten.get(name, ()):
            return
        if known is None and self._is_retired(row):
            # No reader needs the row, but an older row must not be accepted later.
            self._remember_precedence(name, row.precedence)
            return
        self._toggle_digest(known)
        self._toggle_digest(row)
        updates[name] = row

    def _toggle_digest(self, row):
        if row is None or self._is_retired(row):
            return
        name = self._name_of(row)
        digest = digest_of(name, row.precedence)
        self._bucket_digests[bucket_of(name)] ^= digest
        self.digest ^= digest

    def _remember_precedence(self, name, precedence):
        self._forgotten[name] = precedence
        self._forgotten.move_to_end(name)
        while len(self._forgotten) > MAX_FORGOTTEN_NAMES:
            self._forgotten.popitem(last=False)

    def forget_retired(self):
        """Remove the rows that were already retired at the previous call.

        The precedences of the last MAX_FORGOTTEN_NAMES names are kept, so that an
        older row cannot bring a name back.
        """
        with self._lock:
            rows = dict(self.rows_by_name)
            retired = {name for name, row in rows.items() if self._is_retired(row)}
            for name in retired & self._retired_before:
                self._remember_precedence(name, rows.pop(name).precedence)
            self._retired_before = retired & rows.keys()
            self.rows_by_name = rows

    def drop(self, names):
        """Remove rows that no longer matter, without keeping their precedences."""
        with self._lock:
            rows = dict(self.rows_by_name)
            for name in names:
                self._toggle_digest(rows.pop(name, None))
            self.rows_by_name = rows

    def precedence_of(self, name):
        """Return the highest precedence seen of a name, () if none is known."""
        row = self.rows_by_name.get(name)
        return row.precedence if row else self._forgotten.get(name, ())

    def differing_buckets(self, bucket_digests):
        """Return the buckets whose digest differs from this table's."""
        own = self.bucket_digests
        return [
            bucket
            for bucket, digest in enumerate(bucket_digests[:BUCKETS])
            if digest != own[bucket]
        ]

    def precedences_in(self, buckets):
        """Return the precedences, by name, of the rows in some buckets."""
        buckets = set(buckets)
        if not buckets:
            return {}
        return {
            name: row.precedence
            for name, row in self.rows_by_name.items()
            if bucket_of(name) in buckets
        }

    def rows_by_bucket(self):
        """Return the rows that are not retired, by bucket."""
        rows = {}
        for name, row in self.rows_by_name.items():
            if not self._is_retired(row):
                rows.setdefault(bucket_of(name), []).append(row)
        return rows

    def compare(self, known, buckets=None):
        """Return the rows newer than in ``known`` and the names newer in ``known``.

        ``known`` has another table's precedences by name. ``buckets``, when given,
        limits the rows to these buckets. Retired rows whose names ``known`` lacks
        are left out, since a table that never had them does not need them.
        """
        rows = self.rows_by_name
        missing = tuple(
            row
            for name, row in rows.items()
            if (buckets is None or bucket_of(name) in buckets)
            and (name in known or not self._is_retired(row))
            and tuple(known.get(name, ())) < row.precedence
        )
        wanted = tuple(
            name
            for name, precedence in known.items()
            if self.precedence_of(name) < tuple(precedence)
        )
        return missing, wanted

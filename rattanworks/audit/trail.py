"""The accepted versions, newest first, with the changes that each made."""

import itertools
from dataclasses import dataclass

from rattanworks.distribution.changes import Change, compare_lists
from rattanworks.exceptions import ContentCollectedError
from rattanworks.model.version import Manifest


@dataclass(frozen=True, slots=True)
class TrailEntry:
    """One accepted version and the entries it changed.

    ``changes`` is None when the blobs of the version or of its parent were deleted by
    a GarbageCollector.
    """

    manifest: Manifest
    changes: tuple[Change, ...] | None

    @property
    def from_version(self):
        """Return the number of the parent version."""
        return self.manifest.version - 1


def accepted_manifests(archive, limit):
    """Yield up to ``limit`` manifests, the current version's first."""
    return itertools.islice(archive.chain(), limit)


def trail_entries(archive, limit):
    """Yield up to ``limit`` TrailEntries, the current version's first."""
    for manifest in accepted_manifests(archive, limit):
        yield TrailEntry(manifest, _changes(archive, manifest))


def _changes(archive, manifest):
    try:
        before = archive.lists(archive.parent(manifest))
        return compare_lists(before, archive.lists(manifest))
    except ContentCollectedError:
        return None

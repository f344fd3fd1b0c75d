"""Configuration versions: immutable blobs, a manifest, and one head record."""

import hashlib
from dataclasses import dataclass

from rattanworks.model.endpoint import Counter, Name


def content_hash(content):
    """Return the hexadecimal SHA-256 of ``content``, the name of its blob."""
    return hashlib.sha256(content).hexdigest()


@dataclass(frozen=True, slots=True)
class BlobReference:
    """A named part of a version and the hash of its content."""

    name: str
    hash: str


@dataclass(frozen=True, slots=True)
class Manifest:
    """What a version consists of and where it came from.

    ``accepted_at`` is in seconds since the Unix epoch. ``parent_hash`` is the
    hash of the manifest this version was made from, empty for the first.
    """

    version: Counter
    parent_hash: str
    author: str
    message: str
    operation_id: str
    accepted_at: float
    blobs: tuple[BlobReference, ...]


@dataclass(frozen=True, slots=True)
class Head:
    """The accepted version: its number and the hash of its manifest."""

    version: Counter
    manifest_hash: Name


NO_HEAD = Head(0, "")

"""Types that the client of the users' object store returns."""

from __future__ import annotations

from typing import NamedTuple


class StoredObject(NamedTuple):
    """An object of the store; ``body`` is its encoded specification.

    ``created_revision`` is the store's revision at its creation, ``revision`` that of
    its last change.
    """

    name: str
    revision: int
    created_revision: int
    body: bytes
    is_deleting: bool


class ObjectList(NamedTuple):
    """All objects of a kind, and the revision to watch from."""

    objects: tuple[StoredObject, ...]
    revision: int


class ObjectChange(NamedTuple):
    """An object that was written, or deleted if ``is_removed``."""

    object: StoredObject
    is_removed: bool


class WatchResult(NamedTuple):
    """Changes since a revision, and the revision to continue from."""

    changes: tuple[ObjectChange, ...]
    revision: int


class ObjectPage(NamedTuple):
    """A page of a list; the next one starts after the name ``after``, if not empty."""

    objects: tuple[StoredObject, ...]
    revision: int
    after: str

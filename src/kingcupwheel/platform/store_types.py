"""What the users' object store holds and tells, as the rest of the product sees it."""

from __future__ import annotations

from typing import NamedTuple


class StoredObject(NamedTuple):
    """An object: ``body`` is its specification, still encoded.

    ``created`` is the store's revision when it was made, ``revision`` that of its last
    change.
    """

    name: str
    revision: int
    created_revision: int
    body: bytes
    is_deleting: bool


class ObjectList(NamedTuple):
    """The objects of a kind and the revision to watch from."""

    objects: tuple[StoredObject, ...]
    revision: int


class ObjectChange(NamedTuple):
    """An object that was written, or with ``removed`` is gone."""

    object: StoredObject
    is_removed: bool


class WatchResult(NamedTuple):
    """What happened since a revision, and the one to go on from."""

    changes: tuple[ObjectChange, ...]
    revision: int


class ObjectPage(NamedTuple):
    """A part of a list; the next one begins after the name ``after``, if any."""

    objects: tuple[StoredObject, ...]
    revision: int
    after: str

"""Errors of the manifest layer."""

from __future__ import annotations

from typing import NamedTuple


class VersionConflict(NamedTuple):
    """Another manifest was accepted first.

    ``expected`` is the version the operator saw, ``found`` the one in force now, 0 if
    there is none.
    """

    expected_version: int
    found_version: int

    def __str__(self) -> str:
        return (
            f"not accepted: made for version {self.expected_version}, but version"
            f" {self.found_version} is in force"
        )


class PlatformFailure(NamedTuple):
    """The platform could not be used; nothing was accepted."""

    detail: str

    def __str__(self) -> str:
        return f"the platform failed: {self.detail}"


class UnknownOutcome(NamedTuple):
    """The confirmation was lost and could not be read back in time.

    The manifest may be in force; ``submission`` is its id.
    """

    submission_id: str
    detail: str

    def __str__(self) -> str:
        return (
            f"may be accepted or not (submission {self.submission_id}): {self.detail}"
        )


class ObjectTooLarge(NamedTuple):
    """An object of the manifest is over the platform's limit; sizes in bytes."""

    key: str
    size_bytes: int
    limit_bytes: int

    def __str__(self) -> str:
        return (
            f"{self.key}: {self.size_bytes} bytes are over the limit of"
            f" {self.limit_bytes}"
        )


class InvalidObject(NamedTuple):
    """A stored object is not what its key or its index says."""

    key: str
    detail: str

    def __str__(self) -> str:
        return f"{self.key}: {self.detail}"


class MissingObject(NamedTuple):
    """Nobody who was asked has the object."""

    key: str

    def __str__(self) -> str:
        return f"{self.key}: not found"


SubmitError = VersionConflict | PlatformFailure | UnknownOutcome | ObjectTooLarge
FetchError = PlatformFailure | InvalidObject | MissingObject

"""Errors that operations on the manifest return."""

from __future__ import annotations

from typing import NamedTuple


class VersionConflict(NamedTuple):
    """Another manifest was accepted first.

    ``expected_version`` is the version that the submission is based on,
    ``found_version`` the one in force, 0 if there is none.
    """

    expected_version: int
    found_version: int

    def __str__(self) -> str:
        return (
            f"not accepted: made for version {self.expected_version}, but version"
            f" {self.found_version} is in force"
        )


class PlatformFailure(NamedTuple):
    """A call to the platform failed; nothing was accepted."""

    detail: str

    def __str__(self) -> str:
        return f"the platform failed: {self.detail}"


class UnknownOutcome(NamedTuple):
    """The confirmation was lost, and the index could not be read back in time.

    The manifest may be in force.
    """

    submission_id: str
    detail: str

    def __str__(self) -> str:
        return (
            f"unknown whether submission {self.submission_id} was accepted:"
            f" {self.detail}"
        )


class ObjectTooLarge(NamedTuple):
    """An object of the manifest exceeds the platform's size limit."""

    key: str
    size_bytes: int
    limit_bytes: int

    def __str__(self) -> str:
        return (
            f"{self.key}: {self.size_bytes} bytes exceed the limit of"
            f" {self.limit_bytes}"
        )


class InvalidObject(NamedTuple):
    """A stored object is malformed or does not match its digest."""

    key: str
    detail: str

    def __str__(self) -> str:
        return f"{self.key}: {self.detail}"


class MissingObject(NamedTuple):
    """The object does not exist."""

    key: str

    def __str__(self) -> str:
        return f"{self.key}: not found"


SubmitError = VersionConflict | PlatformFailure | UnknownOutcome | ObjectTooLarge
FetchError = PlatformFailure | InvalidObject | MissingObject

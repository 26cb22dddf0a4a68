"""Reads a manifest as the build pipeline writes it and checks it whole."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.manifest.checks import find_manifest_problems
from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.utils.strict_yaml import parse_yaml
from kingcupwheel.utils.struct_validation import convert_to_type


if TYPE_CHECKING:
    from collections.abc import Collection

    from kingcupwheel.utils.validation_problems import ValidationProblems


def load_manifest(
    text: str, *, placements: Collection[str] = ()
) -> Result[Manifest, ValidationProblems]:
    """Return the manifest in ``text`` (YAML or JSON), or all that is wrong with it.

    ``placements`` are the known placement policies; none are checked if it is empty.
    Cross references are looked at once every field has the right type.
    """
    return (
        _parse(text)
        .bind(lambda data: convert_to_type(data, Manifest))
        .bind(lambda manifest: check_manifest(manifest, placements=placements))
    )


def check_manifest(
    manifest: Manifest, *, placements: Collection[str] = ()
) -> Result[Manifest, ValidationProblems]:
    """Return ``manifest``, or every field whose value is out of place."""
    problems = tuple(find_manifest_problems(manifest, placements))
    return Error(problems) if problems else Ok(manifest)


def _parse(text: str) -> Result[Any, ValidationProblems]:
    # JSON is read by a parser of its own, which is far faster than YAML's.
    if text.lstrip().startswith("{"):
        try:
            return Ok(msgspec.json.decode(text))
        except msgspec.DecodeError:
            return parse_yaml(text)
    return parse_yaml(text)

"""Loads a manifest as written by the build pipeline and validates it."""

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
    """Return the manifest in ``text`` (YAML or JSON), or all problems found.

    ``placements`` are the known placement policies; if empty, names of policies are not
    checked. Values and cross references are checked only if all types are correct.
    """
    return (
        _parse(text)
        .bind(lambda data: convert_to_type(data, Manifest))
        .bind(lambda manifest: check_manifest(manifest, placements=placements))
    )


def check_manifest(
    manifest: Manifest, *, placements: Collection[str] = ()
) -> Result[Manifest, ValidationProblems]:
    """Return ``manifest``, or all fields with an invalid value."""
    problems = tuple(find_manifest_problems(manifest, placements))
    return Error(problems) if problems else Ok(manifest)


def _parse(text: str) -> Result[Any, ValidationProblems]:
    # JSON has its own parser because it is much faster than that of YAML.
    if text.lstrip().startswith("{"):
        try:
            return Ok(msgspec.json.decode(text))
        except msgspec.DecodeError:
            return parse_yaml(text)
    return parse_yaml(text)

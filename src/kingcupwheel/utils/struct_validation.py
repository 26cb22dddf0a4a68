"""Finds every field of the wrong type, where msgspec stops at the first."""

from __future__ import annotations

from types import UnionType
from typing import TYPE_CHECKING
from typing import Any
from typing import Union
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.utils.validation_problems import ValidationProblem
from kingcupwheel.utils.validation_problems import ValidationProblems
from kingcupwheel.utils.validation_problems import join_field_path


if TYPE_CHECKING:
    from collections.abc import Iterator


def convert_to_type(
    data: Any, expected_type: type[Any]
) -> Result[Any, ValidationProblems]:
    """Return plain ``data`` as a ``kind``, or every field that doesn't fit."""
    try:
        return Ok(msgspec.convert(data, expected_type))
    except msgspec.ValidationError as error:
        problems = tuple(_find_problems(data, expected_type, ""))
        return Error(problems or (ValidationProblem("", str(error)),))


def _find_problems(
    data: Any, expected_type: Any, path: str
) -> Iterator[ValidationProblem]:
    try:
        msgspec.convert(data, expected_type)
    except msgspec.ValidationError as error:
        yield from _find_nested_problems(
            data, _unwrap_optional(expected_type), path, error
        )


def _find_nested_problems(
    data: Any, expected_type: Any, path: str, error: msgspec.ValidationError
) -> Iterator[ValidationProblem]:
    if _is_struct(expected_type) and isinstance(data, dict):
        yield from _find_struct_problems(data, expected_type, path)
    elif get_origin(expected_type) is tuple and isinstance(data, list):
        item_kind = get_args(expected_type)[0]
        for index, item in enumerate(data):
            yield from _find_problems(item, item_kind, f"{path}[{index}]")
    else:
        yield ValidationProblem(path, _to_yaml_terms(str(error)))


def _find_struct_problems(
    data: dict[Any, Any], struct_type: type[msgspec.Struct], path: str
) -> Iterator[ValidationProblem]:
    kinds_by_field = get_type_hints(struct_type)
    for name in data:
        if name not in kinds_by_field:
            yield ValidationProblem(join_field_path(path, str(name)), "unknown field")
    for field in msgspec.structs.fields(struct_type):
        where = join_field_path(path, field.name)
        if field.name in data:
            yield from _find_problems(
                data[field.name], kinds_by_field[field.name], where
            )
        elif field.required:
            yield ValidationProblem(where, "missing")


def _to_yaml_terms(message: str) -> str:
    plain = message.replace("`", "")
    for theirs, ours in (("object", "mapping"), ("array", "list"), ("null", "nothing")):
        plain = plain.replace(theirs, ours)
    return plain[:1].lower() + plain[1:]


def _is_struct(expected_type: Any) -> bool:
    return isinstance(expected_type, type) and issubclass(expected_type, msgspec.Struct)


def _unwrap_optional(expected_type: Any) -> Any:
    if get_origin(expected_type) not in (Union, UnionType):
        return expected_type
    others = [arm for arm in get_args(expected_type) if arm is not type(None)]
    return others[0] if len(others) == 1 else expected_type

"""Conversion of plain data to structs that reports every invalid field.

msgspec itself stops at the first one.
"""

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
    """Return plain ``data`` as ``expected_type``, or a problem per invalid field."""
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
        item_type = get_args(expected_type)[0]
        for index, item in enumerate(data):
            yield from _find_problems(item, item_type, f"{path}[{index}]")
    else:
        yield ValidationProblem(path, _to_yaml_terms(str(error)))


def _find_struct_problems(
    data: dict[Any, Any], struct_type: type[msgspec.Struct], path: str
) -> Iterator[ValidationProblem]:
    type_by_field = get_type_hints(struct_type)
    for name in data:
        if name not in type_by_field:
            yield ValidationProblem(join_field_path(path, str(name)), "unknown field")
    for field in msgspec.structs.fields(struct_type):
        field_path = join_field_path(path, field.name)
        if field.name in data:
            yield from _find_problems(
                data[field.name], type_by_field[field.name], field_path
            )
        elif field.required:
            yield ValidationProblem(field_path, "missing")


def _to_yaml_terms(message: str) -> str:
    plain = message.replace("`", "")
    for json_term, yaml_term in (
        ("object", "mapping"),
        ("array", "list"),
        ("null", "nothing"),
    ):
        plain = plain.replace(json_term, yaml_term)
    return plain[:1].lower() + plain[1:]


def _is_struct(expected_type: Any) -> bool:
    return isinstance(expected_type, type) and issubclass(expected_type, msgspec.Struct)


def _unwrap_optional(expected_type: Any) -> Any:
    if get_origin(expected_type) not in (Union, UnionType):
        return expected_type
    others = [member for member in get_args(expected_type) if member is not type(None)]
    return others[0] if len(others) == 1 else expected_type

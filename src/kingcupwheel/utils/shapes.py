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

from kingcupwheel.utils.problems import ValidationProblem
from kingcupwheel.utils.problems import ValidationProblems
from kingcupwheel.utils.problems import join_field_path


if TYPE_CHECKING:
    from collections.abc import Iterator


def convert_to_type(data: Any, kind: type[Any]) -> Result[Any, ValidationProblems]:
    """Return plain ``data`` as a ``kind``, or every field that doesn't fit."""
    try:
        return Ok(msgspec.convert(data, kind))
    except msgspec.ValidationError as error:
        problems = tuple(_problems(data, kind, ""))
        return Error(problems or (ValidationProblem("", str(error)),))


def _problems(data: Any, kind: Any, path: str) -> Iterator[ValidationProblem]:
    try:
        msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        yield from _inner_problems(data, _without_none(kind), path, error)


def _inner_problems(
    data: Any, kind: Any, path: str, error: msgspec.ValidationError
) -> Iterator[ValidationProblem]:
    if _is_record(kind) and isinstance(data, dict):
        yield from _record_problems(data, kind, path)
    elif get_origin(kind) is tuple and isinstance(data, list):
        item_kind = get_args(kind)[0]
        for index, item in enumerate(data):
            yield from _problems(item, item_kind, f"{path}[{index}]")
    else:
        yield ValidationProblem(path, _in_words_of_yaml(str(error)))


def _record_problems(
    data: dict[Any, Any], kind: type[msgspec.Struct], path: str
) -> Iterator[ValidationProblem]:
    kinds_by_field = get_type_hints(kind)
    for name in data:
        if name not in kinds_by_field:
            yield ValidationProblem(join_field_path(path, str(name)), "unknown field")
    for field in msgspec.structs.fields(kind):
        where = join_field_path(path, field.name)
        if field.name in data:
            yield from _problems(data[field.name], kinds_by_field[field.name], where)
        elif field.required:
            yield ValidationProblem(where, "missing")


def _in_words_of_yaml(message: str) -> str:
    plain = message.replace("`", "")
    for theirs, ours in (("object", "mapping"), ("array", "list"), ("null", "nothing")):
        plain = plain.replace(theirs, ours)
    return plain[:1].lower() + plain[1:]


def _is_record(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _without_none(kind: Any) -> Any:
    if get_origin(kind) not in (Union, UnionType):
        return kind
    others = [arm for arm in get_args(kind) if arm is not type(None)]
    return others[0] if len(others) == 1 else kind

"""Reference tables of docs/configuration.md, generated from the schema and parsed."""

from __future__ import annotations

from enum import EnumMeta
from types import UnionType
from typing import Any
from typing import NamedTuple
from typing import Union
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import msgspec


_TYPE_NAMES = {str: "text", int: "whole number", float: "number", bool: "true or false"}


class Row(NamedTuple):
    """A field's type and default as documented."""

    type: str
    default: str


def rows_by_record(*roots: type[msgspec.Struct]) -> dict[str, dict[str, Row]]:
    """Return the expected rows of ``roots`` and nested records, by record and field."""
    rows: dict[str, dict[str, Row]] = {}
    pending = list(roots)
    while pending:
        record = pending.pop(0)
        if record.__name__ in rows:
            continue
        type_by_field = get_type_hints(record)
        rows[record.__name__] = {
            field.name: Row(_type_text(type_by_field[field.name]), _default_text(field))
            for field in msgspec.structs.fields(record)
        }
        for kind in type_by_field.values():
            pending.extend(_records_in(kind))
    return rows


def documented_rows(page: str) -> dict[str, dict[str, Row]]:
    """Return the rows of the page, by record and field."""
    rows: dict[str, dict[str, Row]] = {}
    record = ""
    for line in page.splitlines():
        if line.startswith("### "):
            record = line.removeprefix("### ")
        elif line.startswith("| `"):
            cells = [cell.strip().replace("`", "") for cell in line.split("|")[1:-1]]
            field, kind, default, description = cells
            assert description, f"{record}.{field} has no description"
            rows.setdefault(record, {})[field] = Row(kind, default)
    return rows


def _records_in(kind: Any) -> list[type[msgspec.Struct]]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return [kind]
    return [record for member in get_args(kind) for record in _records_in(member)]


def _type_text(kind: Any) -> str:
    if kind in _TYPE_NAMES:
        return _TYPE_NAMES[kind]
    if isinstance(kind, EnumMeta):
        values: list[Any] = list(kind)
        return ", ".join(value.value for value in values)
    if get_origin(kind) is tuple:
        return f"list of {_type_text(get_args(kind)[0])}"
    if get_origin(kind) in (Union, UnionType):
        return _type_text(get_args(kind)[0])
    return str(kind.__name__)


def _default_text(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    default = field.default
    if default is None:
        return "none"
    if isinstance(default, msgspec.Struct):
        return "its defaults"
    if isinstance(default, tuple):
        return ", ".join(default) or "empty"
    if isinstance(default, str):
        return str(getattr(default, "value", default)) or "empty"
    if isinstance(default, bool):
        return str(default).lower()
    return f"{default:_}"

"""What docs/configuration.md has to say of each record, worked out from the schema."""

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


_PLAIN = {str: "text", int: "whole number", float: "number", bool: "true or false"}


class Row(NamedTuple):
    """A field's type and default as the page words them."""

    type: str
    default: str


def rows_by_record(*roots: type[msgspec.Struct]) -> dict[str, dict[str, Row]]:
    """Return the rows of every record that ``roots`` lead to, by record and field."""
    rows: dict[str, dict[str, Row]] = {}
    pending = list(roots)
    while pending:
        record = pending.pop(0)
        if record.__name__ in rows:
            continue
        kinds_by_field = get_type_hints(record)
        rows[record.__name__] = {
            field.name: Row(_type_text(kinds_by_field[field.name]), _default(field))
            for field in msgspec.structs.fields(record)
        }
        for kind in kinds_by_field.values():
            pending.extend(_records_in(kind))
    return rows


def documented_rows(page: str) -> dict[str, dict[str, Row]]:
    """Return the rows that the page has, by record and field."""
    rows: dict[str, dict[str, Row]] = {}
    record = ""
    for line in page.splitlines():
        if line.startswith("### "):
            record = line.removeprefix("### ")
        elif line.startswith("| `"):
            cells = [cell.strip().replace("`", "") for cell in line.split("|")[1:-1]]
            field, kind, default, meaning = cells
            assert meaning, f"{record}.{field} has no meaning"
            rows.setdefault(record, {})[field] = Row(kind, default)
    return rows


def _records_in(kind: Any) -> list[type[msgspec.Struct]]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return [kind]
    return [record for arm in get_args(kind) for record in _records_in(arm)]


def _type_text(kind: Any) -> str:
    if kind in _PLAIN:
        return _PLAIN[kind]
    if isinstance(kind, EnumMeta):
        values: list[Any] = list(kind)
        return ", ".join(value.value for value in values)
    if get_origin(kind) is tuple:
        return f"list of {_type_text(get_args(kind)[0])}"
    if get_origin(kind) in (Union, UnionType):
        return _type_text(get_args(kind)[0])
    return str(kind.__name__)


def _default(field: msgspec.structs.FieldInfo) -> str:
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

"""Base class of structs that are decoded from YAML, JSON or msgpack."""

from __future__ import annotations

import msgspec


class StrictStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Immutable struct that rejects unknown fields when decoded."""

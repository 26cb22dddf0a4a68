from __future__ import annotations

import pytest

from kingcupwheel.plugins.exceptions import DuplicatePluginError
from kingcupwheel.plugins.exceptions import UnknownPluginError
from kingcupwheel.plugins.registry import Registry


def test_plugin_is_found_only_under_its_name() -> None:
    registry: Registry[int] = Registry("number")
    registry.register("one")(1)

    assert registry.get("one") == 1
    assert registry.names == ("one",)
    with pytest.raises(UnknownPluginError, match="known: one"):
        registry.get("two")


def test_duplicate_plugin_name_is_rejected() -> None:
    registry: Registry[int] = Registry("number")
    registry.register("one")(1)

    with pytest.raises(DuplicatePluginError):
        registry.register("one")(2)

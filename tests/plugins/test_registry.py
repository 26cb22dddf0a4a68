from __future__ import annotations

import pytest

from kingcupwheel.plugins.exceptions import DuplicatePluginError
from kingcupwheel.plugins.exceptions import UnknownPluginError
from kingcupwheel.plugins.registry import Registry


def test_a_plugin_is_found_under_its_name_and_no_other() -> None:
    registry: Registry[int] = Registry("number")
    registry.register("one")(1)

    assert registry.get("one") == 1
    assert registry.names == ("one",)
    with pytest.raises(UnknownPluginError, match="known: one"):
        registry.get("two")


def test_two_plugins_cannot_share_a_name() -> None:
    registry: Registry[int] = Registry("number")
    registry.register("one")(1)

    with pytest.raises(DuplicatePluginError):
        registry.register("one")(2)

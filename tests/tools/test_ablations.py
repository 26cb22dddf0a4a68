from __future__ import annotations

import ast

import pytest
from tools.ablations import ABLATIONS
from tools.ablations import apply_edits


@pytest.mark.parametrize("name", ABLATIONS)
def test_each_mechanism_can_still_be_switched_off(name: str) -> None:
    """Guards against an edit that no longer matches and leaves the mechanism on."""
    for text in apply_edits(name).values():
        ast.parse(text)

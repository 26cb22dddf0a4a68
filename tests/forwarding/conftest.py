from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.forwarding.fleet import Fleet
from tests.forwarding.fleet import running_fleet


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    yield from running_fleet()

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.standins.platform import PlatformStandIn


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def platform() -> Iterator[PlatformStandIn]:
    with PlatformStandIn() as stand_in:
        yield stand_in

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.expertmaps.fleet import Fleet


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    running = Fleet()
    running.start()
    yield running
    running.stop()

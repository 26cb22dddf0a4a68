from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from kingcupwheel.manifest.store import ManifestStore
from kingcupwheel.platform.http import HttpPlatformClient
from kingcupwheel.settings.schema import PlatformSettings
from tests.standins.platform import PlatformStandIn


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def platform() -> Iterator[PlatformStandIn]:
    with PlatformStandIn() as stand_in:
        yield stand_in


@pytest.fixture
def client(platform: PlatformStandIn) -> HttpPlatformClient:
    return HttpPlatformClient(PlatformSettings(url=platform.url, timeout_s=0.5))


@pytest.fixture
def store(client: HttpPlatformClient) -> ManifestStore:
    return ManifestStore(client, retry_timeout_s=2.0)

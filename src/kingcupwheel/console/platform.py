"""How commands reach the platform's service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.plugins.kernel import load_builtin
from kingcupwheel.plugins.kernel import platform_clients
from kingcupwheel.settings.schema import PlatformSettings


if TYPE_CHECKING:
    from kingcupwheel.platform.client import PlatformClient


def open_platform(url: str, *, client: str = "http") -> PlatformClient:
    """Return a client of the platform's service at ``url``."""
    load_builtin()
    return platform_clients.get(client)(PlatformSettings(url=url, client=client))

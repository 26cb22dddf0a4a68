"""Access of commands to the platform's service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from kingcupwheel.plugins.registries import load_builtin_plugins
from kingcupwheel.plugins.registries import platform_clients
from kingcupwheel.settings.schema import PlatformSettings
from kingcupwheel.utils.urls import is_http_url


if TYPE_CHECKING:
    from kingcupwheel.platform.client import PlatformClient


def create_platform_client(url: str, *, client: str = "http") -> PlatformClient:
    """Return a client of the platform's service at ``url``.

    ``client`` is the name of a platform client plug-in. Raises click.BadParameter if
    ``url`` is not an HTTP or HTTPS URL.
    """
    if not is_http_url(url):
        message = f"{url!r} is no http:// or https:// address."
        raise click.BadParameter(message, param_hint="--platform")
    load_builtin_plugins()
    return platform_clients.get(client)(PlatformSettings(url=url, client=client))

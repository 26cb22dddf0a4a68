"""The plug-in registries, one for each kind of plug-in.

``load_builtin_plugins`` imports ``BUILTIN_MODULES``; each module registers its plug-ins
on import. A user of the library registers further plug-ins the same way.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING
from typing import Any

from kingcupwheel.plugins.registry import Registry


if TYPE_CHECKING:
    from collections.abc import Callable

    from kingcupwheel.agent.adapters.base import ServerAdapter
    from kingcupwheel.decisions.placement import PlacementPolicy
    from kingcupwheel.expertmaps.rank_api import RankApi
    from kingcupwheel.platform.client import PlatformClient


platform_clients: Registry[Callable[..., PlatformClient]] = Registry("platform client")
server_adapters: Registry[Callable[..., ServerAdapter]] = Registry("server adapter")
placement_policies: Registry[Callable[[], PlacementPolicy]] = Registry(
    "placement policy"
)
rank_apis: Registry[Callable[..., RankApi]] = Registry("rank API")
codecs: Registry[Any] = Registry("codec")

PLACEMENT_MODULES = (
    "kingcupwheel.decisions.placement",
    "kingcupwheel.decisions.baseline_policies",
)
BUILTIN_MODULES = (
    "kingcupwheel.platform.http",
    "kingcupwheel.messages.codec",
    *PLACEMENT_MODULES,
    "kingcupwheel.agent.adapters.engine",
    "kingcupwheel.agent.adapters.service",
    "kingcupwheel.expertmaps.rank_api",
)


def load_builtin_plugins() -> None:
    """Import every built-in plug-in module, which registers its plug-ins."""
    for module in BUILTIN_MODULES:
        import_module(module)


def load_placement_policies() -> None:
    """Import only the placement policies, for processes that use no other plug-in."""
    for module in PLACEMENT_MODULES:
        import_module(module)

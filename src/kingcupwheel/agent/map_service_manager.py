"""Manager of the agent's expert map service, which depends on the manifest."""

from __future__ import annotations

import logging
from threading import Lock
from typing import TYPE_CHECKING

from kingcupwheel.expertmaps.service import MapService
from kingcupwheel.messages.expertmaps import MapOrder
from kingcupwheel.messages.expertmaps import MapReply
from kingcupwheel.plugins.registries import rank_apis


if TYPE_CHECKING:
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.link.links import Link
    from kingcupwheel.manifest.schema import ExpertLayout
    from kingcupwheel.manifest.schema import ServerGroup
    from kingcupwheel.messages.base import Message
    from kingcupwheel.platform.client import PlatformClient
    from kingcupwheel.settings.schema import ServerSettings

logger = logging.getLogger("kingcupwheel.agent")


class MapServiceManager:
    """Runs the map service while the agent's group has experts; thread-safe."""

    def __init__(
        self,
        *,
        hub: MessageHub,
        platform: PlatformClient,
        name: str,
        group: str,
        server: ServerSettings,
    ) -> None:
        self._hub = hub
        self._platform = platform
        self._name = name
        self._group = group
        self._server = server
        self._service: MapService | None = None
        self._layout: ExpertLayout | None = None
        self._lock = Lock()

    def update_group(self, group: ServerGroup) -> None:
        """Start, stop or restart the service when the group's expert layout changes."""
        with self._lock:
            if group.experts == self._layout:
                return
            self._layout = group.experts
            self._stop_service()
            if group.experts is not None:
                self._service = self._start_service(group.experts)

    def _start_service(self, layout: ExpertLayout) -> MapService:
        server = self._server
        rank_api = rank_apis.get(server.rank_api)(
            server.rank_url or server.url, timeout_s=server.rank_timeout_s
        )
        service = MapService(
            hub=self._hub,
            platform=self._platform,
            rank_api=rank_api,
            agent_name=self._name,
            group=self._group,
            rank=server.rank,
            layout=layout,
        )
        service.start()
        logger.info(
            "Expert map service started for rank %d of %d.", server.rank, layout.ranks
        )
        return service

    def _stop_service(self) -> None:
        service, self._service = self._service, None
        if service is not None:
            service.stop()

    def stop(self) -> None:
        """Stop the service and release its lease, so that another agent takes over."""
        with self._lock:
            self._stop_service()

    def on_message(self, link: Link, message: Message) -> None:
        """Handle a message about expert maps; others are ignored."""
        service = self._service
        if service is not None and isinstance(message, MapOrder | MapReply):
            service.on_message(link, message)

    def on_tick(self, now: float) -> None:
        """Run the service's periodic work; called on the hub's thread."""
        service = self._service
        if service is not None:
            service.on_tick(now)

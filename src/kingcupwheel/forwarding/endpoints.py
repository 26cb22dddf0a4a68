"""HTTP endpoints for the readiness of an entry and the addresses of live entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kingcupwheel.entry.http_exchange import format_status_line
from kingcupwheel.platform import entry_endpoints


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from typing import Any

    from kingcupwheel.forwarding.exchange import Environ


class ReadinessEndpoint:
    """Readiness probe of this entry for the platform."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        status = 404
        if environ["PATH_INFO"] == entry_endpoints.READY_PATH:
            status = 200 if self._is_ready() else 503
        start_response(format_status_line(status), [("Content-Length", "0")])
        return (b"",)


class AddressesEndpoint:
    """Serves callers the addresses of the entries to connect to.

    ``addresses`` returns those for a caller in a data centre.
    """

    def __init__(
        self, addresses: Callable[[str], tuple[str, ...]], keep_s: float
    ) -> None:
        self._addresses = addresses
        self._keep_s = keep_s

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        if environ["PATH_INFO"] != entry_endpoints.ADDRESSES_PATH:
            start_response(format_status_line(404), [("Content-Length", "0")])
            return (b"",)
        data_centre = entry_endpoints.parse_data_centre(
            str(environ.get("QUERY_STRING", ""))
        )
        found = self._addresses(data_centre)
        if not found:
            start_response(format_status_line(503), [("Content-Length", "0")])
            return (b"",)
        body = entry_endpoints.encode_addresses(found, self._keep_s)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(format_status_line(200), headers)
        return (body,)

"""HTTP connection that tells whether any byte of a request was sent."""

from __future__ import annotations

from typing import Any

from kingcupwheel.utils.http_responses import CheckedHttpConnection


class ServerConnection(CheckedHttpConnection):
    """A connection that knows whether any byte of the current request was sent."""

    is_unsent = True

    def request(self, *args: Any, **options: Any) -> None:
        """Send a request."""
        self.is_unsent = True
        super().request(*args, **options)

    def send(self, data: Any) -> None:
        """Send ``data``, the first time with a single call to the operating system.

        ``sendall`` does not tell how many bytes it sent before it failed. A single
        ``send`` either fails and has sent nothing, or returns the number of bytes.
        """
        if self.is_unsent and isinstance(data, bytes) and self.sock is not None:
            count = self.sock.send(data)
            self.is_unsent = False
            data = data[count:]
        if data:
            super().send(data)

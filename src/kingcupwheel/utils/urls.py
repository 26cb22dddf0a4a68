"""Checks of URLs in settings and options."""

from __future__ import annotations

from urllib.parse import urlsplit


def is_http_url(text: str) -> bool:
    """Return whether ``text`` is an HTTP or HTTPS URL with a host."""
    try:
        url = urlsplit(text)
        return url.scheme in ("http", "https") and bool(url.hostname) and url.port != 0
    except ValueError:
        return False

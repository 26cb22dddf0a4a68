"""Claims: at most one run of a request that may not be repeated."""

from __future__ import annotations

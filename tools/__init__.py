"""Developer tools; the system runs without them."""

from __future__ import annotations

"""What became of each request, and why."""

from __future__ import annotations

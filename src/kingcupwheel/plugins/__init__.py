"""The kernel: registries that plug-ins add themselves to."""

from __future__ import annotations

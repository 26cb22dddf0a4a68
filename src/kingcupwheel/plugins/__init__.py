"""Plug-in registries, which plug-ins register themselves with."""

from __future__ import annotations

"""Adapters for the protocols of backend servers."""

from __future__ import annotations

"""Helpers shared by all layers."""

from __future__ import annotations

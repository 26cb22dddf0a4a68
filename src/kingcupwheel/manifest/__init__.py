"""The manifest: configuration that operators submit and all processes apply."""

from __future__ import annotations

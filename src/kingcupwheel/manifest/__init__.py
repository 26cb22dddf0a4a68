"""The manifest: what operators submit and every process follows."""

from __future__ import annotations

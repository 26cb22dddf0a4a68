"""Forwards requests directly to backend servers over HTTP."""

from __future__ import annotations

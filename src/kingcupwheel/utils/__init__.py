"""Small helpers without a layer of their own."""

from __future__ import annotations

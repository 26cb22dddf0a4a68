"""Service-level goals and how fast their error budget burns."""

from __future__ import annotations

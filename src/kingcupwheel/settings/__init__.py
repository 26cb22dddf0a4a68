"""Settings of a process: loaded from YAML, validated and immutable."""

from __future__ import annotations

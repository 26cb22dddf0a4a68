"""Settings of a process: read from YAML, validated, immutable."""

from __future__ import annotations

"""Traces of requests: recording, storage and retrieval."""

from __future__ import annotations

"""Counters and timings sent to statsd."""

from __future__ import annotations

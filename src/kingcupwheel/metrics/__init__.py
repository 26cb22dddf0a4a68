"""Counters, gauges and timers sent to statsd."""

from __future__ import annotations

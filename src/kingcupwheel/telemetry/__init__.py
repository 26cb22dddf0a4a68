"""Structured logs and Prometheus metrics, the only data that on-call staff has."""

from __future__ import annotations

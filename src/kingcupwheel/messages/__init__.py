"""Typed messages that entries, agents and the command line exchange."""

from __future__ import annotations

"""Tools for developers; none is needed to run the system."""

from __future__ import annotations

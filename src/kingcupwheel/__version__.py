"""The version of this release."""

from __future__ import annotations


__version__ = "0.1.0"

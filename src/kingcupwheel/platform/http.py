"""The platform's object API over HTTP."""

from __future__ import annotations

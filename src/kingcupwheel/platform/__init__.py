"""The platform's object API as the rest of the system sees it."""

from __future__ import annotations

"""Expert maps: planned, agreed on and put in force."""

from __future__ import annotations

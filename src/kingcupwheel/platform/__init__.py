"""Clients of the users' platform and codecs of what it sends."""

from __future__ import annotations

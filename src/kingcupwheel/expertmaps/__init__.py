"""Planning of expert maps and the protocol that changes them on all ranks."""

from __future__ import annotations

"""A load balancer for expert-parallel model groups that explains what it did."""

from __future__ import annotations

from kingcupwheel.__version__ import __version__


__all__ = ["__version__"]

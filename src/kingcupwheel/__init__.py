"""A load balancer for expert-parallel model groups, with traces of every request."""

from __future__ import annotations

from kingcupwheel.__version__ import __version__


__all__ = ["__version__"]

from __future__ import annotations

from hypothesis import settings


settings.register_profile("ci", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("ci")

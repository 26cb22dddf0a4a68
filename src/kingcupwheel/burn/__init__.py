"""Service-level goals and the burn rate of their error budgets."""

from __future__ import annotations

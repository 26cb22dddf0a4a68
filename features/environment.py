"""Ends every scenario's processes."""

from __future__ import annotations

from typing import Any


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the fleet, whatever became of the scenario; show its logs if it failed."""
    world = getattr(context, "world", None)
    if world is None:
        return
    if scenario.status.name == "failed":
        world.print_logs()
    world.close()

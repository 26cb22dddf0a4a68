"""Decides when the wait for a placement can't succeed. Pure: times are arguments."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from kingcupwheel.decisions.candidates import ALL_SERVERS_TRIED
from kingcupwheel.entry.placement_tickets import PlacementFailure


if TYPE_CHECKING:
    from kingcupwheel.decisions.candidates import NoServerAvailable
    from kingcupwheel.entry.placement_tickets import PlacementTicket


def find_placement_failure(
    ticket: PlacementTicket,
    blocked_by: NoServerAvailable,
    now: float,
    requests_ahead: int = 0,
) -> PlacementFailure | None:
    """Return why waiting can't lead to a placement, None if it can."""
    left_s = backoff_left_s(blocked_by, requests_ahead, now)
    if blocked_by.reason == ALL_SERVERS_TRIED.reason:
        # Waiting does not add a server that was not tried.
        return PlacementFailure("no-server", blocked_by.reason, left_s)
    available_at = blocked_by.available_at(requests_ahead)
    if available_at is not None and available_at >= ticket.queued.deadline_at:
        limit = "servers-rest" if blocked_by.rate_limits is None else "servers-limited"
        return PlacementFailure(limit, blocked_by.reason, left_s)
    return None


def backoff_left_s(
    blocked_by: NoServerAvailable, requests_ahead: int, now: float
) -> float:
    """Return the time until a server can take a request behind so many others.

    An entry without a share of the servers' limits can't tell; another entry's share
    then allows the next request within the interval that the limits allow to all.
    """
    available_at = blocked_by.available_at(requests_ahead)
    if available_at is None:
        return 0.0
    limits = blocked_by.rate_limits
    if limits is not None and math.isinf(available_at):
        return 1.0 / limits.total_rate
    return max(0.0, available_at - now)

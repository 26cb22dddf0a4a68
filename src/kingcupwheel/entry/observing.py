"""Where finished requests are counted: service levels and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from kingcupwheel.entry.refusals import Refusal
    from kingcupwheel.entry.requests import CallerRequest
    from kingcupwheel.messages.runs import Outcome


class Observer(Protocol):
    """Counts final outcomes; called on request threads, never blocks."""

    def refused(self, request: CallerRequest, refusal: Refusal) -> None:
        """Count a request that got no answer of a backend server."""

    def answered(
        self,
        request: CallerRequest,
        *,
        server: str,
        outcome: Outcome,
        status: int,
        first_byte_s: float | None,
        gaps_s: Sequence[float],
    ) -> None:
        """Count an answer; ``gaps_s`` are the times between chunks in seconds."""


class NoObserver:
    """Counts nothing, for uses of the library without reports."""

    def refused(self, request: CallerRequest, refusal: Refusal) -> None:
        """Do nothing."""

    def answered(
        self,
        request: CallerRequest,
        *,
        server: str,
        outcome: Outcome,
        status: int,
        first_byte_s: float | None,
        gaps_s: Sequence[float],
    ) -> None:
        """Do nothing."""

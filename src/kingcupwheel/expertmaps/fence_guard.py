"""Fencing check of an agent in front of its rank."""

from __future__ import annotations


class FenceGuard:
    """Rejects orders of a coordinator that no longer holds the lease.

    Guards against a paused coordinator that resumes a change which its successor has
    decided otherwise: ranks would step on different maps or stay held. Fences only
    rise, and a restarted agent accepts no order before it has read the lease's fence.
    So it accepts no fence lower than before the restart, except where only the former
    process had seen the fence of a newer coordinator, and that one retries its orders.
    """

    def __init__(self) -> None:
        self._highest_fence: int | None = None

    @property
    def highest_fence(self) -> int | None:
        """Highest fence seen; None before the first ``raise_to``."""
        return self._highest_fence

    def raise_to(self, fence: int) -> None:
        """Raise the highest fence to that read from the lease (0: no lease yet)."""
        self._highest_fence = max(fence, self._highest_fence or 0)

    def admit(self, fence: int) -> bool:
        """Return whether an order with ``fence`` is accepted; stores a higher fence."""
        if self._highest_fence is None or fence < self._highest_fence:
            return False
        self._highest_fence = fence
        return True

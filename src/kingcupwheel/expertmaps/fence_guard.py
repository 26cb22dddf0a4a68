"""The fence that an agent keeps before its rank."""

from __future__ import annotations


class FenceGuard:
    """Refuses orders of a coordinator whose lease has passed to another.

    Failure: a paused coordinator wakes and goes on with a change that its successor has
    settled otherwise. Symptom: ranks that step on different maps, or stay held. Enough,
    because fences only rise, and a restarted agent takes no order before it has learnt
    the lease's fence: so it never accepts less than its former life did, but for what a
    newer coordinator told that life only, and that one repeats its orders.
    """

    def __init__(self) -> None:
        self._fence: int | None = None

    @property
    def highest_fence(self) -> int | None:
        """The highest fence seen; None until ``learn`` was called."""
        return self._fence

    def raise_to(self, fence: int) -> None:
        """Take over the fence read from the lease object (0: no lease yet)."""
        self._fence = max(fence, self._fence or 0)

    def admit(self, fence: int) -> bool:
        """Tell whether an order under ``fence`` may pass; remembers a higher one."""
        if self._fence is None or fence < self._fence:
            return False
        self._fence = fence
        return True

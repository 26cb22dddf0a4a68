"""Decides which of several listed servers owns an address; does not read the clock.

A server may restart before its old entry has expired, or another writer's entry may
name its address. Every request to the address then names the wrong server and is
rejected. The rejection tells which entry is wrong.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.forwarding.backends import Backend

# A refuted entry is ignored for this long: a wrong one then costs one rejected request
# every ten seconds, and one that was right after all is soon used again.
REFUTATION_TTL_S = 10.0


class _Refutation(NamedTuple):
    """A claim to an address is wrong for incarnations started by ``started_at_ms``."""

    started_at_ms: int
    until: float


class AddressClaims:
    """Claims to addresses and their refutations; the owner has to hold a lock."""

    def __init__(self) -> None:
        self._refuted: dict[tuple[str, str], _Refutation] = {}

    def refute(self, backend: Backend, now: float) -> None:
        """Record that the server at the address states that it is another one."""
        refutation = _Refutation(backend.started_at_ms, now + REFUTATION_TTL_S)
        self._refuted[_claim_key(backend)] = refutation

    def owners_by_address(
        self,
        listed: Iterable[Backend],
        previous_by_address: Mapping[str, Backend],
        now: float,
    ) -> dict[str, Backend]:
        """Return one server for each address: the latest whose claim is not refuted.

        ``previous_by_address`` are the servers known so far.
        """
        self._refuted = {
            claim: found for claim, found in self._refuted.items() if now < found.until
        }
        by_address: dict[str, Backend] = {}
        for one in listed:
            backend = _with_reported_start(one, previous_by_address.get(one.address))
            known = by_address.get(backend.address)
            refuted = self._refuted.get(_claim_key(backend))
            if refuted is not None and backend.started_at_ms <= refuted.started_at_ms:
                continue
            if known is None or known.started_before(backend):
                by_address[backend.address] = backend
        return by_address


def _claim_key(backend: Backend) -> tuple[str, str]:
    return backend.instance, backend.address


def _with_reported_start(listed: Backend, known: Backend | None) -> Backend:
    """Return the listed server with a later start that its agent has reported."""
    if known is None or known.instance != listed.instance:
        return listed
    if listed.started_at_ms and listed.started_at_ms < known.started_at_ms:
        return listed._replace(started_at_ms=known.started_at_ms)
    return listed

"""Which of several listed servers has an address. Pure: times are arguments.

Failure: a server dies and is back before its old entry has lapsed, or another writer's
entry names its address. Symptom: every request for the address names the wrong server
and is turned away. The server there tells which is wrong.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from kingcupwheel.forwarding.backends import Backend

# An entry whose address another server has is passed over for so long, in seconds: a
# wrong one then costs one request turned away in ten seconds, and one that was right
# after all is soon used again.
REFUTATION_TTL_S = 10.0


class _Refutation(NamedTuple):
    """A server's claim to an address is wrong for lives born by then."""

    started_at_ms: int
    until: float


class AddressClaims:
    """The claims that servers have refuted; guarded by its owner."""

    def __init__(self) -> None:
        self._refuted: dict[tuple[str, str], _Refutation] = {}

    def refute(self, backend: Backend, now: float) -> None:
        """Note that the server at its address says that it is not this one."""
        refutation = _Refutation(backend.started_at_ms, now + REFUTATION_TTL_S)
        self._refuted[_claim_key(backend)] = refutation

    def owners_by_address(
        self,
        listed: Iterable[Backend],
        previous_by_address: Mapping[str, Backend],
        now: float,
    ) -> dict[str, Backend]:
        """Return one server by address: of several entries the latest not refuted.

        ``before`` are the servers by address as known until now.
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
    """Return the listed server, in the life that its agent has told already."""
    if known is None or known.instance != listed.instance:
        return listed
    if listed.started_at_ms and listed.started_at_ms < known.started_at_ms:
        return listed._replace(started_at_ms=known.started_at_ms)
    return listed

"""Requests that may crash whatever server runs them."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple


# Deaths that condemn a request. One death may be chance, or a bystander's; the second
# came on a server where no other suspect ran, and leaves it the only cause.
QUARANTINE_DEATHS = 2

# How long a request is refused, in seconds: an operator's time to look into it. After
# that one more run is tried, alone among suspects; its death quarantines it again.
QUARANTINE_S = 600.0

# How long one death is remembered: servers die for other reasons every few minutes in a
# fleet of 1,000, and two chance deaths in a day must not condemn a request.
SUSPECT_S = 600.0

# Fingerprints held at most. A dying server leaves as many as it ran at once (16 to 64);
# this holds the bystanders of some hundred deaths within the time above.
MAX_FINGERPRINTS = 4_096

# Servers and peers remembered for one fingerprint.
_MAX_SOURCES = 16


class ServerLife(NamedTuple):
    """One life of a backend server: its name and its agent's word for that life."""

    server: str
    life: str


class Clear(NamedTuple):
    """Nothing is held against the request."""


class Suspect(NamedTuple):
    """It was running when a server died; it runs where no other suspect does."""

    deaths: int


class Quarantined(NamedTuple):
    """It is refused: servers died of it. ``for_s`` is the time left."""

    deaths: int
    for_s: float


Verdict = Clear | Suspect | Quarantined


class _Record:
    """What is known of one fingerprint."""

    __slots__ = ("count_by_peer", "count_by_server", "died_at", "forgiven", "lives")

    def __init__(self) -> None:
        self.lives: set[ServerLife] = set()
        self.count_by_server: dict[str, int] = {}
        self.count_by_peer: dict[str, int] = {}
        self.died_at = 0.0
        self.forgiven = 0

    @property
    def counted(self) -> int:
        """Deaths known of, each once.

        An agent's count covers the lives of its own server, a peer's sum covers all the
        agents it hears of; the same death stands in several of them, so the greatest
        sum is taken and never their total.
        """
        seen_by_server: dict[str, int] = {}
        for life in self.lives:
            seen_by_server[life.server] = seen_by_server.get(life.server, 0) + 1
        servers = seen_by_server.keys() | self.count_by_server.keys()
        own = sum(
            max(seen_by_server.get(server, 0), self.count_by_server.get(server, 0))
            for server in servers
        )
        return max(own, *self.count_by_peer.values(), 0)


class Suspects:
    """Who was running when a server died, by fingerprint of the request.

    Load: one request in millions crashes each server that runs it, and its caller sends
    it again. Harm prevented: a whole group dies one server after the other. Harm of
    blaming wrongly: those that ran beside it did nothing, and are cleared when they
    finish once, or forgotten when nothing dies of them again.
    """

    def __init__(self, *, limit: int = MAX_FINGERPRINTS) -> None:
        self._limit = limit
        self._by_fingerprint: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    def died(self, fingerprint: str, server_life: ServerLife, now: float) -> None:
        """Note that it ran when this life of a server ended; once for each life."""
        record = self._record(fingerprint)
        before = record.counted
        if len(record.lives) < _MAX_SOURCES:
            record.lives.add(server_life)
        self._note(record, before, now)

    def heard(self, fingerprint: str, server: str, deaths: int, now: float) -> None:
        """Take an agent's count of the deaths of its own server."""
        record = self._record(fingerprint)
        before = record.counted
        _raise(record.count_by_server, server, deaths)
        self._note(record, before, now)

    def heard_from_peer(
        self, fingerprint: str, peer: str, deaths: int, now: float
    ) -> None:
        """Take a peer's sum over all the agents it hears of."""
        record = self._record(fingerprint)
        before = record.counted
        _raise(record.count_by_peer, peer, deaths)
        self._note(record, before, now)

    def verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return what may be done with a request of this fingerprint."""
        record = self._by_fingerprint.get(fingerprint)
        if record is None:
            return Clear()
        deaths = record.counted - record.forgiven
        age_s = now - record.died_at
        if deaths >= QUARANTINE_DEATHS and age_s < QUARANTINE_S:
            return Quarantined(deaths, QUARANTINE_S - age_s)
        if deaths >= QUARANTINE_DEATHS and age_s < QUARANTINE_S + SUSPECT_S:
            return Suspect(deaths)
        if 0 < deaths < QUARANTINE_DEATHS and age_s < SUSPECT_S:
            return Suspect(deaths)
        return Clear()

    def cleared(self, fingerprint: str) -> None:
        """Forgive it: it finished on a living server.

        The record stays, so that the same old deaths heard again are not held against
        it a second time.
        """
        record = self._by_fingerprint.get(fingerprint)
        if record is not None:
            record.forgiven = record.counted

    def counts(self, now: float) -> tuple[tuple[str, int], ...]:
        """Return the deaths held against each fingerprint, for the peers."""
        return tuple(
            (fingerprint, record.counted)
            for fingerprint, record in self._by_fingerprint.items()
            if not isinstance(self.verdict(fingerprint, now), Clear)
        )

    def _record(self, fingerprint: str) -> _Record:
        record = self._by_fingerprint.setdefault(fingerprint, _Record())
        self._by_fingerprint.move_to_end(fingerprint)
        while len(self._by_fingerprint) > self._limit:
            self._by_fingerprint.popitem(last=False)
        return record

    def _note(self, record: _Record, before: int, now: float) -> None:
        if record.counted <= before:
            return
        if self._is_over(record, before, now):
            record.forgiven = before
        record.died_at = now

    @staticmethod
    def _is_over(record: _Record, before: int, now: float) -> bool:
        held = before - record.forgiven
        memory_s = SUSPECT_S
        if held >= QUARANTINE_DEATHS:
            memory_s += QUARANTINE_S
        return now - record.died_at >= memory_s


def _raise(count_by_source: dict[str, int], source: str, count: int) -> None:
    """Keep the greatest count of a source; counts of lost messages come again."""
    known = count_by_source.get(source)
    if known is None and len(count_by_source) >= _MAX_SOURCES:
        return
    count_by_source[source] = max(known or 0, count)

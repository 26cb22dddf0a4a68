"""Decides which missing servers may have lapsed in an outage of the store. Pure."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


def find_possibly_lapsed(
    service_by_instance: Mapping[str, str], missing: Collection[str]
) -> frozenset[str]:
    """Return the missing servers that are kept although no outage is certain.

    ``service_by_instance`` has all servers that were known before, also the missing.

    A call was lost, and a new connection was answered at once: it was silence of the
    own connection, or a short outage that is over. In an outage most servers of a
    service lapse together, and without them it would serve nobody. Fewer than that have
    left, and requests to them would come too late.
    """
    known_count = Counter(service_by_instance.values())
    missing_count = Counter(service_by_instance[name] for name in missing)
    return frozenset(
        name
        for name in missing
        if 2 * missing_count[service_by_instance[name]]
        > known_count[service_by_instance[name]]
    )

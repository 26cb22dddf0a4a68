"""Which processes are on the manifest in force, and which are not yet."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.link.query_client import QueryClient
from kingcupwheel.messages.membership import StatusReply
from kingcupwheel.messages.membership import StatusRequest
from kingcupwheel.utils.structs import StrictStruct


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from kingcupwheel.platform.client import Instance

# Processes asked at once; each takes a socket, of which a process may open about 1,000.
_BATCH_SIZE = 400


class ProcessStatus(StrictStruct, frozen=True):
    """A listed process; ``version`` is None if it did not answer."""

    name: str
    role: str
    data_centre: str
    version: int | None
    is_leaving: bool = msgspec.field(name="leaving")


class RolloutStatus(StrictStruct, frozen=True):
    """How far version ``version`` has come.

    ``behind`` answered with an earlier version, ``silent`` did not answer in time.
    """

    version: int
    up_to_date: tuple[ProcessStatus, ...] = msgspec.field(name="there")
    behind: tuple[ProcessStatus, ...]
    unresponsive: tuple[ProcessStatus, ...] = msgspec.field(name="silent")

    @property
    def is_complete(self) -> bool:
        """Whether every listed process is on the version."""
        return not self.behind and not self.unresponsive


def query_statuses(
    instances: Iterable[Instance], timeout_s: float
) -> dict[str, StatusReply]:
    """Return the answers of live processes by instance name.

    Each batch of 400 processes takes ``timeout_s`` at most; who does not answer in that
    time, or is listed without an address, is left out.
    """
    asker = QueryClient(timeout_s=timeout_s)
    found: dict[str, StatusReply] = {}
    for batch in _split_into_batches(instances):
        address_by_process = {
            instance.name: instance.address
            for instance in batch
            if instance.address.rpartition(":")[2].isdecimal()
        }
        found |= asker.ask(address_by_process, StatusRequest(), StatusReply)
    return found


def build_rollout_status(
    version: int,
    instances: Iterable[Instance],
    reply_by_name: Mapping[str, StatusReply],
) -> RolloutStatus:
    """Sort the listed processes by whether they are on ``version``."""
    there: list[ProcessStatus] = []
    behind: list[ProcessStatus] = []
    silent: list[ProcessStatus] = []
    for instance in sorted(instances, key=lambda each: each.name):
        found = reply_by_name.get(instance.name)
        process = ProcessStatus(
            name=instance.name,
            role=instance.role,
            data_centre=instance.data_centre,
            version=None if found is None else found.manifest_version,
            is_leaving=instance.leaving or (found is not None and found.leaving),
        )
        if found is None:
            silent.append(process)
        elif found.manifest_version < version:
            behind.append(process)
        else:
            there.append(process)
    return RolloutStatus(
        version=version,
        up_to_date=tuple(there),
        behind=tuple(behind),
        unresponsive=tuple(silent),
    )


def _split_into_batches(instances: Iterable[Instance]) -> Iterator[list[Instance]]:
    remaining = iter(instances)
    while batch := list(islice(remaining, _BATCH_SIZE)):
        yield batch

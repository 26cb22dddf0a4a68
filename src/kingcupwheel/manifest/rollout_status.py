"""Rollout status of a manifest version: which processes have adopted it."""

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

# Processes queried at a time; each uses one of the about 1,000 sockets that a process
# may open.
_BATCH_SIZE = 400


class ProcessStatus(StrictStruct, frozen=True):
    """Manifest version of a listed process, None if it did not respond."""

    name: str
    role: str
    data_centre: str
    version: int | None
    is_leaving: bool = msgspec.field(name="leaving")


class RolloutStatus(StrictStruct, frozen=True):
    """The listed processes by whether they have adopted ``version``.

    Those ``behind`` reported an earlier version; those ``unresponsive`` timed out.
    """

    version: int
    up_to_date: tuple[ProcessStatus, ...] = msgspec.field(name="there")
    behind: tuple[ProcessStatus, ...]
    unresponsive: tuple[ProcessStatus, ...] = msgspec.field(name="silent")

    @property
    def is_complete(self) -> bool:
        """Whether all listed processes have adopted the version."""
        return not self.behind and not self.unresponsive


def query_statuses(
    instances: Iterable[Instance], timeout_s: float
) -> dict[str, StatusReply]:
    """Return the replies of the instances, by name.

    Each batch of 400 processes takes at most ``timeout_s``. Instances that do not reply
    in time, or are listed without an address, are omitted.
    """
    client = QueryClient(timeout_s=timeout_s)
    reply_by_name: dict[str, StatusReply] = {}
    for batch in _split_into_batches(instances):
        address_by_process = {
            instance.name: instance.address
            for instance in batch
            if instance.address.rpartition(":")[2].isdecimal()
        }
        reply_by_name |= client.ask(address_by_process, StatusRequest(), StatusReply)
    return reply_by_name


def build_rollout_status(
    version: int,
    instances: Iterable[Instance],
    reply_by_name: Mapping[str, StatusReply],
) -> RolloutStatus:
    """Group the listed processes by whether they have adopted ``version``."""
    up_to_date: list[ProcessStatus] = []
    behind: list[ProcessStatus] = []
    unresponsive: list[ProcessStatus] = []
    for instance in sorted(instances, key=lambda each: each.name):
        reply = reply_by_name.get(instance.name)
        process = ProcessStatus(
            name=instance.name,
            role=instance.role,
            data_centre=instance.data_centre,
            version=None if reply is None else reply.manifest_version,
            is_leaving=instance.leaving or (reply is not None and reply.leaving),
        )
        if reply is None:
            unresponsive.append(process)
        elif reply.manifest_version < version:
            behind.append(process)
        else:
            up_to_date.append(process)
    return RolloutStatus(
        version=version,
        up_to_date=tuple(up_to_date),
        behind=tuple(behind),
        unresponsive=tuple(unresponsive),
    )


def _split_into_batches(instances: Iterable[Instance]) -> Iterator[list[Instance]]:
    remaining = iter(instances)
    while batch := list(islice(remaining, _BATCH_SIZE)):
        yield batch

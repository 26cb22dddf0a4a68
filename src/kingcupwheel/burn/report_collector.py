"""Collector of the burn report from all live entries."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from kingcupwheel.burn.burn_report import BurnReport
from kingcupwheel.burn.burn_report import merge_counts
from kingcupwheel.burn.entry_counts import ENTRY_COUNTS_DECODER
from kingcupwheel.burn.exceptions import EntriesUnknown
from kingcupwheel.messages.traces import BurnReply
from kingcupwheel.messages.traces import BurnRequest


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.messages.base import Message
    from kingcupwheel.platform.client import PlatformClient


class BurnQueryClient(Protocol):
    """Client that queries live processes; see ``link.query_client.QueryClient``."""

    def ask(
        self,
        address_by_process: Mapping[str, str],
        question: Message,
        answer: type[BurnReply],
    ) -> dict[str, BurnReply]:
        """Return the answers received before the timeout, by process."""


def gather_report(
    client: PlatformClient,
    query_client: BurnQueryClient,
    *,
    address_by_process: Mapping[str, str],
    now: float,
) -> Result[BurnReport, EntriesUnknown]:
    """Return the report of all entries that answer; ``now`` is Unix seconds.

    ``address_by_process`` holds addresses configured by the user, which are queried in
    addition to the platform's list. If the list can't be read, only they are queried,
    and the report says so.
    """
    listed = client.instances()
    addresses = dict(address_by_process)
    problem = ""
    if listed.is_ok():
        listed_entries = (item for item in listed.ok if item.role == "entry")
        addresses = {item.name: item.address for item in listed_entries} | addresses
    elif not addresses:
        return Error(EntriesUnknown("the platform's list can't be read"))
    else:
        problem = "The platform's list can't be read; only entries named were asked."
    answers = query_client.ask(addresses, BurnRequest(), BurnReply)
    entry_counts = []
    unanswered = set(addresses)
    for process, answer in answers.items():
        try:
            entry_counts.append(ENTRY_COUNTS_DECODER.decode(answer.part))
        except msgspec.MsgspecError:
            continue
        unanswered.discard(process)
    return Ok(
        merge_counts(
            entry_counts, created_at=now, unanswered=sorted(unanswered), problem=problem
        )
    )

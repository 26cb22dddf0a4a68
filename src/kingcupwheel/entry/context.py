"""Components of one entry that request threads share."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from threading import Event

    from kingcupwheel.claims.claim_store import ClaimStore
    from kingcupwheel.claims.expired_claim_removal import ExpiredClaimRemover
    from kingcupwheel.entry.attempt_inboxes import InboxRegistry
    from kingcupwheel.entry.dispatcher_registry import DispatcherRegistry
    from kingcupwheel.entry.outcome_counter import OutcomeCounter
    from kingcupwheel.entry.request_limiter import RequestLimiter
    from kingcupwheel.entry.server_table import ServerTable
    from kingcupwheel.link.hub import MessageHub
    from kingcupwheel.settings.schema import Settings
    from kingcupwheel.trace.recorder import TraceRecorder


class EntryContext(NamedTuple):
    """The shared components; each of them is thread-safe."""

    settings: Settings
    hub: MessageHub
    servers: ServerTable
    inboxes: InboxRegistry
    dispatchers: DispatcherRegistry
    limiter: RequestLimiter
    claims: ClaimStore
    expired_claim_remover: ExpiredClaimRemover
    recorder: TraceRecorder
    outcome_counter: OutcomeCounter
    leaving: Event

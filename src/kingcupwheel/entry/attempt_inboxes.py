"""Message queues from the hub's thread to the threads of requests."""

from __future__ import annotations

from queue import Empty
from queue import SimpleQueue
from threading import Lock
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from kingcupwheel.messages.base import Message


class AttemptKey(NamedTuple):
    """Identifies one attempt of one request."""

    request_id: str
    attempt: int


class LinkReplaced(NamedTuple):
    """The link to the agent was silent and has been reopened."""


class AgentGone(NamedTuple):
    """The agent's incarnation with the attempt has ended or is silent too long."""

    detail: str


class WaitTimedOut(NamedTuple):
    """No item arrived before the timeout."""


class AttemptInbox:
    """Queue of the unread messages and events of one attempt."""

    def __init__(self, key: AttemptKey, address: str, incarnation: str) -> None:
        self.key = key
        self.address = address
        self.incarnation = incarnation
        self._items: SimpleQueue[Message | LinkReplaced | AgentGone] = SimpleQueue()

    def put(self, item: Message | LinkReplaced | AgentGone) -> None:
        """Add an item; called on the hub's thread."""
        self._items.put(item)

    def get(
        self, timeout_s: float
    ) -> Message | LinkReplaced | AgentGone | WaitTimedOut:
        """Return the next item, or ``WaitTimedOut`` after ``timeout_s`` seconds."""
        try:
            return self._items.get(timeout=max(0.0, timeout_s))
        except Empty:
            return WaitTimedOut()


class InboxRegistry:
    """Inboxes of all attempts in progress; thread-safe."""

    def __init__(self) -> None:
        self._by_key: dict[AttemptKey, AttemptInbox] = {}
        self._by_claim_id: dict[str, AttemptInbox] = {}
        self._lock = Lock()

    def open(
        self, key: AttemptKey, address: str, incarnation: str
    ) -> AttemptInbox | None:
        """Return a new inbox, or None while another thread reads that attempt."""
        inbox = AttemptInbox(key, address, incarnation)
        with self._lock:
            if key in self._by_key:
                return None
            self._by_key[key] = inbox
        return inbox

    def close(self, inbox: AttemptInbox) -> None:
        """Remove the inbox; later messages are dropped."""
        with self._lock:
            if self._by_key.get(inbox.key) is inbox:
                del self._by_key[inbox.key]

    def subscribe_to_claim(self, claim_id: str, inbox: AttemptInbox) -> None:
        """Deliver messages that name only the claim to ``inbox`` as well."""
        with self._lock:
            self._by_claim_id[claim_id] = inbox

    def unsubscribe_from_claim(self, claim_id: str) -> None:
        """End the claim's subscription."""
        with self._lock:
            self._by_claim_id.pop(claim_id, None)

    def deliver(self, key: AttemptKey, message: Message) -> bool:
        """Put a message into the attempt's inbox; False if there is none."""
        inbox = self._by_key.get(key)
        if inbox is None:
            return False
        inbox.put(message)
        return True

    def deliver_to_claim(self, claim_id: str, message: Message) -> None:
        """Put a message into the inbox subscribed to the claim, if any."""
        inbox = self._by_claim_id.get(claim_id)
        if inbox is not None:
            inbox.put(message)

    def list_by_address(self, address: str) -> tuple[AttemptInbox, ...]:
        """Return the inboxes of attempts at the agent with this address."""
        with self._lock:
            return tuple(i for i in self._by_key.values() if i.address == address)

    @property
    def request_ids(self) -> frozenset[str]:
        """Ids of the requests with an attempt in progress."""
        with self._lock:
            return frozenset(key.request_id for key in self._by_key)

    @property
    def count(self) -> int:
        """Number of attempts in progress."""
        return len(self._by_key)

"""Heartbeats, leaving, and what rides on them."""

from __future__ import annotations

import msgspec

from kingcupwheel.messages.base import Message


class Hello(Message, frozen=True):
    """Entry to agent or peer, about every second on a used link."""

    name: str
    data_centre: str
    manifest_version: int
    manifest_digest: str
    leaving: bool


class BackendLoad(Message, frozen=True, tag="Load"):
    """Load of one backend server as its agent sees it.

    ``running`` and ``queued`` count attempts, ``capacity`` is the concurrency limit,
    ``work`` is the predicted work outstanding in tokens, ``rate`` the tokens per second
    of late, ``age_s`` the age of the server's own report in seconds. ``pace`` is how
    many times its usual time the server takes, 1 where it does not say.
    """

    running: int
    queued: int
    capacity: int
    work: float
    rate: float
    age_s: float
    pace: float = 1.0


class AgentHeartbeat(Message, frozen=True, tag="Beat"):
    """Agent to entry, about every second and at once when leaving starts.

    ``token`` rolls with the agent's own clock; a dispatch that names an old one is
    refused, which bounds how long tombstones live. ``crashed`` are pairs of a
    fingerprint that was running when the server died and the death's name, for a while.
    ``born_ms`` is when the server itself started (Unix milliseconds, 0: not told).
    """

    name: str
    group: str
    data_centre: str
    incarnation: str
    token: int
    load: BackendLoad
    leaving: bool
    server_up: bool
    manifest_version: int
    crashed: tuple[tuple[str, int], ...]
    born_ms: int = 0


class LoadsRequest(Message, frozen=True, tag="LoadsAsk"):
    """Entry to the agent that tells loads for its data centre, about every second.

    ``members`` are the addresses of the agents whose servers' loads are wanted,
    ``every_s`` how often they are to be told.
    """

    members: tuple[str, ...]
    every_s: float


class ReportedServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """A server's load as the agent beside it told a moment ago.

    ``address`` is the server's; ``born_ms`` tells which life of it (0: not told); the
    rest as in ``Load`` and ``Beat``.
    """

    address: str
    running: int
    queued: int
    pace: float
    up: bool
    born_ms: int = 0


class LoadsReply(Message, frozen=True, tag="LoadsTold"):
    """Answers ``LoadsAsk`` as often as it asks; members not heard are left out."""

    servers: tuple[ReportedServerLoad, ...]


class PeerHeartbeat(Message, frozen=True, tag="PeerBeat"):
    """Entry to peer entry, about every second: what the peer may need to know.

    ``crashed`` as in ``Beat``, of all deaths heard of lately.
    """

    name: str
    data_centre: str
    manifest_version: int
    manifest_digest: str
    leaving: bool
    crashed: tuple[tuple[str, int], ...]


class EntryInfo(Message, frozen=True, tag="EntryTold"):
    """An entry that the sender has heard of or from: where it is and which life."""

    name: str
    address: str
    http: str
    data_centre: str


class EntryHeartbeat(Message, frozen=True, tag="EntryBeat"):
    """Entry to entry on the users' platform, about twice a second.

    ``sent_at`` is the sender's own clock; ``echo`` the newest ``sent_at`` that it has
    had from the receiver. ``version`` of the configuration was the newest ``age_s``
    before this was sent; negative if that is not known. ``known`` are other entries.
    """

    sender: EntryInfo
    incarnation: str
    leaving: bool
    sent_at: float
    echo: float
    version: int
    age_s: float
    crashed: tuple[tuple[str, int], ...]
    known_entries: tuple[EntryInfo, ...]


class ManifestRequest(Message, frozen=True, tag="ManifestWanted"):
    """To a peer: send this object of the manifest (the index or a shard)."""

    key: str


class ManifestObject(Message, frozen=True):
    """Answers ``ManifestWanted``; ``value`` is None if unknown.

    ``version`` is the index's.
    """

    key: str
    version: int
    value: bytes | None


class InstanceInfo(Message, frozen=True):
    """One instance of the platform's list, as one entry tells another."""

    name: str
    role: str
    group: str
    data_centre: str
    address: str
    http: str
    leaving: bool


class InstancesRequest(Message, frozen=True, tag="InstancesWanted"):
    """Entry to peer: which instances do you know? Asked when the platform is down."""

    name: str


class InstancesReply(Message, frozen=True, tag="InstancesFound"):
    """Answers ``InstancesWanted``."""

    instances: tuple[InstanceInfo, ...]


class StatusRequest(Message, frozen=True, tag="StatusWanted"):
    """To an entry or agent: say how you are."""


class StatusReply(Message, frozen=True, tag="StatusFound"):
    """Answers ``StatusWanted``; ``role`` is ``entry`` or ``agent``.

    ``manifest_version`` is the version in force there, 0 before the first one.
    """

    name: str
    role: str
    data_centre: str
    manifest_version: int
    leaving: bool


class ShareReport(Message, frozen=True, tag="ShareTold"):
    """An entry's demand on an organisation's allowance, and the share it holds.

    Both are fractions of the whole allowance; ``wants`` tells that it would hold more.
    """

    organisation: str
    demand: float
    held: float
    wants_more: bool


class ShareHeartbeat(Message, frozen=True, tag="ShareBeat"):
    """Entry to entry, about every second while they share an organisation in use.

    ``sent_at`` is the sender's own monotonic clock; ``echo`` the newest ``sent_at``
    that the sender has had from the receiver, negative before the first.
    """

    name: str
    sent_at: float
    echo: float
    shares: tuple[ShareReport, ...]

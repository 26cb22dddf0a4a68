"""Heartbeats, membership, and the data that heartbeats carry."""

from __future__ import annotations

import msgspec

from kingcupwheel.messages.base import Message


class Hello(Message, frozen=True):
    """Heartbeat from an entry to an agent or peer, about every second on used links."""

    name: str
    data_centre: str
    manifest_version: int
    manifest_digest: str
    leaving: bool


class BackendLoad(Message, frozen=True, tag="Load"):
    """Load of one backend server as measured by its agent.

    ``running`` and ``queued`` count attempts, ``capacity`` is the concurrency limit,
    ``work`` the predicted outstanding work in tokens, ``rate`` the recent throughput in
    tokens per second, ``age_s`` the age of the server's own report. ``pace`` is the
    server's slowdown relative to its usual time, 1 if unknown.
    """

    running: int
    queued: int
    capacity: int
    work: float
    rate: float
    age_s: float
    pace: float = 1.0


class CrashedRunReport(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended with its server, as ages in seconds when this was written.

    The run began at most ``started_age_s`` ago, and the server had ended
    ``ended_age_s`` ago. ``crash_id`` is equal for all reports of the same crash.
    ``is_trial`` tells that all other runs of the suspect were held.
    """

    crash_id: int
    started_age_s: float
    ended_age_s: float
    is_trial: bool = False


class SuspicionReport(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of a request that ran on servers when they crashed.

    ``key`` is the request's fingerprint or the key of a part of its prompt. ``runs``
    are those since the last complete run, which ended ``success_age_s`` ago (negative
    if none is known). Other runs are held for ``held_s`` seconds, by the entry
    ``holder``, whose run has begun with ``has_begun``.
    """

    key: str
    runs: tuple[CrashedRunReport, ...]
    success_age_s: float = -1.0
    held_s: float = 0.0
    holder: str = ""
    has_begun: bool = True


class AgentHeartbeat(Message, frozen=True, tag="Beat"):
    """Heartbeat from an agent to an entry.

    Sent about every second, and at once when leaving starts. ``token`` changes with the
    agent's clock; a dispatch with an old one is refused, which bounds how long
    tombstones are kept. ``suspicions`` tell which requests were running when the server
    crashed; they are repeated for a while. ``crashed`` is empty: earlier versions need
    the field. ``started_at_ms`` is the server's start (Unix milliseconds, 0 if
    unknown).
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
    started_at_ms: int = msgspec.field(name="born_ms", default=0)
    suspicions: tuple[SuspicionReport, ...] = ()


class LoadsRequest(Message, frozen=True, tag="LoadsAsk"):
    """Entry to the agent that reports loads for its data centre, about every second.

    ``members`` are the addresses of the agents whose servers' loads are requested,
    ``every_s`` is the reporting interval.
    """

    members: tuple[str, ...]
    every_s: float


class ReportedServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """A server's load as last reported by its own agent.

    ``address`` is the server's; ``started_at_ms`` identifies its incarnation (0 if
    unknown).
    The other fields are as in ``BackendLoad`` and ``AgentHeartbeat``.
    """

    address: str
    running: int
    queued: int
    pace: float
    up: bool
    started_at_ms: int = msgspec.field(name="born_ms", default=0)


class LoadsReply(Message, frozen=True, tag="LoadsTold"):
    """Repeated reply to ``LoadsRequest``; members without a report are left out."""

    servers: tuple[ReportedServerLoad, ...]


class PeerHeartbeat(Message, frozen=True, tag="PeerBeat"):
    """Heartbeat from an entry to a peer entry, about every second.

    ``suspicions`` are as in ``AgentHeartbeat``, for all recent changes; ``crashed`` is
    empty.
    """

    name: str
    data_centre: str
    manifest_version: int
    manifest_digest: str
    leaving: bool
    crashed: tuple[tuple[str, int], ...]
    suspicions: tuple[SuspicionReport, ...] = ()


class EntryInfo(Message, frozen=True, tag="EntryTold"):
    """Name and addresses of an entry that the sender knows."""

    name: str
    address: str
    http: str
    data_centre: str


class ServerLimitReport(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit of a server (requests/s) as observed by the sender itself.

    The server made its answer between ``sent_age_s`` and ``received_age_s`` seconds
    ago. ``rate`` is None if it has lifted its limit.
    """

    incarnation: str
    rate: float | None
    sent_age_s: float
    received_age_s: float


class EntryHeartbeat(Message, frozen=True, tag="EntryBeat"):
    """Heartbeat between entries on the users' platform, about twice a second.

    ``sent_at`` is read from the sender's clock; ``echo`` is the newest ``sent_at`` that
    the sender received from the receiver, ``echo_held_s`` seconds before this was sent
    (negative if unknown). ``echo_incarnation`` is the receiver's incarnation that had
    sent it; earlier versions of the software leave it empty. Configuration ``version``
    was the newest one ``age_s`` before this was sent; a negative age means unknown.
    ``limits`` are the rate limits that the sender has observed itself, ``suspicions``
    what it knows of requests that crash servers and the receiver has not confirmed;
    ``crashed`` is empty: earlier versions need the field.
    """

    sender: EntryInfo = msgspec.field(name="me")
    incarnation: str
    leaving: bool
    sent_at: float
    echo: float
    version: int
    age_s: float
    crashed: tuple[tuple[str, int], ...]
    known_entries: tuple[EntryInfo, ...] = msgspec.field(name="known")
    limits: tuple[ServerLimitReport, ...] = ()
    echo_held_s: float = -1.0
    suspicions: tuple[SuspicionReport, ...] = ()
    echo_incarnation: str = ""


class ManifestRequest(Message, frozen=True, tag="ManifestWanted"):
    """To a peer: request an object of the manifest (the index or a shard)."""

    key: str


class ManifestObject(Message, frozen=True):
    """Reply to ``ManifestRequest``; ``value`` is None if the key is unknown.

    ``version`` is that of the index.
    """

    key: str
    version: int
    value: bytes | None


class InstanceInfo(Message, frozen=True):
    """An instance of the platform's list, as one entry passes it to another."""

    name: str
    role: str
    group: str
    data_centre: str
    address: str
    http: str
    leaving: bool


class InstancesRequest(Message, frozen=True, tag="InstancesWanted"):
    """Entry to peer: request the known instances while the platform is down."""

    name: str


class InstancesReply(Message, frozen=True, tag="InstancesFound"):
    """Reply to ``InstancesRequest``."""

    instances: tuple[InstanceInfo, ...]


class StatusRequest(Message, frozen=True, tag="StatusWanted"):
    """To an entry or agent: request its status."""


class StatusReply(Message, frozen=True, tag="StatusFound"):
    """Reply to ``StatusRequest``; ``role`` is ``entry`` or ``agent``.

    ``manifest_version`` is the version in force, 0 before the first one.
    """

    name: str
    role: str
    data_centre: str
    manifest_version: int
    leaving: bool


class ShareReport(Message, frozen=True, tag="ShareTold"):
    """An entry's demand on an organisation's allowance, and the share it holds.

    ``demand`` and ``held`` are fractions of the whole allowance; ``wants_more`` says
    that the entry could use a larger share.
    """

    organisation: str
    demand: float
    held: float
    wants_more: bool = msgspec.field(name="wants")


class ShareHeartbeat(Message, frozen=True, tag="ShareBeat"):
    """Heartbeat between entries that share an active organisation, about every second.

    ``sent_at`` is read from the sender's monotonic clock; ``echo`` is the newest
    ``sent_at`` that the sender received from the receiver, negative before the first,
    and ``echo_incarnation`` the receiver's incarnation that had sent it. Earlier
    versions of the software leave the incarnations empty.
    """

    name: str
    sent_at: float
    echo: float
    shares: tuple[ShareReport, ...]
    incarnation: str = ""
    echo_incarnation: str = ""

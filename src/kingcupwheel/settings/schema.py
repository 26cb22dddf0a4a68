"""The settings of a process, with units and defaults.

Fields that end in ``_s`` are seconds, ``_ms`` milliseconds, ``_bytes`` bytes.
"""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.utils.structs import StrictStruct


class Role(StrEnum):
    """What a process does."""

    ENTRY = "entry"
    AGENT = "agent"


class LogLevel(StrEnum):
    """The least severe log line that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class PlatformSettings(StrictStruct, frozen=True):
    """How to reach the platform's service.

    ``client`` names a platform client plug-in; ``timeout_s`` bounds one call.
    """

    url: str
    client: str = "http"
    timeout_s: float = 2.0
    connections: int = 8


class StatsdSettings(StrictStruct, frozen=True):
    """Where metrics go (UDP); nothing is sent when ``host`` is empty."""

    host: str = ""
    port: int = 8125
    prefix: str = "kingcupwheel"


class EntryLimits(StrictStruct, frozen=True):
    """Bounds of an entry.

    Over ``threads`` requests at once further ones are refused; of connections that wait
    for their next request, those over ``connections`` are closed.
    """

    body_bytes: int = 4_000_000
    header_bytes: int = 16_384
    connections: int = 400
    threads: int = 160
    subset: int = 24
    traces: int = 20_000


class AgentLimits(StrictStruct, frozen=True):
    """Bounds of an agent.

    ``answers_bytes`` bounds the buffered answers not yet acknowledged; over it the
    server's stream is read more slowly, nothing is dropped.
    """

    concurrency: int = 16
    queue: int = 32
    answers_bytes: int = 64_000_000
    traces: int = 20_000


class Timings(StrictStruct, frozen=True):
    """Times that bound how long a failure goes unnoticed.

    ``heartbeat_s`` is the period on used links; a link silent for ``silence_s`` is
    replaced; an agent silent for ``gone_s`` gets no new work and its attempts are
    given up ``give_up_s`` after their last sign of life. ``token_s`` is how old a
    dispatch's clock token may be. ``instances_s`` is how often the platform's list is
    read, ``watch_s`` how long one watch waits. ``leave_s`` is how long a leaving entry
    still takes new requests from callers that have not yet heard; callers are told to
    keep an address for half of that. ``trace_batch_s`` is the period of trace batches.
    """

    heartbeat_s: float = 1.0
    silence_s: float = 3.0
    gone_s: float = 5.0
    give_up_s: float = 20.0
    token_s: float = 5.0
    instances_s: float = 2.0
    watch_s: float = 20.0
    leave_s: float = 6.0
    trace_batch_s: float = 30.0


class ServerSettings(StrictStruct, frozen=True):
    """The backend server beside an agent; ``adapter`` and ``rank_api`` name plug-ins.

    In an expert-parallel group the server is the group's ``rank`` (from 0);
    ``rank_url`` is where the rank takes orders about expert maps, ``url`` if empty.
    """

    url: str
    adapter: str = "engine"
    connect_s: float = 1.0
    silence_s: float = 10.0
    rank: int = 0
    rank_url: str = ""
    rank_api: str = "http"
    rank_timeout_s: float = 1.0


class ForwardingSettings(StrictStruct, frozen=True):
    """The way straight to backend servers, on a platform with a store of objects.

    ``ready`` and ``addresses`` are ``IP:port`` where the platform asks whether the
    entry is ready and callers ask where to connect; ``metrics`` is where metrics are
    read. ``address_keep_s`` is how long callers keep such an answer. ``revoke_ms`` is
    within how long a key that was taken away must stop working. All entries together
    may send ``retry_share`` of a service's requests, and ``retry_floor`` besides, once
    more within any ``retry_window_s``. ``grace_s`` is the time that the platform leaves
    a process between the signal to stop and its end. ``steady_ms`` after a trouble has
    ended the platform counts on this process again.
    """

    ready: str
    addresses: str
    metrics: str = ""
    address_keep_s: float = 1.0
    revoke_ms: float = 5000.0
    retry_share: float = 0.2
    retry_floor: float = 20.0
    retry_window_s: float = 10.0
    grace_s: float = 8.0
    steady_ms: float = 3000.0


class RankSettings(StrictStruct, frozen=True):
    """The rank of a lock-stepped group beside an agent, on the same platform.

    ``server`` is the ``IP:port`` of the backend server, ``service`` its service;
    ``metrics`` is where the agent's metrics are read.
    """

    server: str
    service: str
    metrics: str = ""


class Settings(StrictStruct, frozen=True):
    """One process's settings file.

    ``listen`` is ``IP:port`` of the socket for the system's own processes; ``http`` is
    where callers connect and ``operator_http`` where operators do (entries only).
    ``server`` and ``group`` are for agents only. ``seeds`` are addresses of some
    entries, asked when the platform does not answer at the start. With ``forwarding``
    an entry sends requests straight to servers, without claims and trace batches;
    with ``rank`` an agent only keeps its group's expert maps.
    """

    name: str
    role: Role
    data_centre: str
    listen: str
    platform: PlatformSettings
    http: str = ""
    operator_http: str = ""
    group: str = ""
    seeds: tuple[str, ...] = ()
    server: ServerSettings | None = None
    statsd: StatsdSettings = StatsdSettings()
    log_level: LogLevel = LogLevel.INFO
    entry: EntryLimits = EntryLimits()
    agent: AgentLimits = AgentLimits()
    timings: Timings = Timings()
    forwarding: ForwardingSettings | None = None
    rank: RankSettings | None = None

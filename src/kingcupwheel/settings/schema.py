"""The settings of a process, with units and defaults.

Fields that end in ``_s`` are seconds, ``_ms`` milliseconds, ``_bytes`` bytes.
"""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.utils.structs import StrictStruct


class Role(StrEnum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


class LogLevel(StrEnum):
    """Minimum severity of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class PlatformSettings(StrictStruct, frozen=True):
    """Connection to the platform's service.

    ``client`` names a platform client plug-in; ``timeout_s`` is the timeout of a call.
    """

    url: str
    client: str = "http"
    timeout_s: float = 2.0
    connections: int = 8


class StatsdSettings(StrictStruct, frozen=True):
    """StatsD server for metrics over UDP; nothing is sent if ``host`` is empty."""

    host: str = ""
    port: int = 8125
    prefix: str = "kingcupwheel"


class EntryLimits(StrictStruct, frozen=True):
    """Resource limits of an entry.

    Requests over ``threads`` concurrent ones are refused; idle connections over
    ``connections`` are closed. ``answers_bytes`` limits the answers of backend servers
    that are read completely before they are sent, and incomplete events of streams.
    ``requests_bytes`` limits the bodies of requests until they are answered, and what
    connections have received and not yet read. Of either, a quarter of the machine's
    memory is used at most.
    """

    answers_bytes: int = 64_000_000
    requests_bytes: int = 64_000_000
    body_bytes: int = 4_000_000
    header_bytes: int = 16_384
    connections: int = 400
    threads: int = 160
    subset: int = 24
    traces: int = 20_000


class AgentLimits(StrictStruct, frozen=True):
    """Resource limits of an agent.

    ``answers_bytes`` limits the buffered, unacknowledged answers; above it the server's
    stream is read more slowly, and nothing is dropped. ``requests_bytes`` limits the
    bodies of attempts that run or wait; above it further ones are refused.
    """

    concurrency: int = 16
    queue: int = 32
    answers_bytes: int = 64_000_000
    requests_bytes: int = 64_000_000
    traces: int = 20_000


class Timings(StrictStruct, frozen=True):
    """Intervals and timeouts of failure detection and membership.

    ``heartbeat_s`` is the heartbeat interval on used links. A link without messages for
    ``silence_s`` is replaced; an agent without messages for ``gone_s`` gets no new
    work, and its attempts are given up ``give_up_s`` after their last liveness signal.
    ``token_s`` is the maximum age of a dispatch's clock token. ``instances_s`` is the
    interval of reads of the platform's list, ``watch_s`` the timeout of a watch. A
    leaving entry accepts new requests for ``leave_s``, from callers that do not know
    yet; callers are told to cache an address for half of that. ``trace_batch_s`` is the
    interval of trace batches.
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
    """The backend server of an agent; ``adapter`` and ``rank_api`` name plug-ins.

    In an expert-parallel group the server is the group's ``rank`` (from 0);
    ``rank_url`` is the URL of the rank's API for expert maps, ``url`` if empty.
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
    """Direct forwarding to backend servers, on a platform with an object store.

    ``ready``, ``addresses`` and ``metrics`` are the ``IP:port`` of the readiness probe,
    of the discovery endpoint for callers and of the metrics endpoint.
    ``address_keep_s`` is how long callers cache discovered addresses. A revoked key
    must stop working within ``revoke_ms``. Within any ``retry_window_s`` all entries
    together may retry ``retry_share`` of a service's requests, plus ``retry_floor``
    requests. ``grace_s`` is the time from the platform's signal to stop until it kills
    the process. The platform expects this process to work normally again ``steady_ms``
    after a fault has ended.
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
    """The rank of a lock-stepped group that an agent manages, on the same platform.

    ``server`` is the ``IP:port`` of the backend server, ``service`` its service and
    ``metrics`` the ``IP:port`` of the agent's metrics endpoint.
    """

    server: str
    service: str
    metrics: str = ""


class Settings(StrictStruct, frozen=True):
    """Settings file of a process.

    ``listen`` is the ``IP:port`` for messages of other processes, ``http`` that for
    callers and ``operator_http`` that for operators (entries only). ``server`` and
    ``group`` are for agents only. ``seeds`` are addresses of some entries, queried if
    the platform is unavailable at startup. With ``forwarding`` an entry sends requests
    directly to servers, without claims and trace batches; with ``rank`` an agent only
    maintains its group's expert maps.
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

"""Schema of the manifest and its defaults.

Fields that end in ``_s`` are seconds, ``_ms`` milliseconds, ``_h`` hours. Work is the
number of prompt tokens plus predicted answer tokens.
"""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.utils.structs import StrictStruct


# Records of which a process holds tens of thousands are not tracked by the garbage
# collector (``gc=False``): a full collection would delay all streams by more than the
# gap between tokens. They hold plain data only and thus can't form cycles.


class GroupKind(StrEnum):
    """Kind of the backend servers in a group."""

    ENGINE = "engine"
    SERVICE = "service"


class Allowance(StrictStruct, frozen=True, gc=False):
    """Limits of an organisation, shared by all entries.

    ``work_per_s`` is the refill rate of a token bucket in tokens per second and
    ``burst`` its capacity; ``concurrency`` limits the requests that are admitted and
    not yet answered.
    """

    work_per_s: float = 20_000.0
    burst: float = 100_000.0
    concurrency: int = 200


class Goals(StrictStruct, frozen=True, gc=False):
    """Service-level goals.

    ``availability`` is the share of requests that must run and get a true result,
    ``within`` the share that must meet ``first_token_s`` and ``token_gap_ms``.
    """

    availability: float = 0.999
    within: float = 0.95
    first_token_s: float = 0.99
    token_gap_ms: float = 32.0


class Organisation(StrictStruct, frozen=True, gc=False):
    """A customer with its keys, limits and goals.

    ``key_digests`` are hexadecimal SHA-256 digests of bearer keys. ``priority`` is from
    0 (lowest) to 9.
    """

    name: str
    key_digests: tuple[str, ...]
    allowance: Allowance = Allowance()
    priority: int = 5
    goals: Goals | None = None


class ExpertLayout(StrictStruct, frozen=True):
    """Dimensions and rebalancing parameters of an expert-parallel group.

    The ``ranks`` run in lock-step; each has ``slots`` slots for experts in each of
    ``layers`` layers of ``experts`` experts. ``skew_weight`` and ``move_cost`` weigh
    step-time skew against moved experts; ``expert_bytes`` is the size of an expert.
    """

    ranks: int
    experts: int
    layers: int = 1
    slots: int = 0
    skew_weight: float = 1.0
    move_cost: float = 1.0
    expert_bytes: int = 1_000_000
    rebalance_every_s: float = 10.0


class ServerGroup(StrictStruct, frozen=True):
    """Backend servers that serve the same model or application.

    Servers are discovered through the platform's list. ``concurrency`` is the limit of
    each server, ``queue`` that of the requests queued at an entry for the group;
    ``placement`` names a placement policy plug-in. ``ignores_fences`` is set for
    engines that accept orders with an outdated fencing token.
    """

    name: str
    kind: GroupKind = GroupKind.ENGINE
    concurrency: int = 16
    queue: int = 256
    placement: str = "two-choices"
    ignores_fences: bool = False
    experts: ExpertLayout | None = None


class Route(StrictStruct, frozen=True):
    """Maps a host and path to a server group.

    ``host`` is a name or ``*``; ``path`` is exact, or a prefix if it ends in ``*``.
    Requests of a route with ``repeatable: false`` run at most once and require an
    Idempotency-Key. ``deadline_s`` limits the wait for the first byte.
    """

    path: str
    group: str
    host: str = "*"
    methods: tuple[str, ...] = ("POST",)
    repeatable: bool = True
    deadline_s: float = 30.0
    goals: Goals | None = None


class Retention(StrictStruct, frozen=True):
    """How long the platform keeps claims and traces, in hours."""

    claims_h: float = 24.0
    traces_h: float = 72.0


class Manifest(StrictStruct, frozen=True):
    """The complete configuration that an operator submits."""

    organisations: tuple[Organisation, ...]
    groups: tuple[ServerGroup, ...]
    routes: tuple[Route, ...]
    goals: Goals = Goals()
    retention: Retention = Retention()

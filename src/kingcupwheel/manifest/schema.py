"""The manifest as the build pipeline writes it, and its defaults.

Times are in seconds unless a name says milliseconds; work is counted in tokens
(prompt tokens plus predicted answer tokens).
"""

from __future__ import annotations

from enum import StrEnum

from kingcupwheel.utils.structs import StrictStruct


# Records that a process holds by the ten thousand are kept from the garbage collector
# (``gc=False``): its full pass over them would hold up every stream for longer than the
# gap between tokens. They hold plain data only, so that they can't be in a cycle.


class GroupKind(StrEnum):
    """What stands behind a server group."""

    ENGINE = "engine"
    SERVICE = "service"


class Allowance(StrictStruct, frozen=True, gc=False):
    """What an organisation may use over all entries together.

    ``work_per_s`` is a rate in tokens per second with ``burst`` tokens saved up at
    most; ``concurrency`` counts requests admitted and not yet answered.
    """

    work_per_s: float = 20_000.0
    burst: float = 100_000.0
    concurrency: int = 200


class Goals(StrictStruct, frozen=True, gc=False):
    """Service-level goals.

    ``availability`` is the share of requests with a true result, ``within`` the share
    that has to meet ``first_token_s`` and ``token_gap_ms``.
    """

    availability: float = 0.999
    within: float = 0.95
    first_token_s: float = 0.99
    token_gap_ms: float = 32.0


class Organisation(StrictStruct, frozen=True, gc=False):
    """A customer: its name, the digests of its keys and what it may use.

    ``key_digests`` are SHA-256 digests of bearer keys in hexadecimal. ``priority`` runs
    from 0 (lowest) to 9.
    """

    name: str
    key_digests: tuple[str, ...]
    allowance: Allowance = Allowance()
    priority: int = 5
    goals: Goals | None = None


class ExpertLayout(StrictStruct, frozen=True):
    """The shape of an expert-parallel group.

    ``ranks`` step in lock-step; each has ``slots`` places for experts in each of
    ``layers`` layers of ``experts`` experts. ``skew_weight`` and ``move_cost`` weigh
    step-time skew against moved experts; ``expert_bytes`` is the weight of one.
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

    Its servers are found through the platform's list. ``concurrency`` is each server's
    limit; ``queue`` how many requests an entry keeps waiting for the group;
    ``placement`` names a placement policy plug-in. ``ignores_fences`` is True for
    engines that take an order with an old fencing number.
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

    ``host`` is a name or ``*``; ``path`` is exact, or a prefix when it ends in ``*``.
    A request on a route with ``repeatable: false`` runs at most once and needs an
    Idempotency-Key. ``deadline_s`` is the longest wait for the first byte.
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
    """Everything an operator decides, submitted whole."""

    organisations: tuple[Organisation, ...]
    groups: tuple[ServerGroup, ...]
    routes: tuple[Route, ...]
    goals: Goals = Goals()
    retention: Retention = Retention()

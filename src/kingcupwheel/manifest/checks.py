"""Checks of a manifest's values: ranges, duplicates and cross references.

Each function yields all problems that it finds, each with the path of its field.
"""

from __future__ import annotations

import re
from math import ceil
from typing import TYPE_CHECKING

from kingcupwheel.manifest.schema import GroupKind
from kingcupwheel.utils.range_checks import RangeChecker
from kingcupwheel.utils.validation_problems import ValidationProblem


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator

    from kingcupwheel.manifest.schema import ExpertLayout
    from kingcupwheel.manifest.schema import Goals
    from kingcupwheel.manifest.schema import Manifest
    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.manifest.schema import Route
    from kingcupwheel.manifest.schema import ServerGroup

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_RULE = (
    "must be 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
)
# Paths that entries handle themselves.
RESERVED_PREFIX = "/kingcupwheel/"
LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 9
# Enough to rotate the keys of every product of an organisation; limits its record to a
# few kilobytes, so that shards stay near their target size.
MAX_KEY_DIGESTS = 64

_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_HOST_PATTERN = re.compile(r"\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?")
_METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")


def find_manifest_problems(
    manifest: Manifest, placements: Collection[str]
) -> Iterator[ValidationProblem]:
    """Yield all problems; ``placements`` is as for ``load_manifest``."""
    for field in ("organisations", "groups", "routes"):
        if not getattr(manifest, field):
            yield ValidationProblem(field, "must not be empty")
    yield from _check_organisations(manifest.organisations)
    yield from _check_groups(manifest.groups, placements)
    yield from _check_routes(manifest.routes, {group.name for group in manifest.groups})
    yield from _check_goals(manifest.goals, "goals")
    yield from RangeChecker(manifest.retention, "retention").check_positive(
        "claims_h", "traces_h"
    )


def _check_names(path: str, names: Iterable[str]) -> Iterator[ValidationProblem]:
    index_by_name: dict[str, int] = {}
    for index, name in enumerate(names):
        field_path = f"{path}[{index}].name"
        if not NAME_PATTERN.fullmatch(name):
            yield ValidationProblem(field_path, f"{NAME_RULE}, not {name!r}")
        first_index = index_by_name.setdefault(name, index)
        if first_index != index:
            yield ValidationProblem(
                field_path,
                f"duplicate name {name!r}, used by {path}[{first_index}] already",
            )


def _check_goals(goals: Goals | None, path: str) -> Iterator[ValidationProblem]:
    if goals is None:
        return
    ranges = RangeChecker(goals, path)
    yield from ranges.check_open_unit_interval("availability", "within")
    yield from ranges.check_positive("first_token_s", "token_gap_ms")


def _check_organisations(
    organisations: tuple[Organisation, ...],
) -> Iterator[ValidationProblem]:
    yield from _check_names("organisations", (each.name for each in organisations))
    path_by_digest: dict[str, str] = {}
    for index, organisation in enumerate(organisations):
        path = f"organisations[{index}]"
        yield from _check_key_digests(organisation.key_digests, path, path_by_digest)
        yield from RangeChecker(
            organisation.allowance, f"{path}.allowance"
        ).check_positive("work_per_s", "burst", "concurrency")
        yield from RangeChecker(organisation, path).check_between(
            "priority", LOWEST_PRIORITY, HIGHEST_PRIORITY
        )
        yield from _check_goals(organisation.goals, f"{path}.goals")


def _check_key_digests(
    digests: tuple[str, ...], path: str, path_by_digest: dict[str, str]
) -> Iterator[ValidationProblem]:
    if not 1 <= len(digests) <= MAX_KEY_DIGESTS:
        yield ValidationProblem(
            f"{path}.key_digests",
            f"must contain 1 to {MAX_KEY_DIGESTS} digests, not {len(digests)}",
        )
    for index, digest in enumerate(digests):
        field_path = f"{path}.key_digests[{index}]"
        if not _DIGEST_PATTERN.fullmatch(digest):
            yield ValidationProblem(
                field_path, "must be a SHA-256 digest of 64 hexadecimal digits 0-9a-f"
            )
        owner_path = path_by_digest.setdefault(digest, field_path)
        if owner_path != field_path:
            yield ValidationProblem(field_path, f"duplicate of {owner_path}")


def _check_groups(
    groups: tuple[ServerGroup, ...], placements: Collection[str]
) -> Iterator[ValidationProblem]:
    yield from _check_names("groups", (group.name for group in groups))
    for index, group in enumerate(groups):
        path = f"groups[{index}]"
        yield from RangeChecker(group, path).check_positive("concurrency")
        yield from RangeChecker(group, path).check_non_negative("queue")
        if placements and group.placement not in placements:
            known = ", ".join(sorted(placements))
            detail = f"unknown placement policy {group.placement!r}; known: {known}"
            yield ValidationProblem(f"{path}.placement", detail)
        if group.experts is None:
            continue
        if group.kind is not GroupKind.ENGINE:
            detail = f"not allowed for a group of kind {group.kind.value!r}"
            yield ValidationProblem(f"{path}.experts", detail)
        yield from _check_expert_layout(group.experts, f"{path}.experts")


def _check_expert_layout(
    layout: ExpertLayout, path: str
) -> Iterator[ValidationProblem]:
    ranges = RangeChecker(layout, path)
    yield from ranges.check_positive(
        "ranks", "experts", "layers", "expert_bytes", "rebalance_every_s"
    )
    yield from ranges.check_non_negative("slots", "skew_weight", "move_cost")
    if layout.slots <= 0 or layout.ranks <= 0:
        return
    if layout.ranks * layout.slots < layout.experts:
        min_slots = ceil(layout.experts / layout.ranks)
        detail = (
            f"{layout.ranks} ranks of {layout.slots} slots can't hold"
            f" {layout.experts} experts; at least {min_slots} slots are needed"
        )
        yield ValidationProblem(f"{path}.slots", detail)
    elif layout.slots > layout.experts:
        detail = f"{layout.slots} slots exceed the {layout.experts} experts"
        yield ValidationProblem(f"{path}.slots", detail)


def _check_routes(
    routes: tuple[Route, ...], group_names: set[str]
) -> Iterator[ValidationProblem]:
    index_by_match: dict[tuple[str, str, str], int] = {}
    for index, route in enumerate(routes):
        path = f"routes[{index}]"
        yield from _check_route(route, path, group_names)
        for method in dict.fromkeys(route.methods):
            match = (route.host, route.path, method)
            first_index = index_by_match.setdefault(match, index)
            if first_index != index:
                detail = f"routes[{first_index}] takes {method} {route.path} already"
                yield ValidationProblem(f"{path}.path", detail)


def _check_route(
    route: Route, path: str, group_names: set[str]
) -> Iterator[ValidationProblem]:
    if route.group not in group_names:
        yield ValidationProblem(f"{path}.group", f"unknown group {route.group!r}")
    if not _HOST_PATTERN.fullmatch(route.host):
        yield ValidationProblem(f"{path}.host", "must be '*' or a lower-case host name")
    yield from _check_route_path(route.path, f"{path}.path")
    if not route.methods:
        yield ValidationProblem(f"{path}.methods", "must not be empty")
    for index, method in enumerate(route.methods):
        if not _METHOD_PATTERN.fullmatch(method):
            detail = f"must be an upper-case method name, not {method!r}"
            yield ValidationProblem(f"{path}.methods[{index}]", detail)
        if method in route.methods[:index]:
            yield ValidationProblem(
                f"{path}.methods[{index}]", f"duplicate method {method}"
            )
    yield from RangeChecker(route, path).check_positive("deadline_s")
    yield from _check_goals(route.goals, f"{path}.goals")


def _check_route_path(value: str, field_path: str) -> Iterator[ValidationProblem]:
    if not value.startswith("/"):
        yield ValidationProblem(field_path, "must start with '/'")
    if "*" in value[:-1]:
        yield ValidationProblem(field_path, "may contain '*' only at the end")
    if any(character in value for character in "?# "):
        yield ValidationProblem(field_path, "must not contain '?', '#' or spaces")
    if value.startswith(RESERVED_PREFIX):
        yield ValidationProblem(
            field_path, f"must not start with {RESERVED_PREFIX}, which is reserved"
        )

"""Checks of the values in a settings file."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.manifest.checks import NAME_PATTERN
from kingcupwheel.manifest.checks import NAME_RULE
from kingcupwheel.plugins.registries import load_builtin_plugins
from kingcupwheel.plugins.registries import platform_clients
from kingcupwheel.plugins.registries import server_adapters
from kingcupwheel.settings.schema import Role
from kingcupwheel.utils.range_checks import RangeChecker
from kingcupwheel.utils.urls import is_http_url
from kingcupwheel.utils.validation_problems import ValidationProblem


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.settings.schema import ServerSettings
    from kingcupwheel.settings.schema import Settings
    from kingcupwheel.settings.schema import Timings

_MAX_PORT = 65_535


def find_settings_problems(settings: Settings) -> Iterator[ValidationProblem]:
    """Yield all problems with the values."""
    if settings.forwarding is None and settings.rank is None:
        load_builtin_plugins()
    for field in ("name", "data_centre"):
        if not NAME_PATTERN.fullmatch(getattr(settings, field)):
            yield ValidationProblem(
                field, f"{NAME_RULE}, not {getattr(settings, field)!r}"
            )
    yield from _check_address(settings.listen, "listen")
    for field in ("http", "operator_http"):
        if getattr(settings, field):
            yield from _check_address(getattr(settings, field), field)
    for index, seed in enumerate(settings.seeds):
        yield from _check_address(seed, f"seeds[{index}]")
    yield from _check_platform(settings)
    yield from _check_statsd(settings)
    for field in ("entry", "agent"):
        limits = getattr(settings, field)
        yield from RangeChecker(limits, field).check_positive(
            *_list_field_names(limits)
        )
    yield from _check_timings(settings.timings)
    yield from _check_forwarding(settings)
    yield from _check_rank(settings)
    match settings.role:
        case Role.ENTRY:
            yield from _check_entry(settings)
        case Role.AGENT:
            yield from _check_agent(settings)


def _check_statsd(settings: Settings) -> Iterator[ValidationProblem]:
    if settings.statsd.host:
        ranges = RangeChecker(settings.statsd, "statsd")
        yield from ranges.check_between("port", 1, _MAX_PORT)


def _list_field_names(record: msgspec.Struct) -> tuple[str, ...]:
    return tuple(field.name for field in msgspec.structs.fields(record))


def _check_address(text: str, path: str) -> Iterator[ValidationProblem]:
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        yield ValidationProblem(
            path, f"must be IP:port with a numeric IP address, not {text!r}"
        )
        return
    if not port.isdecimal() or int(port) > _MAX_PORT:
        yield ValidationProblem(
            path, f"must have a port from 0 to {_MAX_PORT}: {text!r}"
        )


def _check_url(text: str, path: str) -> Iterator[ValidationProblem]:
    if not is_http_url(text):
        yield ValidationProblem(
            path, f"must be an http:// or https:// URL, not {text!r}"
        )


def _check_platform(settings: Settings) -> Iterator[ValidationProblem]:
    platform = settings.platform
    yield from _check_url(platform.url, "platform.url")
    yield from RangeChecker(platform, "platform").check_positive(
        "timeout_s", "connections"
    )
    yield from _check_plugin_name(
        "platform.client", platform.client, platform_clients.names
    )


def _check_plugin_name(
    path: str, name: str, known: tuple[str, ...]
) -> Iterator[ValidationProblem]:
    if known and name not in known:
        yield ValidationProblem(
            path, f"unknown plug-in {name!r}; known: {', '.join(known)}"
        )


def _check_timings(timings: Timings) -> Iterator[ValidationProblem]:
    yield from RangeChecker(timings, "timings").check_positive(
        *_list_field_names(timings)
    )
    # Otherwise a link would be replaced, or an attempt given up, between two heartbeats
    # of a healthy process.
    increasing_fields = ("heartbeat_s", "silence_s", "gone_s", "give_up_s")
    for shorter, longer in zip(increasing_fields, increasing_fields[1:], strict=False):
        if getattr(timings, longer) <= getattr(timings, shorter):
            yield ValidationProblem(
                f"timings.{longer}", f"must be longer than {shorter}"
            )


def _check_forwarding(settings: Settings) -> Iterator[ValidationProblem]:
    forwarding = settings.forwarding
    if forwarding is None:
        return
    if settings.role is not Role.ENTRY:
        yield ValidationProblem("forwarding", "is for entries only")
    for field in ("ready", "addresses", "metrics"):
        if getattr(forwarding, field):
            yield from _check_address(getattr(forwarding, field), f"forwarding.{field}")
    ranges = RangeChecker(forwarding, "forwarding")
    yield from ranges.check_positive(
        "address_keep_s", "revoke_ms", "grace_s", "retry_window_s"
    )
    yield from ranges.check_non_negative("retry_share", "retry_floor")


def _check_rank(settings: Settings) -> Iterator[ValidationProblem]:
    rank = settings.rank
    if rank is None:
        return
    if settings.role is not Role.AGENT:
        yield ValidationProblem("rank", "is for agents only")
    yield from _check_address(rank.server, "rank.server")
    if not rank.service:
        yield ValidationProblem("rank.service", "missing; an agent needs it")


def _check_entry(settings: Settings) -> Iterator[ValidationProblem]:
    if not settings.http:
        yield ValidationProblem("http", "missing; an entry needs it")
    if settings.server is not None:
        yield ValidationProblem("server", "is for agents only")
    if settings.group:
        yield ValidationProblem("group", "is for agents only")


def _check_agent(settings: Settings) -> Iterator[ValidationProblem]:
    for field in ("http", "operator_http"):
        if getattr(settings, field):
            yield ValidationProblem(field, "is for entries only")
    if settings.rank is not None:
        return
    if not settings.group:
        yield ValidationProblem("group", "missing; an agent needs it")
    if settings.server is None:
        yield ValidationProblem("server", "missing; an agent needs it")
    else:
        yield from _check_server(settings.server)


def _check_server(server: ServerSettings) -> Iterator[ValidationProblem]:
    yield from _check_url(server.url, "server.url")
    yield from RangeChecker(server, "server").check_positive("connect_s", "silence_s")
    yield from RangeChecker(server, "server").check_non_negative("rank")
    if server_adapters.names:
        yield from _check_plugin_name(
            "server.adapter", server.adapter, server_adapters.names
        )

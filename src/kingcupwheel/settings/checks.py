"""Checks of the values in a settings file."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING

import msgspec

from kingcupwheel.manifest.checks import NAME_PATTERN
from kingcupwheel.manifest.checks import NAME_RULE
from kingcupwheel.plugins.kernel import load_builtin
from kingcupwheel.plugins.kernel import platform_clients
from kingcupwheel.plugins.kernel import server_adapters
from kingcupwheel.settings.schema import Role
from kingcupwheel.utils.problems import Problem
from kingcupwheel.utils.ranges import Ranges
from kingcupwheel.utils.urls import is_http_url


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.settings.schema import ServerSettings
    from kingcupwheel.settings.schema import Settings
    from kingcupwheel.settings.schema import Timings

_MAX_PORT = 65_535


def find_settings_problems(settings: Settings) -> Iterator[Problem]:
    """Yield all problems with the values."""
    if settings.forwarding is None and settings.rank is None:
        load_builtin()
    for field in ("name", "data_centre"):
        if not NAME_PATTERN.fullmatch(getattr(settings, field)):
            yield Problem(field, f"{NAME_RULE}, not {getattr(settings, field)!r}")
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
        yield from Ranges(limits, field).positive(*_list_field_names(limits))
    yield from _check_timings(settings.timings)
    yield from _check_forwarding(settings)
    yield from _check_rank(settings)
    match settings.role:
        case Role.ENTRY:
            yield from _check_entry(settings)
        case Role.AGENT:
            yield from _check_agent(settings)


def _check_statsd(settings: Settings) -> Iterator[Problem]:
    if settings.statsd.host:
        ranges = Ranges(settings.statsd, "statsd")
        yield from ranges.between("port", 1, _MAX_PORT)


def _list_field_names(record: msgspec.Struct) -> tuple[str, ...]:
    return tuple(field.name for field in msgspec.structs.fields(record))


def _check_address(text: str, path: str) -> Iterator[Problem]:
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        yield Problem(path, f"must be IP:port with a numeric IP address, not {text!r}")
        return
    if not port.isdecimal() or int(port) > _MAX_PORT:
        yield Problem(path, f"must have a port from 0 to {_MAX_PORT}: {text!r}")


def _check_url(text: str, path: str) -> Iterator[Problem]:
    if not is_http_url(text):
        yield Problem(path, f"must be an http:// or https:// URL, not {text!r}")


def _check_platform(settings: Settings) -> Iterator[Problem]:
    platform = settings.platform
    yield from _check_url(platform.url, "platform.url")
    yield from Ranges(platform, "platform").positive("timeout_s", "connections")
    yield from _check_plugin_name(
        "platform.client", platform.client, platform_clients.names
    )


def _check_plugin_name(
    path: str, name: str, known: tuple[str, ...]
) -> Iterator[Problem]:
    if known and name not in known:
        yield Problem(path, f"unknown plug-in {name!r}; known: {', '.join(known)}")


def _check_timings(timings: Timings) -> Iterator[Problem]:
    yield from Ranges(timings, "timings").positive(*_list_field_names(timings))
    # Otherwise a link would be replaced, or an attempt given up, between two heartbeats
    # of a healthy process.
    increasing_fields = ("heartbeat_s", "silence_s", "gone_s", "give_up_s")
    for shorter, longer in zip(increasing_fields, increasing_fields[1:], strict=False):
        if getattr(timings, longer) <= getattr(timings, shorter):
            yield Problem(f"timings.{longer}", f"must be longer than {shorter}")


def _check_forwarding(settings: Settings) -> Iterator[Problem]:
    forwarding = settings.forwarding
    if forwarding is None:
        return
    if settings.role is not Role.ENTRY:
        yield Problem("forwarding", "is for entries only")
    for field in ("ready", "addresses", "metrics"):
        if getattr(forwarding, field):
            yield from _check_address(getattr(forwarding, field), f"forwarding.{field}")
    ranges = Ranges(forwarding, "forwarding")
    yield from ranges.positive(
        "address_keep_s", "revoke_ms", "grace_s", "retry_window_s"
    )
    yield from ranges.not_negative("retry_share", "retry_floor")


def _check_rank(settings: Settings) -> Iterator[Problem]:
    rank = settings.rank
    if rank is None:
        return
    if settings.role is not Role.AGENT:
        yield Problem("rank", "is for agents only")
    yield from _check_address(rank.server, "rank.server")
    if not rank.service:
        yield Problem("rank.service", "missing; an agent needs it")


def _check_entry(settings: Settings) -> Iterator[Problem]:
    if not settings.http:
        yield Problem("http", "missing; an entry needs it")
    if settings.server is not None:
        yield Problem("server", "is for agents only")
    if settings.group:
        yield Problem("group", "is for agents only")


def _check_agent(settings: Settings) -> Iterator[Problem]:
    for field in ("http", "operator_http"):
        if getattr(settings, field):
            yield Problem(field, "is for entries only")
    if settings.rank is not None:
        return
    if not settings.group:
        yield Problem("group", "missing; an agent needs it")
    if settings.server is None:
        yield Problem("server", "missing; an agent needs it")
    else:
        yield from _check_server(settings.server)


def _check_server(server: ServerSettings) -> Iterator[Problem]:
    yield from _check_url(server.url, "server.url")
    yield from Ranges(server, "server").positive("connect_s", "silence_s")
    yield from Ranges(server, "server").not_negative("rank")
    if server_adapters.names:
        yield from _check_plugin_name(
            "server.adapter", server.adapter, server_adapters.names
        )

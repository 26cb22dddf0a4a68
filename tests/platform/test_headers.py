from __future__ import annotations

import pytest
from urllib3 import HTTPHeaderDict

from kingcupwheel.forwarding.http_metadata import ReportedLoad
from kingcupwheel.forwarding.http_metadata import ServerNotice
from kingcupwheel.forwarding.http_metadata import ServerRequestMetadata
from kingcupwheel.platform.headers import build_server_headers
from kingcupwheel.platform.headers import read_request_headers
from kingcupwheel.platform.headers import read_response_headers


CALL = ServerRequestMetadata("i-7", 1.2345, "org", 1, "12")


def test_request_headers_are_parsed() -> None:
    head = read_request_headers(
        {
            "x-attempt-id": "a1",
            "x-deadline-ms": "1519",
            "authorization": "Bearer secret",
            "last-event-id": "12",
            "x-token-usage": "1460,80",
            "x-length-hint": "30",
        }
    )

    assert head.attempt_id == "a1"
    assert head.timeout_s == 1.519
    assert head.api_key == "secret"
    assert (head.prompt_tokens, head.answer_tokens) == (1460, 30)


def test_invalid_request_headers_are_ignored() -> None:
    head = read_request_headers({"x-deadline-ms": "soon", "x-token-usage": "many"})

    assert head.timeout_s is None
    assert (head.prompt_tokens, head.answer_tokens) == (0, 0)


def test_controlled_headers_of_the_caller_are_replaced() -> None:
    """A caller may forge an organisation or instance; its key must not be passed on."""
    sent = build_server_headers(
        {
            "host": "host.example",
            "authorization": "Bearer secret",
            "x-tenant": "another",
            "x-expect-instance": "i-1",
            "x-request-priority": "0",
            "x-model": "m",
            "x-prompt-prefix": "ab:40",
            "connection": "close",
            "content-length": "4",
        },
        CALL,
    )

    assert sent == {
        "host": "host.example",
        "x-model": "m",
        "x-prompt-prefix": "ab:40",
        "x-deadline-ms": "1234",
        "x-expect-instance": "i-7",
        "x-tenant": "org",
        "x-request-priority": "1",
        "last-event-id": "12",
    }


def test_a_forged_organisation_is_removed_if_there_is_none() -> None:
    sent = build_server_headers({"x-tenant": "forged"}, CALL._replace(organisation=""))

    assert "x-tenant" not in sent


def test_response_headers_are_parsed() -> None:
    headers = HTTPHeaderDict(
        {
            "X-Attempt-Id": "a1",
            "X-Response-Signature": "s",
            "X-Server-Load": "3,0,8",
            "Keep-Alive": "timeout=5",
            "Content-Length": "7",
            "Connection": "keep-alive",
        }
    )
    head = read_response_headers(200, headers)

    assert (head.attempt_id, head.is_signed, head.is_rejection) == ("a1", True, False)
    assert head.load == ReportedLoad(3, 0, 8)
    assert (head.length, head.is_framed, head.idle_timeout_s) == (7, True, 5.0)
    assert ("X-Response-Signature", "s") in head.caller_headers
    assert not {name.lower() for name, _ in head.caller_headers} & {
        "connection",
        "keep-alive",
    }


def test_only_x_not_executed_or_421_means_not_run() -> None:
    assert read_response_headers(
        503, HTTPHeaderDict({"X-Not-Executed": "1"})
    ).is_rejection
    assert read_response_headers(421, HTTPHeaderDict()).is_rejection
    assert not read_response_headers(503, HTTPHeaderDict()).is_rejection
    assert not read_response_headers(500, HTTPHeaderDict()).is_rejection


def notice(status: int, *headers: tuple[str, str]) -> ServerNotice:
    header_dict = HTTPHeaderDict()
    for name, value in headers:
        header_dict.add(name, value)
    return read_response_headers(status, header_dict).notice


NOT_RUN = ("X-Not-Executed", "1")


@pytest.mark.parametrize(
    ("value", "rest_s"), [("3", 3.0), ("0.25", 0.25), (" 7 ", 7.0), ("0", 0.0)]
)
def test_retry_after_of_a_refused_request_is_parsed(value: str, rest_s: float) -> None:
    found = notice(503, NOT_RUN, ("Retry-After", value))

    assert found == ServerNotice(backoff_s=rest_s)


@pytest.mark.parametrize(
    "value",
    ["", "soon", "-3", "+3", "nan", "inf", "1e9", "1_0", "3,4", "9" * 400, "²"],
)
def test_an_invalid_retry_after_is_unreadable(value: str) -> None:
    found = notice(503, NOT_RUN, ("Retry-After", value))

    assert found == ServerNotice(unreadable_headers=("retry-after",))


def test_a_repeated_retry_after_is_ignored() -> None:
    twice = (("Retry-After", "3"), ("Retry-After", "3"))

    assert notice(503, NOT_RUN, *twice).backoff_s is None


def test_retry_after_only_counts_with_503_and_not_executed() -> None:
    retry_after = ("Retry-After", "3")

    assert notice(503, retry_after) == ServerNotice()
    assert notice(429, NOT_RUN, retry_after) == ServerNotice()
    assert notice(421, retry_after) == ServerNotice()
    assert notice(200, retry_after) == ServerNotice()


@pytest.mark.parametrize(
    ("value", "rate"), [("1", 1.0), ("0.25", 0.25), ("0", 0.0), (" 500.0 ", 500.0)]
)
def test_server_limit_is_parsed_for_every_status(value: str, rate: float) -> None:
    limit = ("Server-Limit", value)
    for found in (notice(200, limit), notice(500, limit), notice(503, NOT_RUN, limit)):
        assert found == ServerNotice(rate_limit=rate)


@pytest.mark.parametrize(
    "value", ["", "-1", "1e3", "nan", "inf", "1,5", "one", "1000001", "9" * 400]
)
def test_an_invalid_server_limit_is_unreadable(value: str) -> None:
    found = notice(200, ("Server-Limit", value))

    assert found == ServerNotice(
        is_limit_known=False, unreadable_headers=("server-limit",)
    )


def test_a_repeated_server_limit_is_unreadable() -> None:
    found = notice(200, ("Server-Limit", "1"), ("Server-Limit", "1"))

    assert found == ServerNotice(
        is_limit_known=False, unreadable_headers=("server-limit",)
    )


def test_server_leaving_is_parsed_for_every_status() -> None:
    server_leaving = ("Server-Leaving", "1")

    assert notice(200, server_leaving).is_leaving
    assert notice(500, server_leaving).is_leaving
    assert notice(503, NOT_RUN, server_leaving, ("Retry-After", "2")) == ServerNotice(
        True, 2.0
    )
    assert notice(200, ("Server-Leaving", "0")) == ServerNotice()


@pytest.mark.parametrize("value", ["", "true", "2", "1, 1"])
def test_an_invalid_server_leaving_is_unreadable(value: str) -> None:
    found = notice(200, ("Server-Leaving", value))

    assert found == ServerNotice(unreadable_headers=("server-leaving",))


def test_notice_headers_are_passed_on_unchanged() -> None:
    headers = HTTPHeaderDict({"Server-Leaving": "1", "Retry-After": "soon"})

    passed = read_response_headers(200, headers).caller_headers

    assert passed == (("Server-Leaving", "1"), ("Retry-After", "soon"))


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("5c1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
        ("5C1E:800,e440:250", ("5c1e",)),
        ("e440:250", ()),
        ("", ()),
        ("aa:1,aa:2,bb:1", ("aa",)),
        (":800,zz:3,,aa, bb :x,cc:1", ("aa", "bb")),
        (",".join(f"{n:x}:1" for n in range(5000)), tuple(f"{n:x}" for n in range(16))),
    ],
)
def test_shared_prompt_parts_are_read_whatever_else_the_header_holds(
    text: str, parts: tuple[str, ...]
) -> None:
    """A malformed or huge list of parts fills the tables that are kept of them."""
    head = read_request_headers({"x-prompt-prefix": text})

    assert head.prompt_parts == parts

from __future__ import annotations

import pytest
from urllib3 import HTTPHeaderDict

from kingcupwheel.forwarding.heads import ReportedLoad
from kingcupwheel.forwarding.heads import ServerCall
from kingcupwheel.forwarding.heads import ServerNotice
from kingcupwheel.platform.headers import build_server_headers
from kingcupwheel.platform.headers import read_request_headers
from kingcupwheel.platform.headers import read_response_headers


CALL = ServerCall("i-7", 1.2345, "org", 1, "12")


def test_what_a_caller_says_is_read() -> None:
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

    assert head.attempt == "a1"
    assert head.wait_s == 1.519
    assert head.key == "secret"
    assert (head.prompt_tokens, head.answer_tokens) == (1460, 30)


def test_nonsense_in_headers_is_no_error() -> None:
    head = read_request_headers({"x-deadline-ms": "soon", "x-token-usage": "many"})

    assert head.wait_s is None
    assert (head.prompt_tokens, head.answer_tokens) == (0, 0)


def test_the_system_sets_its_own_headers_whatever_the_caller_sent() -> None:
    """A caller forges an organisation and an instance; its key must not be passed."""
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


def test_without_an_organisation_none_is_named() -> None:
    sent = build_server_headers({"x-tenant": "forged"}, CALL._replace(organisation=""))

    assert "x-tenant" not in sent


def test_an_answers_head_says_whose_it_is_and_whether_it_ran() -> None:
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

    assert (head.attempt, head.signed, head.not_run) == ("a1", True, False)
    assert head.load == ReportedLoad(3, 0, 8)
    assert (head.length, head.framed, head.idle_s) == (7, True, 5.0)
    assert ("X-Response-Signature", "s") in head.passed
    assert not {name.lower() for name, _ in head.passed} & {"connection", "keep-alive"}


def test_only_the_servers_own_word_says_that_it_has_not_run() -> None:
    assert read_response_headers(503, HTTPHeaderDict({"X-Not-Executed": "1"})).not_run
    assert read_response_headers(421, HTTPHeaderDict()).not_run
    assert not read_response_headers(503, HTTPHeaderDict()).not_run
    assert not read_response_headers(500, HTTPHeaderDict()).not_run


def notice(status: int, *headers: tuple[str, str]) -> ServerNotice:
    found = HTTPHeaderDict()
    for name, value in headers:
        found.add(name, value)
    return read_response_headers(status, found).notice


NOT_RUN = ("X-Not-Executed", "1")


@pytest.mark.parametrize(
    ("value", "rest_s"), [("3", 3.0), ("0.25", 0.25), (" 7 ", 7.0), ("0", 0.0)]
)
def test_a_server_that_turns_a_request_away_may_ask_for_rest(
    value: str, rest_s: float
) -> None:
    found = notice(503, NOT_RUN, ("Retry-After", value))

    assert found == ServerNotice(rest_s=rest_s)


@pytest.mark.parametrize(
    "value",
    ["", "soon", "-3", "+3", "nan", "inf", "1e9", "1_0", "3,4", "9" * 400, "²"],
)
def test_a_rest_that_is_no_number_of_seconds_is_no_rest(value: str) -> None:
    found = notice(503, NOT_RUN, ("Retry-After", value))

    assert found == ServerNotice(unreadable=("retry-after",))


def test_a_rest_that_is_given_twice_is_no_rest() -> None:
    twice = (("Retry-After", "3"), ("Retry-After", "3"))

    assert notice(503, NOT_RUN, *twice).rest_s is None


def test_only_a_request_turned_away_with_503_asks_for_rest() -> None:
    asks = ("Retry-After", "3")

    assert notice(503, asks) == ServerNotice()
    assert notice(429, NOT_RUN, asks) == ServerNotice()
    assert notice(421, asks) == ServerNotice()
    assert notice(200, asks) == ServerNotice()


def test_any_answer_may_say_that_its_server_leaves() -> None:
    leaves = ("Server-Leaving", "1")

    assert notice(200, leaves).leaving
    assert notice(500, leaves).leaving
    assert notice(503, NOT_RUN, leaves, ("Retry-After", "2")) == ServerNotice(True, 2.0)
    assert notice(200, ("Server-Leaving", "0")) == ServerNotice()


@pytest.mark.parametrize("value", ["", "true", "2", "1, 1"])
def test_a_leaving_that_can_not_be_read_says_nothing(value: str) -> None:
    found = notice(200, ("Server-Leaving", value))

    assert found == ServerNotice(unreadable=("server-leaving",))


def test_the_caller_gets_the_servers_notices_as_they_were() -> None:
    headers = HTTPHeaderDict({"Server-Leaving": "1", "Retry-After": "soon"})

    passed = read_response_headers(200, headers).passed

    assert passed == (("Server-Leaving", "1"), ("Retry-After", "soon"))

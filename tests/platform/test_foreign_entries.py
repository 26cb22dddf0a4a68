"""What others write into the store, and what servers answer, in any shape at all."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from urllib3 import HTTPHeaderDict

from kingcupwheel.platform.configuration import decode_configuration
from kingcupwheel.platform.headers import read_request_headers
from kingcupwheel.platform.headers import read_response_headers
from kingcupwheel.platform.rank_client import decode_counts
from kingcupwheel.platform.rank_client import decode_placement
from kingcupwheel.platform.rank_client import decode_state
from kingcupwheel.platform.server_entries import decode_server
from kingcupwheel.platform.store_codec import decode_changes
from kingcupwheel.platform.store_codec import decode_page
from kingcupwheel.platform.store_types import StoredObject
from tests.platform.builders import server_entry


GOOD = server_entry()
ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
ANY_BYTES = st.binary() | ANY_JSON.map(lambda found: json.dumps(found).encode())
DEEP = b"[" * 100_000


def stored(body: bytes, name: str = "i-1") -> StoredObject:
    return StoredObject(name, 7, 5, body, is_deleting=False)


def entry(**changes: Any) -> bytes:
    return json.dumps(server_entry(**changes)).encode()


@given(ANY_BYTES)
@example(DEEP)
def test_no_entry_however_written_does_more_than_name_no_server(body: bytes) -> None:
    assert decode_server(stored(body)).is_error()


@given(st.sampled_from(sorted(GOOD)), ANY_JSON)
def test_a_server_named_by_an_entry_can_be_sent_to(field: str, value: Any) -> None:
    """One field of a good entry is of another type or value.

    Either no server is named, or one whose address and id can be put on the wire.
    """
    found = decode_server(stored(entry(**{field: value})))

    if found.is_ok():
        host, port = found.ok.address.split(":")
        assert len(host.split(".")) == 4
        assert 0 < int(port) < 65536
        assert found.ok.places >= 1
        assert found.ok.cold_s >= 0.0


@pytest.mark.parametrize(
    "changes",
    [
        {"Address": "host:80"},
        {"Address": "10.0.0.1"},
        {"Address": "10.0.0.1:0"},
        {"Address": "10.0.0.1:99999"},
        {"Address": "10.0.0.999:80"},
        {"Slots": 0},
        {"Slots": "6"},
        {"State": "warming"},
        {"State": None},
        {"Service": ""},
    ],
)
def test_an_entry_with_a_value_no_server_writes_names_no_server(
    changes: dict[str, Any],
) -> None:
    assert decode_server(stored(entry(**changes))).is_error()


@pytest.mark.parametrize("field", ["Service", "Address", "Zone", "Slots", "State"])
def test_an_entry_with_a_field_missing_names_no_server(field: str) -> None:
    found = {name: value for name, value in GOOD.items() if name != field}

    assert decode_server(stored(json.dumps(found).encode())).is_error()


@pytest.mark.parametrize("name", ["", "i 1", "i\r\nX-Tenant: a", "í-1", "i" * 300])
def test_a_name_that_no_header_can_carry_names_no_server(name: str) -> None:
    """The id goes out in a header; this one would end the request it is sent with."""
    assert decode_server(stored(entry(), name)).is_error()


def test_a_server_that_drains_is_named_as_leaving() -> None:
    assert decode_server(stored(entry(State="draining"))).ok.leaving


def item(name: object, spec: object) -> dict[str, Any]:
    return {"Metadata": {"Name": name, "Revision": 3, "Created": 2}, "Spec": spec}


BAD_ITEMS = st.one_of(
    ANY_JSON,
    st.builds(item, ANY_JSON, ANY_JSON),
    st.builds(lambda meta: {"Metadata": meta, "Spec": GOOD}, ANY_JSON),
)


@given(st.lists(BAD_ITEMS, max_size=4), st.integers(0, 4))
def test_an_unreadable_object_leaves_the_others_of_its_page(
    bad: list[Any], at: int
) -> None:
    """A single object of another shape used to fail the whole list.

    Callers saw every request refused: no server was known for as long as it lay there.
    """
    items = [*bad[:at], item("i-good", GOOD), *bad[at:]]
    body = json.dumps({"Items": items, "More": False, "StoreRevision": 9})

    page = decode_page(body.encode()).ok

    assert page.revision == 9
    assert "i-good" in {one.name for one in page.objects}


@given(st.lists(BAD_ITEMS, max_size=4), st.integers(0, 4))
def test_an_unreadable_event_leaves_the_others_of_its_watch(
    bad: list[Any], at: int
) -> None:
    events = [{"Object": one, "Tombstone": False} for one in bad]
    events.insert(at, {"Object": item("i-good", GOOD), "Tombstone": True})
    body = json.dumps({"events": [*events, *bad], "StoreRevision": 9})

    found = decode_changes(body.encode()).ok

    assert found.revision == 9
    assert ("i-good", True) in {
        (one.object.name, one.is_removed) for one in found.changes
    }


@given(ANY_BYTES)
@example(DEEP)
@example(b'{"Counts":[1' + b"0" * 5000 + b"]}")
def test_reports_and_lists_in_any_shape_are_errors_at_most(body: bytes) -> None:
    for decode in (
        decode_page,
        decode_changes,
        decode_configuration,
        decode_state,
        decode_counts,
        decode_placement,
    ):
        decode(body)  # Raises nothing.


@given(
    st.dictionaries(
        st.sampled_from(
            [
                "content-length",
                "keep-alive",
                "x-server-load",
                "at-server",
                "x-attempt-id",
                "connection",
            ]
        ),
        st.text(),
    ),
    st.integers(100, 599),
)
@example({"content-length": "9" * 5000}, 200)
@example({"x-server-load": "1,2," + "9" * 5000}, 200)
@example({"keep-alive": "timeout=" + "9" * 5000}, 200)
def test_headers_of_an_answer_in_any_shape_are_read(
    headers: dict[str, str], status: int
) -> None:
    head = read_response_headers(status, HTTPHeaderDict(headers))

    assert head.status == status
    assert head.length is None or head.length >= 0


@given(
    st.dictionaries(
        st.sampled_from(
            [
                "x-deadline-ms",
                "x-token-usage",
                "x-length-hint",
                "authorization",
                "last-event-id",
            ]
        ),
        st.text(),
    )
)
@example({"x-deadline-ms": "nan"})
@example({"x-deadline-ms": "inf"})
@example({"x-token-usage": "9" * 5000 + ",1"})
@example({"x-length-hint": "9" * 5000})
def test_headers_of_a_caller_in_any_shape_are_read(headers: dict[str, str]) -> None:
    head = read_request_headers(headers)

    assert head.wait_s is None or abs(head.wait_s) < float("inf")
    assert head.prompt_tokens >= 0

"""Objects of other writers in the store, and arbitrary responses of servers."""

from __future__ import annotations

import json
import tracemalloc
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


VALID_ENTRY = server_entry()
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
DEEPLY_NESTED_JSON = b"[" * 100_000


def stored(body: bytes, name: str = "i-1") -> StoredObject:
    return StoredObject(name, 7, 5, body, is_deleting=False)


def entry(**changes: Any) -> bytes:
    return json.dumps(server_entry(**changes)).encode()


@given(ANY_BYTES)
@example(DEEPLY_NESTED_JSON)
def test_arbitrary_bytes_are_not_decoded_as_a_server(body: bytes) -> None:
    assert decode_server(stored(body)).is_error()


@given(st.sampled_from(sorted(VALID_ENTRY)), ANY_JSON)
def test_a_decoded_server_has_a_valid_address(field: str, value: Any) -> None:
    """One field of a valid entry has another type or value.

    The entry is either rejected or has an address that a request can be sent to.
    """
    found = decode_server(stored(entry(**{field: value})))

    if found.is_ok():
        host, port = found.ok.address.split(":")
        assert len(host.split(".")) == 4
        assert 0 < int(port) < 65536
        assert found.ok.capacity >= 1
        assert found.ok.warmup_left_s >= 0.0


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
def test_an_entry_with_an_invalid_value_is_rejected(
    changes: dict[str, Any],
) -> None:
    assert decode_server(stored(entry(**changes))).is_error()


@pytest.mark.parametrize("field", ["Service", "Address", "Zone", "Slots", "State"])
def test_an_entry_with_a_missing_field_is_rejected(field: str) -> None:
    found = {name: value for name, value in VALID_ENTRY.items() if name != field}

    assert decode_server(stored(json.dumps(found).encode())).is_error()


@pytest.mark.parametrize("name", ["", "i 1", "i\r\nX-Tenant: a", "í-1", "i" * 300])
def test_a_name_that_is_invalid_in_a_header_is_rejected(name: str) -> None:
    """The id is sent in a header, where a line break would split the request."""
    assert decode_server(stored(entry(), name)).is_error()


def test_a_draining_server_is_leaving() -> None:
    assert decode_server(stored(entry(State="draining"))).ok.is_leaving


def item(name: object, spec: object) -> dict[str, Any]:
    return {"Metadata": {"Name": name, "Revision": 3, "Created": 2}, "Spec": spec}


INVALID_ITEMS = st.one_of(
    ANY_JSON,
    st.builds(item, ANY_JSON, ANY_JSON),
    st.builds(lambda meta: {"Metadata": meta, "Spec": VALID_ENTRY}, ANY_JSON),
)


@given(st.lists(INVALID_ITEMS, max_size=4), st.integers(0, 4))
def test_an_unreadable_object_leaves_the_others_of_its_page(
    invalid_items: list[Any], position: int
) -> None:
    """A single invalid object made the decoding of the whole list fail.

    No server was known while it existed, so that every request was refused.
    """
    items = [
        *invalid_items[:position],
        item("i-good", VALID_ENTRY),
        *invalid_items[position:],
    ]
    body = json.dumps({"Items": items, "More": False, "StoreRevision": 9})

    page = decode_page(body.encode()).ok

    assert page.revision == 9
    assert "i-good" in {one.name for one in page.objects}


@given(st.lists(INVALID_ITEMS, max_size=4), st.integers(0, 4))
def test_an_unreadable_event_leaves_the_others_of_its_watch(
    invalid_items: list[Any], position: int
) -> None:
    events = [{"Object": one, "Tombstone": False} for one in invalid_items]
    events.insert(position, {"Object": item("i-good", VALID_ENTRY), "Tombstone": True})
    body = json.dumps({"events": [*events, *invalid_items], "StoreRevision": 9})

    found = decode_changes(body.encode()).ok

    assert found.revision == 9
    assert ("i-good", True) in {
        (one.object.name, one.is_removed) for one in found.changes
    }


UNREADABLE_VALUES = {
    "lone-surrogate": b'"\\udcff"',
    "half-a-pair": b'"\\ud83d, \\"x\\" ]}"',
    "no-utf-8": b'"\xff"',
    "nested": b"[" * 2000 + b"]" * 2000,
    "nested-objects": b'{"a":' * 2000 + b"1" + b"}" * 2000,
}


@pytest.mark.parametrize("value", UNREADABLE_VALUES.values(), ids=UNREADABLE_VALUES)
@pytest.mark.parametrize("place", ["Spec", "Address", "Version", "Name", "Finalizers"])
def test_value_that_no_decoder_reads_costs_its_own_object_alone(
    place: str, value: bytes
) -> None:
    """Guards against all servers being unknown for one entry of another writer.

    The decoder fails a whole list or watch for such a value, wherever it stands.
    """
    bad = item("i-bad", VALID_ENTRY)
    if place == "Spec":
        bad["Spec"] = "VALUE"
    elif place in bad["Metadata"] or place == "Finalizers":
        bad["Metadata"][place] = "VALUE"
    else:
        bad["Spec"] = server_entry(**{place: "VALUE"})
    good = item("i-good", VALID_ENTRY)
    page = {"Items": [good, bad, good], "More": True, "StoreRevision": 9}
    events = [{"Object": one, "Tombstone": False} for one in (good, bad, good)]
    changes = {"events": events, "StoreRevision": 9}

    listed = decode_page(json.dumps(page).encode().replace(b'"VALUE"', value)).ok
    watched = decode_changes(json.dumps(changes).encode().replace(b'"VALUE"', value)).ok

    assert (listed.revision, listed.after) == (9, "i-good")
    assert watched.revision == 9
    for found in (listed.objects, [one.object for one in watched.changes]):
        usable = [one.name for one in found if decode_server(one).is_ok()]
        assert usable == ["i-good", "i-good"]
        unusable = [one.name for one in found if decode_server(one).is_error()]
        assert unusable == ([] if place in ("Name", "Finalizers") else ["i-bad"])


@pytest.mark.parametrize("value", [b"a" * 1_000_000, b'\\"' * 500_000])
def test_unreadable_page_with_a_long_value_takes_little_memory(value: bytes) -> None:
    """Guards against a process that is killed for an object of another writer."""
    page = b'{"Items":[{"Metadata":{},"Spec":["\\udcff","%b"]}],"More":false}' % value

    tracemalloc.start()
    try:
        assert decode_page(page).is_ok()
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()

    assert peak_bytes < 10 * len(page)


@given(ANY_BYTES)
@example(DEEPLY_NESTED_JSON)
@example(b'{"Counts":[1' + b"0" * 5000 + b"]}")
def test_decoders_do_not_raise_on_arbitrary_bytes(body: bytes) -> None:
    for decode in (
        decode_page,
        decode_changes,
        decode_configuration,
        decode_state,
        decode_counts,
        decode_placement,
    ):
        decode(body)  # Must not raise.


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
def test_arbitrary_response_headers_are_parsed(
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
def test_arbitrary_request_headers_are_parsed(headers: dict[str, str]) -> None:
    head = read_request_headers(headers)

    assert head.timeout_s is None or abs(head.timeout_s) < float("inf")
    assert head.prompt_tokens >= 0

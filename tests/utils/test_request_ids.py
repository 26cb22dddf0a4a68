from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kingcupwheel.utils.request_ids import generate_request_id
from kingcupwheel.utils.request_ids import parse_request_id


@given(st.from_regex(r"[a-z][a-z0-9.-]{0,20}", fullmatch=True), st.floats(0, 4e9))
def test_request_id_round_trips_through_text(entry: str, now: float) -> None:
    request_id = generate_request_id(entry, now=now)

    assert parse_request_id(str(request_id)) == request_id


def test_invalid_text_is_not_parsed_as_a_request_id() -> None:
    assert parse_request_id("not an id") is None
    assert parse_request_id("entry.zz.serial") is None

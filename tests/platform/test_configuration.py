from __future__ import annotations

import json

from kingcupwheel.forwarding.configuration import EngineShape
from kingcupwheel.forwarding.configuration import KeyHolder
from kingcupwheel.forwarding.configuration import ServiceShare
from kingcupwheel.platform.configuration import decode_configuration
from tests.forwarding.builders import KEY
from tests.forwarding.builders import configuration
from tests.forwarding.builders import configuration_spec
from tests.forwarding.builders import route


ENGINE = {
    "Sets": 4,
    "Experts": 64,
    "Placements": 5,
    "Spare": 2,
    "ExpertMb": 2500.0,
    "LinkMbps": 180000.0,
    "new field": "ignored",
}


def test_routes_are_decoded_into_what_they_mean() -> None:
    split = [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}]
    spec = {"Kind": "streaming", "Resumable": True, "TrafficSplit": split}
    found = configuration(Routes=[route(**spec, Service="")])

    (only,) = found.routes_by_host["host.example"]
    assert only.shares == (ServiceShare("a", 90.0), ServiceShare("b", 10.0))
    assert (only.is_streamed, only.is_resumable, only.is_idempotent) == (
        True,
        True,
        True,
    )
    assert (only.timeout_s, only.target_latency_s) == (0.8, 0.2)


def test_a_stream_that_can_not_be_resumed_may_run_once_only() -> None:
    found = configuration(Routes=[route(Kind="streaming")])

    assert not found.routes_by_host["host.example"][0].is_idempotent


def test_an_engines_shape_tells_how_long_a_copy_takes() -> None:
    found = configuration(Services=[{"Name": "llm", "Engine": ENGINE}])

    engine = found.services_by_name["llm"].engine
    assert isinstance(engine, EngineShape)
    assert (
        engine.layer_count,
        engine.expert_count,
        engine.places,
        engine.max_new_experts,
    ) == (
        4,
        64,
        5,
        2,
    )
    assert round(engine.expert_copy_s, 3) == 0.111


def test_keys_are_looked_up_and_not_kept() -> None:
    found = configuration()

    assert found.find_key_holder(KEY) == KeyHolder("org", 1)
    assert found.find_key_holder("another") is None
    assert KEY.encode() not in found.key_holders_by_digest


def test_without_organisations_no_key_is_needed() -> None:
    spec = configuration_spec()
    del spec["Tenants"]

    assert not decode_configuration(json.dumps(spec).encode()).ok.has_organisations


def test_what_can_not_be_read_is_an_error_and_no_exception() -> None:
    assert decode_configuration(b"{").is_error()
    assert decode_configuration(b'{"Version": "seven"}').is_error()

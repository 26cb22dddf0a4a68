from __future__ import annotations

import json

from kingcupwheel.forwarding.configuration import EngineShape
from kingcupwheel.forwarding.configuration import KeyHolder
from kingcupwheel.forwarding.configuration import ServiceShare
from kingcupwheel.platform.configuration import decode_configuration
from tests.forwarding.builders import API_KEY
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


def test_routes_are_decoded() -> None:
    split = [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}]
    spec = {"Kind": "streaming", "Resumable": True, "TrafficSplit": split}
    found = configuration(Routes=[route(**spec, Service="")])

    (only,) = found.routes_by_host["host.example"]
    assert only.traffic_split == (ServiceShare("a", 90.0), ServiceShare("b", 10.0))
    assert (only.is_streamed, only.is_resumable, only.is_idempotent) == (
        True,
        True,
        True,
    )
    assert (only.timeout_s, only.target_latency_s) == (0.8, 0.2)


def test_a_stream_that_is_not_resumable_is_not_idempotent() -> None:
    found = configuration(Routes=[route(Kind="streaming")])

    assert not found.routes_by_host["host.example"][0].is_idempotent


def test_the_copy_time_of_an_expert_follows_from_the_engine() -> None:
    found = configuration(Services=[{"Name": "llm", "Engine": ENGINE}])

    engine = found.services_by_name["llm"].engine
    assert isinstance(engine, EngineShape)
    assert (
        engine.layer_count,
        engine.expert_count,
        engine.placements_per_rank,
        engine.max_new_experts,
    ) == (
        4,
        64,
        5,
        2,
    )
    assert round(engine.expert_copy_s, 3) == 0.111


def test_keys_are_stored_as_digests() -> None:
    found = configuration()

    assert found.find_key_holder(API_KEY) == KeyHolder("org", 1)
    assert found.find_key_holder("another") is None
    assert API_KEY.encode() not in found.key_holders_by_digest


def test_a_configuration_without_tenants_has_no_organisations() -> None:
    spec = configuration_spec()
    del spec["Tenants"]

    assert not decode_configuration(json.dumps(spec).encode()).ok.has_organisations


def test_invalid_configurations_are_returned_as_errors() -> None:
    assert decode_configuration(b"{").is_error()
    assert decode_configuration(b'{"Version": "seven"}').is_error()

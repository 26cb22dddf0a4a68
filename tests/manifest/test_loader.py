from __future__ import annotations

from typing import Any

import msgspec
import pytest
import yaml
from expression import Ok

from kingcupwheel.manifest.loader import load_manifest
from tests.manifest.builders import as_data
from tests.manifest.builders import build_manifest


def _problems(data: Any) -> list[str]:
    result = load_manifest(yaml.safe_dump(data), placements=("two-choices",))
    return [str(problem) for problem in result.error]


def test_a_valid_manifest_is_loaded_from_yaml_and_json() -> None:
    manifest = build_manifest()
    json = msgspec.json.encode(manifest).decode()

    assert load_manifest(yaml.safe_dump(as_data(manifest))) == Ok(manifest)
    assert load_manifest(json) == Ok(manifest)


def test_every_field_of_the_wrong_type_is_listed() -> None:
    data = as_data(build_manifest())
    data["organisations"][1]["allowance"]["burst"] = "much"
    data["organisations"][2]["colour"] = "red"
    data["groups"][0]["kind"] = "boat"
    del data["routes"][1]["path"]
    data["retention"] = 3

    assert _problems(data) == [
        "organisations[1].allowance.burst: expected float, got str",
        "organisations[2].colour: unknown field",
        "groups[0].kind: invalid enum value 'boat'",
        "routes[1].path: missing",
        "retention: expected mapping, got int",
    ]


def test_every_invalid_value_is_listed() -> None:
    data = as_data(build_manifest())
    data["organisations"][0]["priority"] = 10
    data["organisations"][1]["name"] = data["organisations"][0]["name"]
    data["organisations"][1]["key_digests"] = data["organisations"][0]["key_digests"]
    data["organisations"][2]["key_digests"] = ["ABC"]
    data["organisations"][2]["allowance"]["work_per_s"] = float("nan")
    data["groups"][0]["experts"] = {"ranks": 4, "experts": 32, "slots": 7}
    data["groups"][1] |= {"kind": "service", "placement": "best", "concurrency": 0}
    data["groups"][1]["experts"] = {"ranks": 1, "experts": 1}
    data["routes"][0] |= {"group": "x", "methods": ["post"], "deadline_s": -1}
    data["routes"][1] |= {"path": "pick*ups", "host": "Not A Host"}
    data["goals"]["availability"] = 1.0
    data["retention"]["claims_h"] = 0

    paths = [line.partition(":")[0] for line in _problems(data)]

    assert paths == [
        "organisations[1].name",
        "organisations[0].priority",
        "organisations[1].key_digests[0]",
        "organisations[2].key_digests[0]",
        "organisations[2].allowance.work_per_s",
        "groups[0].experts.slots",
        "groups[1].concurrency",
        "groups[1].placement",
        "groups[1].experts",
        "routes[0].group",
        "routes[0].methods[0]",
        "routes[0].deadline_s",
        "routes[1].host",
        "routes[1].path",
        "routes[1].path",
        "goals.availability",
        "retention.claims_h",
    ]


def test_two_routes_for_the_same_requests_are_rejected() -> None:
    data = as_data(build_manifest())
    data["routes"].append({"path": "/pickups", "group": "banks", "methods": ["GET"]})
    data["routes"].append({"path": "/pickups", "group": "bundles"})

    assert _problems(data) == ["routes[3].path: routes[1] takes POST /pickups already"]


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("groups: []\ngroups: []\n", "line 2: not valid YAML: the key 'groups'"),
        ("groups: [", "not valid YAML"),
        ("", "expected mapping, got nothing"),
        ("? [a]\n: 1\n", "not valid YAML"),
        ("!!python/object:os.system {}", "not valid YAML"),
        ("goals: {}\n---\ngoals: {}\n", "not valid YAML"),
    ],
)
def test_text_that_is_not_a_manifest_is_rejected(text: str, problem: str) -> None:
    problems = load_manifest(text).error

    assert problem in str(problems[0])

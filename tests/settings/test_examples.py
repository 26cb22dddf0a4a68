from __future__ import annotations

from pathlib import Path

import pytest

from kingcupwheel.manifest.loader import load_manifest
from kingcupwheel.manifest.schema import GroupKind
from kingcupwheel.plugins.registries import load_builtin_plugins
from kingcupwheel.plugins.registries import placement_policies
from kingcupwheel.settings.loader import load_settings
from kingcupwheel.settings.schema import Role


_EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize("deployment", ["retazo", "agencia"])
def test_the_manifest_of_each_deployment_is_valid(deployment: str) -> None:
    load_builtin_plugins()
    text = (_EXAMPLES / f"{deployment}.yaml").read_text(encoding="utf-8")

    manifest = load_manifest(text, placements=placement_policies.names).ok

    engine, service = manifest.groups
    assert len(manifest.organisations) == 10
    assert (engine.kind, service.kind) == (GroupKind.ENGINE, GroupKind.SERVICE)
    assert engine.experts is not None
    assert engine.experts.ranks == 16
    skew_first = engine.experts.skew_weight > engine.experts.move_cost
    assert skew_first == (deployment == "agencia")
    assert any(not route.repeatable for route in manifest.routes)


def test_the_settings_of_each_role_are_valid_and_refer_to_existing_groups() -> None:
    manifest = load_manifest((_EXAMPLES / "retazo.yaml").read_text("utf-8")).ok
    kind_by_group = {group.name: group.kind.value for group in manifest.groups}
    loaded = [
        load_settings(file).ok for file in (_EXAMPLES / "settings").glob("*.yaml")
    ]

    roles = sorted(settings.role for settings in loaded)
    assert roles == [Role.AGENT, Role.AGENT, Role.ENTRY]
    for settings in loaded:
        if settings.server is not None:
            assert kind_by_group[settings.group] == settings.server.adapter

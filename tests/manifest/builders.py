"""Builders of manifests for tests."""

from __future__ import annotations

from hashlib import sha256
from typing import Any

import msgspec

from kingcupwheel.manifest.schema import Allowance
from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.manifest.schema import Organisation
from kingcupwheel.manifest.schema import Route
from kingcupwheel.manifest.schema import ServerGroup


def key_of(name: str) -> str:
    return f"key-of-{name}"


def digest_of(name: str) -> str:
    return sha256(key_of(name).encode()).hexdigest()


def build_organisation(name: str, *, work_per_s: float = 1000.0) -> Organisation:
    return Organisation(
        name=name,
        key_digests=(digest_of(name),),
        allowance=Allowance(work_per_s=work_per_s),
    )


def build_manifest(*, organisations: int = 3, work_per_s: float = 1000.0) -> Manifest:
    """Return a valid manifest; only the first organisation has ``work_per_s``."""
    names = [f"organisation-{index:05d}" for index in range(organisations)]
    first, *others = names
    return Manifest(
        organisations=(
            build_organisation(first, work_per_s=work_per_s),
            *(build_organisation(name) for name in others),
        ),
        groups=(ServerGroup(name="bundles"), ServerGroup(name="banks")),
        routes=(
            Route(path="/v1/completions", group="bundles"),
            Route(path="/pickups", group="banks", repeatable=False),
        ),
    )


def as_data(manifest: Manifest) -> dict[str, Any]:
    """Return ``manifest`` as plain data that can be written as YAML."""
    data: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(manifest))
    return data

"""Formatting of manifests and their rollout status as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import yaml

from kingcupwheel.manifest.schema import Manifest
from kingcupwheel.utils.structs import StrictStruct


if TYPE_CHECKING:
    from collections.abc import Iterator

    from kingcupwheel.manifest.rollout_status import ProcessStatus
    from kingcupwheel.manifest.rollout_status import RolloutStatus


class VersionedManifest(StrictStruct, frozen=True):
    """The manifest in force with its version and the id of its submission."""

    version: int
    submission: str
    manifest: Manifest


def format_manifest(versioned: VersionedManifest) -> str:
    """Return the manifest as YAML, with its version in a leading comment."""
    # The JSON round trip turns tuples into lists; yaml would tag tuples.
    data = msgspec.json.decode(msgspec.json.encode(versioned.manifest))
    body = yaml.safe_dump(data, sort_keys=False)
    return f"# Version {versioned.version}, submission {versioned.submission}.\n{body}"


def format_rollout(rollout: RolloutStatus) -> str:
    """Return a summary line and one line per process not on the version in force."""
    processes = (
        len(rollout.up_to_date) + len(rollout.behind) + len(rollout.unresponsive)
    )
    lines = [
        f"Version {rollout.version} is in force on {len(rollout.up_to_date)}"
        f" of {processes} listed processes."
    ]
    lines.extend(_format_processes(rollout.behind))
    lines.extend(_format_processes(rollout.unresponsive))
    return "\n".join(lines) + "\n"


def _format_processes(processes: tuple[ProcessStatus, ...]) -> Iterator[str]:
    for process in processes:
        leaving = ", leaving" if process.is_leaving else ""
        state = "no answer" if process.version is None else f"on {process.version}"
        where = f"{process.role} {process.name} in {process.data_centre}"
        yield f"  {where}: {state}{leaving}"
